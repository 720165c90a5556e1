// Package ctl is the operators' command line: it checks and compares table
// files, asks control processes for what they see, and reads logs. It changes
// nothing.
package ctl

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/alexflint/go-arg"
	"go.uber.org/fx"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/version"
)

// Exit codes, for scripts.
const (
	// ExitOK: asked and found in order.
	ExitOK = 0
	// ExitFault: the table has faults, a revision was refused, or hosts differ.
	ExitFault = 1
	// ExitUsage: the command line, a setting or a file can't be used.
	ExitUsage = 2
	// ExitUnreachable: at least one control process gave no answer, so that
	// what is printed is not the whole picture.
	ExitUnreachable = 3
)

type settings struct {
	JSON    bool          `arg:"--json,env:FILBERT_JSON" help:"print JSON"`
	Control []string      `arg:"--control,separate,env:FILBERT_CONTROL" placeholder:"IP:PORT" help:"administration address of a control process; repeat it for each host"`
	Token   string        `arg:"--token,env:FILBERT_ADMIN_TOKEN" help:"bearer token; better given in the environment, where other users can't read it"`
	CA      string        `arg:"--ca,env:FILBERT_ADMIN_CA" placeholder:"FILE" help:"certificates that control processes are checked against; without it plain HTTP is used"`
	Timeout time.Duration `arg:"--timeout,env:FILBERT_TIMEOUT" default:"5s" help:"time for each control process to answer"`

	Table    *tableCommand `arg:"subcommand:table" help:"check, compare and follow the table"`
	Hosts    *struct{}     `arg:"subcommand:hosts" help:"hosts as published and as the control processes see them"`
	Targets  *struct{}     `arg:"subcommand:targets" help:"back ends and their load"`
	Accounts *struct{}     `arg:"subcommand:accounts" help:"client accounts, their rows and what runs"`

	Explain *explainCommand `arg:"subcommand:explain" help:"how a request ended and why, from the hosts' logs"`
}

type tableCommand struct {
	Check   *checkCommand `arg:"subcommand:check" help:"find every fault of a table file"`
	Diff    *diffCommand  `arg:"subcommand:diff" help:"show what an edit changes for whom"`
	Rollout *struct{}     `arg:"subcommand:rollout" help:"which revision is in force on which host, and why one was refused"`
}

type checkCommand struct {
	Files []string `arg:"positional,required" help:"the table's pages in their order"`
}

type diffCommand struct {
	Old string `arg:"positional,required" help:"table file before the edit"`
	New string `arg:"positional,required" help:"table file after the edit"`
}

// Version implements go-arg's versioned interface.
func (settings) Version() string { return "filbertctl " + version.String() }

// Description implements go-arg's described interface.
func (settings) Description() string {
	return "Checks the operators' table, shows what the control processes see and explains requests from logs. It only reads."
}

// Epilogue implements go-arg's interface for the end of the help.
func (settings) Epilogue() string {
	return "Exit codes: 0 in order, 1 fault found, 2 usage, 3 a control process could not be reached."
}

// Run runs the command line (without the program's name) and gives the exit
// code. Results go to out, everything else to errs.
func Run(ctx context.Context, args []string, out, errs io.Writer) int {
	var s settings
	p, err := arg.NewParser(arg.Config{Program: "filbertctl", Out: errs}, &s)
	if err != nil {
		return fail(errs, failure.Wrap(err, failure.KindInternal, "settings"))
	}
	switch err := p.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(out)
		return ExitOK
	case errors.Is(err, arg.ErrVersion):
		say(out, "%s\n", s.Version())
		return ExitOK
	case err != nil:
		p.WriteUsage(errs)
		return fail(errs, failure.Wrap(err, failure.KindSettingInvalid, "command line"))
	}
	return invoke(ctx, p, command{settings: s, out: out, errs: errs})
}

// invoke builds the command with fx, as the serving programs are built, and
// runs it; there is nothing to start or stop.
func invoke(ctx context.Context, p *arg.Parser, c command) int {
	code := ExitOK
	app := fx.New(fx.NopLogger, fx.Supply(&c, p), fx.Invoke(func(c *command, p *arg.Parser) { code = c.run(ctx, p) }))
	if err := app.Err(); err != nil {
		return fail(c.errs, failure.Wrap(err, failure.KindInternal, "the command cannot be built"))
	}
	return code
}

type command struct {
	settings
	out, errs io.Writer
}

func (c *command) run(ctx context.Context, p *arg.Parser) int {
	switch {
	case c.Table != nil && c.Table.Check != nil:
		return c.check(c.Table.Check.Files)
	case c.Table != nil && c.Table.Diff != nil:
		return c.diff(c.Table.Diff.Old, c.Table.Diff.New)
	case c.Table != nil && c.Table.Rollout != nil:
		return c.rollout(ctx)
	case c.Hosts != nil:
		return c.hosts(ctx)
	case c.Targets != nil:
		return c.targets(ctx)
	case c.Accounts != nil:
		return c.accounts(ctx)
	case c.Explain != nil:
		return c.explain(c.Explain)
	}
	p.WriteHelp(c.errs)
	return ExitUsage
}

// fail reports a failure that ends the command.
func fail(errs io.Writer, err error) int {
	say(errs, "filbertctl: %v\n", err)
	return ExitUsage
}
