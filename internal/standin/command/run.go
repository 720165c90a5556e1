package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"

	"go.uber.org/fx"

	"filbertdeck/internal/standin/app"
	"filbertdeck/internal/standin/engine"
	"filbertdeck/internal/standin/model"
	"filbertdeck/internal/standin/platform"
	"filbertdeck/internal/standin/web"
)

// The program's exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
	// exitCrashed is that of a scripted crash.
	exitCrashed = 3
)

// standin is what each of the stand-ins offers.
type standin interface {
	Handler() http.Handler
	Close()
}

// Main runs the program and gives its exit code.
func Main(args []string, out, errOut io.Writer) int {
	settings, err := Parse(args, out)
	if errors.Is(err, errShown) {
		return 0
	}
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitSettings
	}
	program := fx.New(fx.NopLogger, fx.Supply(settings, fx.Annotate(out, fx.As(new(io.Writer)))),
		fx.Provide(newStandin), fx.Invoke(serve))
	if err := program.Start(context.Background()); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitFailed
	}
	<-program.Done()
	if err := program.Stop(context.Background()); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitFailed
	}
	return 0
}

func newStandin(s *Settings) standin {
	switch {
	case s.Platform != nil:
		return platform.NewServer(platform.Config{CallsPerSecond: s.Platform.CallsPerSecond})
	case s.App != nil:
		return app.NewServer(app.Config{Delay: s.App.Delay, Bears: s.App.Bears})
	default:
		return engine.NewServer(s.Engine.config())
	}
}

func (e *EngineSettings) config() engine.Config {
	m := model.Default()
	m.MemoryTokens, m.MaxBatch = e.MemoryTokens, e.MaxBatch
	m.BaseStep, m.PerSequence, m.PerPrompt = e.BaseStep, e.PerSequence, e.PerPrompt
	m.RampTime, m.FullBears, m.StallTime = e.RampTime, e.FullBears, e.StallTime
	if e.FallOver == "crash" {
		m.FallOver = model.FallOverCrash
	}
	m.ReportLag, m.CacheLag, m.CacheLoss = e.ReportLag, e.CacheLag, e.CacheLoss
	m.Seed = e.Seed
	m.Incarnation = 0
	cfg := engine.Config{
		Model: m, CheckFence: e.CheckFence, Grace: e.Grace, RestartAfter: e.RestartAfter,
		Lengths: engine.Lengths{Median: e.MedianTokens, Sigma: e.SigmaTokens, Seed: e.Seed},
	}
	if e.RestartAfter == 0 {
		cfg.OnCrash = func() { os.Exit(exitCrashed) }
	}
	return cfg
}

// serve listens while the program runs.
func serve(lc fx.Lifecycle, s *Settings, st standin, out io.Writer) {
	var listener *web.Listener
	lc.Append(fx.Hook{
		OnStart: func(context.Context) (err error) {
			listener, err = web.Listen(s.Listen, st.Handler(), out)
			return err
		},
		OnStop: func(ctx context.Context) error {
			st.Close()
			return listener.Stop(ctx)
		},
	})
}
