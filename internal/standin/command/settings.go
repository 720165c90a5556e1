// Package command is the program filbert-standin: its settings, and one
// stand-in per process that they choose.
package command

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/alexflint/go-arg"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/version"
)

// Settings are the program's flags and environment variables.
type Settings struct {
	Platform *PlatformSettings `arg:"subcommand:platform" help:"configuration service"`
	Engine   *EngineSettings   `arg:"subcommand:engine" help:"model engine"`
	App      *AppSettings      `arg:"subcommand:app" help:"plain service that counts executions"`
	Listen   string            `arg:"--listen,env:FILBERT_STANDIN_LISTEN" default:"127.0.0.1:0" help:"ip:port to serve at; port 0 takes a free one"`
}

// PlatformSettings are those of the configuration service.
type PlatformSettings struct {
	CallsPerSecond int `arg:"--calls-per-second,env:FILBERT_STANDIN_CALLS_PER_SECOND" default:"2000" help:"rate over all readers; 0 means no limit"`
}

// EngineSettings are those of the model engine.
type EngineSettings struct {
	MemoryTokens int           `arg:"--memory-tokens,env:FILBERT_STANDIN_MEMORY_TOKENS" default:"100000" help:"memory for keys and values, in tokens"`
	MaxBatch     int           `arg:"--max-batch,env:FILBERT_STANDIN_MAX_BATCH" default:"256" help:"sequences in one batch"`
	BaseStep     time.Duration `arg:"--base-step,env:FILBERT_STANDIN_BASE_STEP" default:"10ms" help:"time of an empty batch step"`
	PerSequence  time.Duration `arg:"--per-sequence,env:FILBERT_STANDIN_PER_SEQUENCE" default:"250us" help:"step time that each decoding sequence adds"`
	PerPrompt    time.Duration `arg:"--per-prompt-token,env:FILBERT_STANDIN_PER_PROMPT_TOKEN" default:"20us" help:"step time that each prompt token adds"`
	RampTime     time.Duration `arg:"--ramp-time,env:FILBERT_STANDIN_RAMP_TIME" default:"0s" help:"serving time from cold to warm; 0 starts warm"`
	FullBears    int           `arg:"--full-bears,env:FILBERT_STANDIN_FULL_BEARS" default:"64" help:"requests that a warm engine bears"`
	FallOver     string        `arg:"--fall-over,env:FILBERT_STANDIN_FALL_OVER" default:"stall" help:"what too much load does to a cold engine: stall or crash"`
	StallTime    time.Duration `arg:"--stall-time,env:FILBERT_STANDIN_STALL_TIME" default:"15s" help:"length of such a stall"`
	ReportLag    time.Duration `arg:"--report-lag,env:FILBERT_STANDIN_REPORT_LAG" default:"500ms" help:"age of a load report"`
	CacheLag     time.Duration `arg:"--cache-lag,env:FILBERT_STANDIN_CACHE_LAG" default:"300ms" help:"age of cache events"`
	CacheLoss    float64       `arg:"--cache-loss,env:FILBERT_STANDIN_CACHE_LOSS" default:"0.02" help:"part of the cache events that is lost"`
	MedianTokens float64       `arg:"--median-tokens,env:FILBERT_STANDIN_MEDIAN_TOKENS" default:"300" help:"median of the log-normal output length"`
	SigmaTokens  float64       `arg:"--sigma-tokens,env:FILBERT_STANDIN_SIGMA_TOKENS" default:"1" help:"sigma of the log-normal output length"`
	Grace        time.Duration `arg:"--grace,env:FILBERT_STANDIN_GRACE" default:"10s" help:"time that a generation runs on without a connection"`
	RestartAfter time.Duration `arg:"--restart-after,env:FILBERT_STANDIN_RESTART_AFTER" default:"0s" help:"time after which a crashed engine comes back cold within its process; 0 lets the process exit"`
	CheckFence   bool          `arg:"--check-fence,env:FILBERT_STANDIN_CHECK_FENCE" help:"refuse old fencing numbers"`
	Seed         uint64        `arg:"--seed,env:FILBERT_STANDIN_SEED" default:"1" help:"seed of lengths and lost cache events"`
}

// AppSettings are those of the plain service.
type AppSettings struct {
	Delay time.Duration `arg:"--delay,env:FILBERT_STANDIN_DELAY" default:"1ms" help:"time that a call takes"`
	Bears int           `arg:"--bears,env:FILBERT_STANDIN_BEARS" default:"64" help:"concurrent calls that the load report tells"`
}

// Version implements go-arg's Versioned.
func (Settings) Version() string { return "filbert-standin " + version.String() }

// Description implements go-arg's Described.
func (Settings) Description() string {
	return "Small stand-ins for what filbertdeck meets: the platform, a model engine, a plain service.\n" +
		"The first line on standard output is \"listening ip:port\"."
}

// errShown says that help or version was asked for and written.
var errShown = errors.New("help shown")

// Parse reads the settings from arguments and environment and checks each. A
// wrong one is a KindSettingInvalid that names flag, variable, value and what
// is allowed.
func Parse(args []string, out io.Writer) (*Settings, error) {
	s := &Settings{}
	p, err := arg.NewParser(arg.Config{Program: "filbert-standin", Out: out}, s)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "settings can't be declared")
	}
	switch err = p.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		_ = p.WriteHelpForSubcommand(out, p.SubcommandNames()...)
		return nil, errShown
	case errors.Is(err, arg.ErrVersion):
		_, _ = fmt.Fprintln(out, s.Version())
		return nil, errShown
	case err != nil:
		return nil, failure.Wrap(err, failure.KindSettingInvalid, "a setting can't be read")
	case p.Subcommand() == nil:
		return nil, failure.New(failure.KindSettingInvalid, "subcommand: platform, engine or app is needed")
	}
	return s, s.check()
}

// rule is one setting's bound.
type rule struct {
	name, variable string
	value          any
	allowed        string
	ok             bool
}

func (s *Settings) check() error {
	_, _, err := net.SplitHostPort(s.Listen)
	rules := []rule{{"--listen", "LISTEN", s.Listen, "ip:port", err == nil}}
	switch {
	case s.Platform != nil:
		rules = append(rules, rule{"--calls-per-second", "CALLS_PER_SECOND", s.Platform.CallsPerSecond, "0 or more", s.Platform.CallsPerSecond >= 0})
	case s.Engine != nil:
		rules = append(rules, s.Engine.rules()...)
	case s.App != nil:
		rules = append(rules,
			rule{"--delay", "DELAY", s.App.Delay, "0s or more", s.App.Delay >= 0},
			rule{"--bears", "BEARS", s.App.Bears, "1 or more", s.App.Bears >= 1})
	}
	for _, r := range rules {
		if !r.ok {
			return failure.New(failure.KindSettingInvalid, "%s (FILBERT_STANDIN_%s): %v is not allowed; allowed is %s",
				r.name, r.variable, r.value, r.allowed)
		}
	}
	return nil
}

func (e *EngineSettings) rules() []rule {
	return []rule{
		{"--memory-tokens", "MEMORY_TOKENS", e.MemoryTokens, "1 or more", e.MemoryTokens >= 1},
		{"--max-batch", "MAX_BATCH", e.MaxBatch, "1 or more", e.MaxBatch >= 1},
		{"--base-step", "BASE_STEP", e.BaseStep, "more than 0s", e.BaseStep > 0},
		{"--per-sequence", "PER_SEQUENCE", e.PerSequence, "more than 0s", e.PerSequence > 0},
		{"--per-prompt-token", "PER_PROMPT_TOKEN", e.PerPrompt, "more than 0s", e.PerPrompt > 0},
		{"--ramp-time", "RAMP_TIME", e.RampTime, "0s or more", e.RampTime >= 0},
		{"--full-bears", "FULL_BEARS", e.FullBears, "1 or more", e.FullBears >= 1},
		{"--fall-over", "FALL_OVER", e.FallOver, "stall, crash", e.FallOver == "stall" || e.FallOver == "crash"},
		{"--stall-time", "STALL_TIME", e.StallTime, "more than 0s", e.StallTime > 0},
		{"--report-lag", "REPORT_LAG", e.ReportLag, "more than 0s", e.ReportLag > 0},
		{"--cache-lag", "CACHE_LAG", e.CacheLag, "0s or more", e.CacheLag >= 0},
		{"--cache-loss", "CACHE_LOSS", e.CacheLoss, "0 to 1", e.CacheLoss >= 0 && e.CacheLoss <= 1},
		{"--median-tokens", "MEDIAN_TOKENS", e.MedianTokens, "1 or more", e.MedianTokens >= 1},
		{"--sigma-tokens", "SIGMA_TOKENS", e.SigmaTokens, "0 to 5", e.SigmaTokens >= 0 && e.SigmaTokens <= 5},
		{"--grace", "GRACE", e.Grace, "more than 0s", e.Grace > 0},
		{"--restart-after", "RESTART_AFTER", e.RestartAfter, "0s or more", e.RestartAfter >= 0},
	}
}
