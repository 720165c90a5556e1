// Package ctl implements the operators' command line: it checks and compares
// table files and configurations, queries control processes for their state, and
// analyses logs. It is read-only.
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

// Exit codes, for use in scripts.
const (
	// ExitOK means that the query succeeded and found no problem.
	ExitOK = 0
	// ExitFault means that the table or the configuration has faults, a revision
	// was refused, hosts differ, or a request was not served.
	ExitFault = 1
	// ExitUsage means that the command line, a setting or a file is invalid.
	ExitUsage = 2
	// ExitUnreachable means that at least one control process did not respond,
	// so that the output is incomplete.
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

	CheckConfig *checkConfigCommand `arg:"subcommand:check-config" help:"check a configuration before it is published and compare it with another version"`

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

// Version implements arg.Versioned.
func (settings) Version() string { return "filbertctl " + version.String() }

// Description implements arg.Described.
func (settings) Description() string {
	return "Checks the operators' table and configuration, shows what the control processes see and explains requests from logs. It only reads."
}

// Epilogue implements arg.Epilogued.
func (settings) Epilogue() string {
	return "Exit codes: 0 in order, 1 fault found, 2 usage, 3 a control process could not be reached."
}

// Run executes the command line (without the program name) and returns the exit
// code. Results are written to stdout, all other messages to stderr.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var s settings
	p, err := arg.NewParser(arg.Config{Program: "filbertctl", Out: stderr}, &s)
	if err != nil {
		return fail(stderr, failure.Wrap(err, failure.KindInternal, "settings"))
	}
	switch err := p.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(stdout)
		return ExitOK
	case errors.Is(err, arg.ErrVersion):
		writef(stdout, "%s\n", s.Version())
		return ExitOK
	case err != nil:
		p.WriteUsage(stderr)
		return fail(stderr, failure.Wrap(err, failure.KindSettingInvalid, "command line"))
	}
	return invoke(ctx, p, command{settings: s, stdout: stdout, stderr: stderr})
}

// invoke builds the command with fx, like the server programs, and executes it;
// there are no lifecycle hooks to start or stop.
func invoke(ctx context.Context, p *arg.Parser, c command) int {
	code := ExitOK
	app := fx.New(fx.NopLogger, fx.Supply(&c, p), fx.Invoke(func(c *command, p *arg.Parser) { code = c.run(ctx, p) }))
	if err := app.Err(); err != nil {
		return fail(c.stderr, failure.Wrap(err, failure.KindInternal, "the command cannot be built"))
	}
	return code
}

type command struct {
	settings
	stdout, stderr io.Writer
}

func (c *command) run(ctx context.Context, p *arg.Parser) int {
	switch {
	case c.Table != nil && c.Table.Check != nil:
		return c.checkTable(c.Table.Check.Files)
	case c.Table != nil && c.Table.Diff != nil:
		return c.diffTables(c.Table.Diff.Old, c.Table.Diff.New)
	case c.Table != nil && c.Table.Rollout != nil:
		return c.printRollout(ctx)
	case c.Hosts != nil:
		return c.printHosts(ctx)
	case c.Targets != nil:
		return c.printTargets(ctx)
	case c.Accounts != nil:
		return c.printAccounts(ctx)
	case c.CheckConfig != nil:
		return c.checkConfig(c.CheckConfig)
	case c.Explain != nil:
		return c.explain(c.Explain)
	}
	p.WriteHelp(c.stderr)
	return ExitUsage
}

// fail prints an error that ends the command and returns ExitUsage.
func fail(stderr io.Writer, err error) int {
	writef(stderr, "filbertctl: %v\n", err)
	return ExitUsage
}
