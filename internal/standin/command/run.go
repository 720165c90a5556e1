package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"

	"go.uber.org/fx"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/settings"
	"filbertdeck/internal/standin/app"
	"filbertdeck/internal/standin/engine"
	"filbertdeck/internal/standin/model"
	"filbertdeck/internal/standin/platform"
	"filbertdeck/internal/standin/web"
	"filbertdeck/internal/version"
)

const program = "filbert-standin"

const usage = `Usage: filbert-standin {platform | engine | app} [--listen IP:PORT] [options]

Small stand-ins for what filbertdeck meets, for tests and the demo:
  platform   the configuration service: versioned values, read and watched
  engine     a model engine with a continuous batch and scripted faults
  app        a plain service that counts how often each call ran

The first line on standard output is "listening ip:port".
"filbert-standin engine --help" lists a stand-in's options.`

// The program's exit codes beside settings.ExitUsage.
const (
	exitFailed = 1
	// exitCrashed is that of a scripted crash.
	exitCrashed = 3
)

// Standin is what each of the stand-ins offers.
type Standin interface {
	Handler() http.Handler
	Close()
}

// chosen holds the settings of the stand-in that was asked for.
type chosen interface {
	make() Standin
	address() string
}

// Main runs the program and gives its exit code.
func Main(args []string, out, errOut io.Writer) int {
	c, err := choose(args, out)
	if settings.IsHelp(err) {
		return 0
	}
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return settings.ExitUsage
	}
	if c == nil {
		return 0
	}
	if err := run(c, out); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitFailed
	}
	return 0
}

// choose reads the settings of the stand-in that the first argument names. It
// gives nil when only help or the version was asked for.
func choose(args []string, out io.Writer) (chosen, error) {
	name := ""
	if len(args) > 0 {
		name = args[0]
	}
	switch name {
	case "platform":
		s := &PlatformSettings{}
		return s, parse(s, args, out)
	case "engine":
		s := &EngineSettings{}
		return s, parse(s, args, out)
	case "app":
		s := &AppSettings{}
		return s, parse(s, args, out)
	case "-h", "--help":
		_, err := fmt.Fprintln(out, usage)
		return nil, err
	case "--version":
		_, err := fmt.Fprintln(out, program, version.String())
		return nil, err
	}
	return nil, failure.New(failure.KindSettingInvalid, "first argument is %q; allowed: platform, engine, app", name)
}

func parse(dest any, args []string, out io.Writer) error {
	return settings.Parse(program+" "+args[0], usage, dest, args[1:], out)
}

// run serves until the process is told to stop.
func run(c chosen, out io.Writer) error {
	app := fx.New(fx.NopLogger, fx.Provide(c.make), fx.Invoke(func(lc fx.Lifecycle, st Standin) { serve(lc, c.address(), st, out) }))
	if err := app.Start(context.Background()); err != nil {
		return err
	}
	<-app.Done()
	return app.Stop(context.Background())
}

// serve listens while the program runs.
func serve(lc fx.Lifecycle, address string, st Standin, out io.Writer) {
	var listener *web.Listener
	lc.Append(fx.Hook{
		OnStart: func(context.Context) (err error) {
			listener, err = web.Listen(address, st.Handler(), out)
			return err
		},
		OnStop: func(ctx context.Context) error {
			st.Close()
			return listener.Stop(ctx)
		},
	})
}

func (s *PlatformSettings) make() Standin {
	return platform.NewServer(platform.Config{CallsPerSecond: s.CallsPerSecond})
}

func (s *AppSettings) make() Standin {
	return app.NewServer(app.Config{Delay: s.Delay, Bears: s.Bears})
}

func (s *EngineSettings) make() Standin {
	cfg := engine.Config{
		Model: s.model(), CheckFence: s.CheckFence, Grace: s.Grace, RestartAfter: s.RestartAfter,
		Lengths: engine.Lengths{Median: s.MedianTokens, Sigma: s.SigmaTokens, Seed: s.Seed},
	}
	if s.RestartAfter == 0 {
		cfg.OnCrash = func() { os.Exit(exitCrashed) }
	}
	return engine.NewServer(cfg)
}

func (s *EngineSettings) model() model.Config {
	m := model.DefaultConfig()
	m.MemoryTokens, m.MaxBatch = s.MemoryTokens, s.MaxBatch
	m.BaseStep, m.PerSequence, m.PerPromptToken = s.BaseStep, s.PerSequence, s.PerPrompt
	m.WarmUpTime, m.WarmCapacity, m.StallTime = s.RampTime, s.FullBears, s.StallTime
	if s.FallOver == "crash" {
		m.FallOver = model.FallOverCrash
	}
	m.ReportLag, m.CacheLag, m.CacheLoss = s.ReportLag, s.CacheLag, s.CacheLoss
	m.Seed, m.Incarnation = s.Seed, 0
	return m
}
