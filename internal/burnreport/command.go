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

// Settings of filbert-burn.
type Settings struct {
	Control []string        `arg:"--control,separate,env:FILBERT_CONTROL" check:"hostport" help:"administration address of a control process; repeat the flag for all of them"`
	KeyFile string          `arg:"--key-file,env:FILBERT_KEY_FILE" check:"file?" help:"file with the key of operator or monitor"`
	CA      string          `arg:"--ca,env:FILBERT_CA" check:"file?" help:"authority (PEM) of the control processes' certificates; empty means plain text"`
	For     time.Duration   `arg:"--for,env:FILBERT_BURN_FOR" check:"0s..168h" default:"0s" help:"how long to watch; 0 takes one sample"`
	Every   time.Duration   `arg:"--every,env:FILBERT_BURN_EVERY" check:"100ms..1h" default:"10s" help:"time between two samples"`
	Windows []time.Duration `arg:"--window,separate,env:FILBERT_BURN_WINDOWS" check:"1s..168h" help:"windows of the burn rates (default 1m 5m 1h 6h, those that fit)"`
	From    string          `arg:"--from,env:FILBERT_BURN_FROM" check:"file?" help:"samples saved earlier; they come before the new ones"`
	Save    string          `arg:"--save,env:FILBERT_BURN_SAVE" help:"file to save the samples to, one JSON document a line"`
	JSON    bool            `arg:"--json,env:FILBERT_BURN_JSON" help:"write JSON in place of text"`
	HTML    string          `arg:"--html,env:FILBERT_BURN_HTML" help:"write one HTML page with plots to this file as well"`
}

// Version implements go-arg's versioned interface.
func (Settings) Version() string { return Program + " " + version.String() }

// Program and About name the program.
const (
	Program = "filbert-burn"
	About   = `filbert-burn reports service-level burn, shares and the evidence for each promise.
It reads the administration interface of every control process and needs the monitor's key.

Example: filbert-burn --control 10.0.0.1:8091 --control 10.0.0.2:8091 --key-file monitor.key --for 5m --html burn.html

Exit codes: 0 no breach seen, 1 a promise is broken or a row does not balance, 2 usage, 3 hosts could not be read.`
)

// Exit codes.
const (
	ExitOK         = 0
	ExitBreach     = 1
	ExitIncomplete = 3
)

// readLimit bounds one question to a control process.
const readLimit = 5 * time.Second

var defaultWindows = []time.Duration{time.Minute, 5 * time.Minute, time.Hour, 6 * time.Hour}

// Run makes the report and gives the exit code.
func Run(ctx context.Context, s Settings, out io.Writer) (int, error) {
	collector, err := s.collector()
	if err != nil {
		return 0, err
	}
	samples, err := s.earlier()
	if err != nil {
		return 0, err
	}
	samples = append(samples, watch(ctx, collector, s.For, s.Every)...)
	if err := s.save(samples); err != nil {
		return 0, err
	}
	windows := s.Windows
	if len(windows) == 0 {
		windows = defaultWindows
	}
	report := Build(samples, windows)
	if err := s.write(out, report); err != nil {
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

func (s Settings) collector() (*Collector, error) {
	if len(s.Control) == 0 {
		return nil, failure.New(failure.KindSettingInvalid, "--control (FILBERT_CONTROL) is missing; allowed: ip:port, at least one")
	}
	c := &Collector{ControlAddresses: s.Control, Scheme: "http", Client: &http.Client{Timeout: readLimit}}
	if s.KeyFile != "" {
		key, err := os.ReadFile(s.KeyFile)
		if err != nil {
			return nil, failure.Wrap(err, failure.KindSettingInvalid, "--key-file (FILBERT_KEY_FILE)")
		}
		c.AdminKey = strings.TrimSpace(string(key))
	}
	if s.CA == "" {
		return c, nil
	}
	pem, err := os.ReadFile(s.CA)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindSettingInvalid, "--ca (FILBERT_CA)")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, failure.New(failure.KindSettingInvalid, "--ca (FILBERT_CA) is %q; allowed: a file of certificates in PEM", s.CA)
	}
	c.Scheme = "https"
	c.Client.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}}
	return c, nil
}

// watch samples until the time is over or ctx ends; the report covers what was
// seen by then.
func watch(ctx context.Context, c *Collector, length, every time.Duration) []Sample {
	samples := []Sample{c.Collect(ctx)}
	end := time.After(length)
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for length > 0 {
		select {
		case <-ticker.C:
			samples = append(samples, c.Collect(ctx))
		case <-end:
			return append(samples, c.Collect(ctx))
		case <-ctx.Done():
			return samples
		}
	}
	return samples
}

func (s Settings) earlier() ([]Sample, error) {
	if s.From == "" {
		return nil, nil
	}
	f, err := os.Open(s.From)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindSettingInvalid, "--from (FILBERT_BURN_FROM)")
	}
	defer func() { _ = f.Close() }()
	var samples []Sample
	for d := json.NewDecoder(f); ; {
		var one Sample
		switch err := d.Decode(&one); err {
		case nil:
			samples = append(samples, one)
		case io.EOF:
			return samples, nil
		default:
			return nil, failure.Wrap(err, failure.KindSettingInvalid, "--from (FILBERT_BURN_FROM): sample %d cannot be read", len(samples)+1)
		}
	}
}

func (s Settings) save(samples []Sample) error {
	if s.Save == "" {
		return nil
	}
	f, err := os.Create(s.Save)
	if err != nil {
		return failure.Wrap(err, failure.KindSettingInvalid, "--save (FILBERT_BURN_SAVE)")
	}
	encoder := json.NewEncoder(f)
	for _, one := range samples {
		if err := encoder.Encode(one); err != nil {
			_ = f.Close()
			return failure.Wrap(err, failure.KindInternal, "the samples cannot be saved")
		}
	}
	return f.Close()
}

func (s Settings) write(out io.Writer, r Report) error {
	if s.HTML != "" {
		f, err := os.Create(s.HTML)
		if err != nil {
			return failure.Wrap(err, failure.KindSettingInvalid, "--html (FILBERT_BURN_HTML)")
		}
		if err := HTML(f, r); err != nil {
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
	return Text(out, r)
}

// Main runs the program and gives its exit code; parse fills the settings.
func Main(ctx context.Context, parse func(*Settings) error, help func(error) bool, out, errs io.Writer) int {
	const exitUsage = 2
	var s Settings
	if err := parse(&s); err != nil {
		if help(err) {
			return ExitOK
		}
		_, _ = fmt.Fprintln(errs, err)
		return exitUsage
	}
	code, err := Run(ctx, s, out)
	if err != nil {
		_, _ = fmt.Fprintln(errs, err)
		return exitUsage
	}
	return code
}
