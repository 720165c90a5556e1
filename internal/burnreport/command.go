package burnreport

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/version"
)

// Settings are the command-line flags and environment variables of filbert-burn.
type Settings struct {
	ControlAddresses []string        `arg:"--control,separate,env:FILBERT_CONTROL" check:"hostport" help:"administration address of a control process; repeat the flag for all of them"`
	KeyFile          string          `arg:"--key-file,env:FILBERT_KEY_FILE" check:"file?" help:"file with the key of operator or monitor"`
	CAFile           string          `arg:"--ca,env:FILBERT_CA" check:"file?" help:"authority (PEM) of the control processes' certificates; empty means plain text"`
	Duration         time.Duration   `arg:"--for,env:FILBERT_BURN_FOR" check:"0s..168h" default:"0s" help:"how long to watch; 0 takes one sample"`
	Interval         time.Duration   `arg:"--every,env:FILBERT_BURN_EVERY" check:"100ms..1h" default:"10s" help:"time between two samples"`
	Windows          []time.Duration `arg:"--window,separate,env:FILBERT_BURN_WINDOWS" check:"1s..168h" help:"windows of the burn rates (default 1m 5m 1h 6h, those that fit)"`
	InputFile        string          `arg:"--from,env:FILBERT_BURN_FROM" check:"file?" help:"samples saved earlier; they come before the new ones"`
	OutputFile       string          `arg:"--save,env:FILBERT_BURN_SAVE" help:"file to save the samples to, one JSON document a line"`
	JSON             bool            `arg:"--json,env:FILBERT_BURN_JSON" help:"write JSON in place of text"`
	HTMLFile         string          `arg:"--html,env:FILBERT_BURN_HTML" help:"write one HTML page with plots to this file as well"`
}

// Version returns the version line; it implements go-arg's Versioned interface.
func (Settings) Version() string { return Program + " " + version.String() }

// Program name and description, as shown in the help text.
const (
	Program = "filbert-burn"
	About   = `filbert-burn reports service-level burn, shares and the evidence for each promise.
It reads the administration interface of every control process and needs the monitor's key.

Example: filbert-burn --control 10.0.0.1:8091 --control 10.0.0.2:8091 --key-file monitor.key --for 5m --html burn.html

Exit codes: 0 no breach seen, 1 a promise is broken or a row does not balance, 2 usage, 3 hosts could not be read.`
)

// Exit codes of the program.
const (
	ExitOK         = 0
	ExitBreach     = 1
	ExitIncomplete = 3
)

// requestTimeout limits one request to a control process.
const requestTimeout = 5 * time.Second

var defaultWindows = []time.Duration{time.Minute, 5 * time.Minute, time.Hour, 6 * time.Hour}

// Run collects the samples, writes the report and returns the exit code.
func Run(ctx context.Context, s Settings, out io.Writer) (int, error) {
	collector, err := s.newCollector()
	if err != nil {
		return 0, err
	}
	samples, err := s.loadSamples()
	if err != nil {
		return 0, err
	}
	samples = append(samples, collectSamples(ctx, collector, s.Duration, s.Interval)...)
	if err := s.saveSamples(samples); err != nil {
		return 0, err
	}
	windows := s.Windows
	if len(windows) == 0 {
		windows = defaultWindows
	}
	report := Build(samples, windows)
	if err := s.writeReport(out, report); err != nil {
		return 0, err
	}
	return exitCode(report), nil
}

func exitCode(r Report) int {
	switch {
	case r.HasBreach():
		return ExitBreach
	case !r.Complete():
		return ExitIncomplete
	}
	return ExitOK
}

func (s Settings) newCollector() (*Collector, error) {
	if len(s.ControlAddresses) == 0 {
		return nil, failure.New(failure.KindSettingInvalid, "--control (FILBERT_CONTROL) is missing; allowed: ip:port, at least one")
	}
	c := &Collector{ControlAddresses: s.ControlAddresses, Scheme: "http", Client: &http.Client{Timeout: requestTimeout}}
	if s.KeyFile != "" {
		key, err := os.ReadFile(s.KeyFile)
		if err != nil {
			return nil, failure.Wrap(err, failure.KindSettingInvalid, "--key-file (FILBERT_KEY_FILE)")
		}
		c.AdminKey = strings.TrimSpace(string(key))
	}
	if s.CAFile == "" {
		return c, nil
	}
	pem, err := os.ReadFile(s.CAFile)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindSettingInvalid, "--ca (FILBERT_CA)")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, failure.New(failure.KindSettingInvalid, "--ca (FILBERT_CA) is %q; allowed: a file of certificates in PEM", s.CAFile)
	}
	c.Scheme = "https"
	c.Client.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}}
	return c, nil
}

// collectSamples takes a sample at every interval until the duration has passed
// or ctx ends. The report covers the samples taken by then.
func collectSamples(ctx context.Context, c *Collector, duration, interval time.Duration) []Sample {
	samples := []Sample{c.Collect(ctx)}
	deadline := time.After(duration)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for duration > 0 {
		select {
		case <-ticker.C:
			samples = append(samples, c.Collect(ctx))
		case <-deadline:
			return append(samples, c.Collect(ctx))
		case <-ctx.Done():
			return samples
		}
	}
	return samples
}

func (s Settings) loadSamples() ([]Sample, error) {
	if s.InputFile == "" {
		return nil, nil
	}
	f, err := os.Open(s.InputFile)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindSettingInvalid, "--from (FILBERT_BURN_FROM)")
	}
	defer func() { _ = f.Close() }()
	var samples []Sample
	for decoder := json.NewDecoder(f); ; {
		var sample Sample
		switch err := decoder.Decode(&sample); err {
		case nil:
			samples = append(samples, sample)
		case io.EOF:
			return samples, nil
		default:
			return nil, failure.Wrap(err, failure.KindSettingInvalid, "--from (FILBERT_BURN_FROM): sample %d cannot be read", len(samples)+1)
		}
	}
}

func (s Settings) saveSamples(samples []Sample) error {
	if s.OutputFile == "" {
		return nil
	}
	f, err := os.Create(s.OutputFile)
	if err != nil {
		return failure.Wrap(err, failure.KindSettingInvalid, "--save (FILBERT_BURN_SAVE)")
	}
	encoder := json.NewEncoder(f)
	for _, sample := range samples {
		if err := encoder.Encode(sample); err != nil {
			_ = f.Close()
			return failure.Wrap(err, failure.KindInternal, "the samples cannot be saved")
		}
	}
	return f.Close()
}

func (s Settings) writeReport(out io.Writer, r Report) error {
	if s.HTMLFile != "" {
		f, err := os.Create(s.HTMLFile)
		if err != nil {
			return failure.Wrap(err, failure.KindSettingInvalid, "--html (FILBERT_BURN_HTML)")
		}
		if err := WriteHTML(f, r); err != nil {
			_ = f.Close()
			return err
		}
		if err := f.Close(); err != nil {
			return failure.Wrap(err, failure.KindInternal, "the page cannot be written")
		}
	}
	if s.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	return WriteText(out, r)
}

// Main runs the program and returns its exit code. parse fills in the settings;
// isHelp reports whether its error is a request for help.
func Main(ctx context.Context, parse func(*Settings) error, isHelp func(error) bool, out, errOut io.Writer) int {
	const exitUsage = 2
	var s Settings
	if err := parse(&s); err != nil {
		if isHelp(err) {
			return ExitOK
		}
		_, _ = fmt.Fprintln(errOut, err)
		return exitUsage
	}
	code, err := Run(ctx, s, out)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitUsage
	}
	return code
}
