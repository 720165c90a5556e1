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

// explain says how requests ended and which line decided it. A request that
// was not served is a fault found.
func (c *command) explain(args *explainCommand) int {
	if args.Tally == (len(args.Requests) > 0) {
		return fail(c.errs, failure.New(failure.KindSettingInvalid, "explain needs either --tally or the ids of requests"))
	}
	var logs explain.Log
	for _, path := range args.Log {
		if err := readLog(&logs, path); err != nil {
			return fail(c.errs, err)
		}
	}
	if logs.Unread > 0 {
		say(c.errs, "filbertctl: %d lines of the logs are not the gateway's\n", logs.Unread)
	}
	if args.Tally {
		c.tally(logs.Tally())
		return ExitOK
	}
	return c.stories(&logs, args.Requests)
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

func (c *command) tally(counts []explain.Count) {
	if c.JSON {
		printJSON(c.out, counts)
		return
	}
	rows := make([][]any, len(counts))
	for i, n := range counts {
		rows[i] = []any{n.N, n.Cause, n.Detail}
	}
	grid(c.out, "REQUESTS\tCAUSE\tDETAIL", rows)
}

func (c *command) stories(logs *explain.Log, requests []string) int {
	code := ExitOK
	stories := make([]explain.Story, len(requests))
	for i, id := range requests {
		stories[i] = logs.Explain(id)
		if stories[i].Cause != explain.CauseServed {
			code = ExitFault
		}
	}
	if c.JSON {
		printJSON(c.out, stories)
		return code
	}
	for _, s := range stories {
		c.story(s)
	}
	return code
}

// story prints a request's lines, the deciding one last.
func (c *command) story(s explain.Story) {
	say(c.out, "%s: %s", s.Request, s.Cause)
	if s.Detail != "" {
		say(c.out, " (%s)", s.Detail)
	}
	say(c.out, "\n")
	for _, line := range s.Lines {
		say(c.out, "  %s\n", line.Text)
	}
	if s.Deciding != nil {
		say(c.out, "  decided by: %s\n", s.Deciding.Text)
	}
}
