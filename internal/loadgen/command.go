package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/settings"
	"filbertdeck/internal/version"
)

const program = "filbert-load"

const usage = `Usage: filbert-load {run [options] | trial [options] | compare A.json B.json | profiles}

Makes an open-loop load on entries and measures what callers receive:
  run        makes the load; the JSON result goes to standard output or --out
  trial      starts a deployment on the loopback, makes the load on it, brings
             faults about meanwhile, and ends it
  compare    prints two results side by side, with the differences
  profiles   describes the mixes of calls as JSON

"filbert-load run --help" and "filbert-load trial --help" list the options. A run that saw a broken
promise (tokens out of order, crossed answers, a call that ran twice) ends with
exit code 3, wrong settings end with 2.`

// The exit codes beside settings.ExitUsage.
const (
	exitFailed = 1
	// exitBroken says that a run saw a broken promise.
	exitBroken = 3
)

// Main runs the program and gives its exit code.
func Main(args []string, out, errOut io.Writer) int {
	errOut = &lockedWriter{out: errOut}
	code, err := command(args, out, errOut)
	switch {
	case err == nil || settings.IsHelp(err):
		return code
	case failure.KindOf(err) == failure.KindSettingInvalid:
		_, _ = fmt.Fprintln(errOut, err)
		return settings.ExitUsage
	}
	_, _ = fmt.Fprintln(errOut, err)
	return exitFailed
}

// lockedWriter takes lines of several goroutines.
type lockedWriter struct {
	mu  sync.Mutex
	out io.Writer
}

// Write implements io.Writer.
func (w *lockedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

func command(args []string, out, errOut io.Writer) (int, error) {
	name := ""
	if len(args) > 0 {
		name, args = args[0], args[1:]
	}
	switch name {
	case "run":
		return run(args, out, errOut)
	case "trial":
		return trial(args, out, errOut)
	case "compare":
		return 0, compare(args, out)
	case "profiles":
		return 0, writeJSON(out, Profiles())
	case "-h", "--help":
		_, err := fmt.Fprintln(out, usage)
		return 0, err
	case "--version":
		_, err := fmt.Fprintln(out, program, version.String())
		return 0, err
	}
	return 0, failure.New(failure.KindSettingInvalid, "first argument is %q; allowed: run, trial, compare, profiles", name)
}

// run makes a load until it is over or the process is told to stop.
func run(args []string, out, errOut io.Writer) (int, error) {
	cfg, path, err := parseRun(args, out)
	if err != nil {
		return 0, err
	}
	cfg.Progress = errOut
	ctx, stop := untilTold()
	defer stop()
	return finish(path, out, errOut, Run(ctx, cfg))
}

// untilTold gives a context that ends when the process is told to stop.
func untilTold() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// finish saves a result and gives the exit code that it means.
func finish(path string, out, errOut io.Writer, result *Result) (int, error) {
	if err := save(path, out, result); err != nil {
		return 0, err
	}
	if result.Broken() {
		_, _ = fmt.Fprintln(errOut, "a promise was broken: see violations in the result")
		return exitBroken, nil
	}
	return 0, nil
}

func save(path string, out io.Writer, result *Result) error {
	if path == "" {
		return writeJSON(out, result)
	}
	file, err := os.Create(path)
	if err != nil {
		return failure.Wrap(err, failure.KindSettingInvalid, "--out (FILBERT_LOAD_OUT): %q can't be written", path)
	}
	defer file.Close()
	return writeJSON(file, result)
}

func writeJSON(out io.Writer, value any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

func compare(args []string, out io.Writer) error {
	if len(args) != 2 {
		return failure.New(failure.KindSettingInvalid, "compare got %d arguments; allowed: two files of results", len(args))
	}
	a, err := Load(args[0])
	if err != nil {
		return err
	}
	b, err := Load(args[1])
	if err != nil {
		return err
	}
	return Compare(out, a, b)
}
