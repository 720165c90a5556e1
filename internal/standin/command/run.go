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

Simulated services for tests and the demo of filbertdeck:
  platform   the configuration service: versioned values to read and watch
  engine     a model engine with continuous batching and injected faults
  app        an ordinary HTTP service that counts the executions of each call

The first line on standard output is "listening ip:port".
"filbert-standin engine --help" lists the options of a service.`

// The program's exit codes, in addition to settings.ExitUsage.
const (
	exitFailed = 1
	// exitCrashed is the exit code of a simulated crash.
	exitCrashed = 3
)

// Service is one of the simulated services.
type Service interface {
	Handler() http.Handler
	Close()
}

// serviceSettings holds the settings of the selected service and constructs it.
type serviceSettings interface {
	newService() Service
	address() string
}

// Main runs the program and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	selected, err := parseArgs(args, out)
	if settings.IsHelp(err) {
		return 0
	}
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return settings.ExitUsage
	}
	if selected == nil {
		return 0
	}
	if err := run(selected, out); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitFailed
	}
	return 0
}

// parseArgs parses the settings of the service that the first argument selects.
// It returns nil if only the help or the version was requested.
func parseArgs(args []string, out io.Writer) (serviceSettings, error) {
	name := ""
	if len(args) > 0 {
		name = args[0]
	}
	switch name {
	case "platform":
		s := &PlatformSettings{}
		return s, parseSettings(s, args, out)
	case "engine":
		s := &EngineSettings{}
		return s, parseSettings(s, args, out)
	case "app":
		s := &AppSettings{}
		return s, parseSettings(s, args, out)
	case "-h", "--help":
		_, err := fmt.Fprintln(out, usage)
		return nil, err
	case "--version":
		_, err := fmt.Fprintln(out, program, version.String())
		return nil, err
	}
	return nil, failure.New(failure.KindSettingInvalid, "first argument is %q; allowed: platform, engine, app", name)
}

func parseSettings(dest any, args []string, out io.Writer) error {
	return settings.Parse(program+" "+args[0], usage, dest, args[1:], out)
}

// run serves until the process receives a stop signal.
func run(selected serviceSettings, out io.Writer) error {
	fxApp := fx.New(fx.NopLogger, fx.Provide(selected.newService), fx.Invoke(func(lc fx.Lifecycle, service Service) { serve(lc, selected.address(), service, out) }))
	if err := fxApp.Start(context.Background()); err != nil {
		return err
	}
	<-fxApp.Done()
	return fxApp.Stop(context.Background())
}

// serve adds the lifecycle hooks that start and stop the HTTP server.
func serve(lc fx.Lifecycle, address string, service Service, out io.Writer) {
	var listener *web.Listener
	lc.Append(fx.Hook{
		OnStart: func(context.Context) (err error) {
			listener, err = web.Listen(address, service.Handler(), out)
			return err
		},
		OnStop: func(ctx context.Context) error {
			service.Close()
			return listener.Stop(ctx)
		},
	})
}

func (s *PlatformSettings) newService() Service {
	return platform.NewServer(platform.Config{CallsPerSecond: s.CallsPerSecond})
}

func (s *AppSettings) newService() Service {
	return app.NewServer(app.Config{Delay: s.Delay, Capacity: s.Capacity})
}

func (s *EngineSettings) newService() Service {
	cfg := engine.Config{
		Model: s.modelConfig(), CheckFence: s.CheckFence, DisconnectGrace: s.DisconnectGrace, RestartAfter: s.RestartAfter,
		OutputLengths: engine.LengthDistribution{MedianTokens: s.MedianTokens, Sigma: s.SigmaTokens, Seed: s.Seed},
	}
	if s.RestartAfter == 0 {
		cfg.OnCrash = func() { os.Exit(exitCrashed) }
	}
	return engine.NewServer(cfg)
}

func (s *EngineSettings) modelConfig() model.Config {
	m := model.DefaultConfig()
	m.MemoryTokens, m.MaxBatch = s.MemoryTokens, s.MaxBatch
	m.BaseStep, m.PerSequence, m.PerPromptToken = s.BaseStep, s.PerSequence, s.PerPromptToken
	m.WarmUpTime, m.WarmCapacity, m.OverloadStallTime = s.WarmUpTime, s.WarmCapacity, s.StallTime
	if s.OverloadEffect == "crash" {
		m.OverloadEffect = model.OverloadCrash
	}
	m.ReportLag, m.CacheLag, m.CacheLossRate = s.ReportLag, s.CacheLag, s.CacheLossRate
	m.Seed, m.Incarnation = s.Seed, 0
	return m
}
