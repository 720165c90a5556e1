// Package process starts and stops one of our programs: settings, logger,
// fx application, signals, exit code.
package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/metrics"
	"filbertdeck/internal/settings"
)

// Exit codes of the serving programs.
const (
	ExitOK     = 0
	ExitFailed = 1
)

// startTimeout bounds the start: listeners and first connections only.
const startTimeout = 30 * time.Second

// noticeSteps is how many notices a planned stop takes at most: three until it
// refuses, one after the last request.
const noticeSteps = 4

// Program is one serving program.
type Program struct {
	Name  string
	About string
	// Settings points to the program's settings, Common to the part in it that
	// all programs share.
	Settings any
	Common   *settings.Common
	// Prepare, if given, completes the settings after they were parsed, such as
	// from a file that the deployment writes.
	Prepare func() error
	// LogOutput receives the log lines; standard error by default.
	LogOutput io.Writer
	// Options build the application from the settings.
	Options func() []fx.Option
}

// Main runs the program until it is asked to stop and gives its exit code.
func Main(p Program) int {
	err := settings.Parse(p.Name, p.About, p.Settings, os.Args[1:], os.Stdout)
	if settings.IsHelp(err) {
		return ExitOK
	}
	if err == nil && p.Prepare != nil {
		err = p.Prepare()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return settings.ExitUsage
	}
	if p.LogOutput == nil {
		p.LogOutput = os.Stderr
	}
	out := NewLogWriter(p.LogOutput)
	defer func() { _ = out.Close() }()
	log := NewLogger(out, p.Common).With("program", p.Name, "host", p.Common.Host)
	return run(p, log)
}

func run(p Program, log *slog.Logger) int {
	options := append([]fx.Option{
		fx.Supply(log, p.Common),
		fx.Provide(metrics.NewRegistry),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(noticeSteps*p.Common.StopNotice + p.Common.StopWait + startTimeout),
	}, p.Options()...)
	app := fx.New(options...)
	if err := app.Err(); err != nil {
		return failed(log, "cannot be built", err)
	}
	return serve(app, log)
}

func serve(app *fx.App, log *slog.Logger) int {
	startCtx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return failed(log, "cannot start", err)
	}
	log.Info("started")
	signal := <-app.Wait()
	log.Info("stopping", "signal", signal.Signal)
	stopCtx, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stopCtx); err != nil {
		return failed(log, "did not stop in order", err)
	}
	log.Info("stopped")
	return signal.ExitCode
}

func failed(log *slog.Logger, what string, err error) int {
	var typed *failure.Error
	if errors.As(err, &typed) && typed.Kind == failure.KindSettingInvalid {
		fmt.Fprintln(os.Stderr, typed)
		return settings.ExitUsage
	}
	log.Error("process "+what, "error", err)
	return ExitFailed
}

// NewLogger returns the process's logger.
func NewLogger(w io.Writer, c *settings.Common) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.LogLevel)); err != nil {
		level = slog.LevelInfo
	}
	options := &slog.HandlerOptions{Level: level}
	if c.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}
