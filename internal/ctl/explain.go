package ctl

import (
	"io"
	"os"

	"filbertdeck/internal/explain"
	"filbertdeck/internal/failure"
)

type explainCommand struct {
	Log      []string `arg:"--log,separate,required" placeholder:"FILE" help:"log of one or more hosts; repeat it for each file, - for standard input"`
	Tally    bool     `arg:"--tally" help:"count all requests of the logs by cause in place of explaining single ones"`
	Requests []string `arg:"positional" placeholder:"ID" help:"ids of requests"`
}

// explain prints how requests ended and which line decided it. It returns
// ExitFault if a request was not served.
func (c *command) explain(args *explainCommand) int {
	if args.Tally == (len(args.Requests) > 0) {
		return fail(c.stderr, failure.New(failure.KindSettingInvalid, "explain needs either --tally or the ids of requests"))
	}
	var logs explain.Log
	for _, path := range args.Log {
		if err := readLog(&logs, path); err != nil {
			return fail(c.stderr, err)
		}
	}
	if logs.SkippedLines > 0 {
		writef(c.stderr, "filbertctl: %d lines of the logs are not the gateway's\n", logs.SkippedLines)
	}
	if args.Tally {
		c.printCounts(logs.CountByCause())
		return ExitOK
	}
	return c.explainRequests(&logs, args.Requests)
}

func readLog(logs *explain.Log, path string) error {
	if path == "-" {
		return logs.Read(os.Stdin)
	}
	f, err := os.Open(path)
	if err != nil {
		return failure.Wrap(err, failure.KindSettingInvalid, "log %s can't be opened", path)
	}
	defer func() { _ = f.Close() }()
	return logs.Read(io.Reader(f))
}

func (c *command) printCounts(counts []explain.CauseCount) {
	if c.JSON {
		printJSON(c.stdout, counts)
		return
	}
	rows := make([][]any, len(counts))
	for i, n := range counts {
		rows[i] = []any{n.Requests, n.Cause, n.Detail}
	}
	printTable(c.stdout, "REQUESTS\tCAUSE\tDETAIL", rows)
}

func (c *command) explainRequests(logs *explain.Log, requests []string) int {
	code := ExitOK
	explanations := make([]explain.Explanation, len(requests))
	for i, id := range requests {
		explanations[i] = logs.Explain(id)
		if explanations[i].Cause != explain.CauseServed {
			code = ExitFault
		}
	}
	if c.JSON {
		printJSON(c.stdout, explanations)
		return code
	}
	for _, s := range explanations {
		c.printExplanation(s)
	}
	return code
}

// printExplanation prints the lines of a request, the decisive one last.
func (c *command) printExplanation(explanation explain.Explanation) {
	writef(c.stdout, "%s: %s", explanation.Request, explanation.Cause)
	if explanation.Detail != "" {
		writef(c.stdout, " (%s)", explanation.Detail)
	}
	writef(c.stdout, "\n")
	for _, line := range explanation.Lines {
		writef(c.stdout, "  %s\n", line.Text)
	}
	if explanation.DecidingLine != nil {
		writef(c.stdout, "  decided by: %s\n", explanation.DecidingLine.Text)
	}
}
