package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"filbertdeck/internal/adminapi"
)

func say(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

func printJSON(w io.Writer, v any) {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

// grid prints rows in columns.
func grid(w io.Writer, header string, rows [][]any) {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	say(tw, "%s\n", header)
	for _, r := range rows {
		cells := make([]string, len(r))
		for i, c := range r {
			cells[i] = fmt.Sprint(c)
		}
		say(tw, "%s\n", strings.Join(cells, "\t"))
	}
	_ = tw.Flush()
}

// finish gives the exit code: what could not be asked outweighs what was
// found, since the picture is not whole.
func finish(reached, fault bool) int {
	switch {
	case !reached:
		return ExitUnreachable
	case fault:
		return ExitFault
	}
	return ExitOK
}

func (c *command) rollout(ctx context.Context) int {
	answers, reached, err := ask[adminapi.RolloutDocument](ctx, c, "/admin/v1/rollout")
	if err != nil {
		return fail(c.errs, err)
	}
	fault := false
	inForce := map[string]string{}
	var rows [][]any
	for _, a := range answers {
		if a.Value == nil {
			rows = append(rows, []any{a.Control, "?", "?", "?", "not reached", ""})
			continue
		}
		for _, d := range a.Value.Documents {
			held := d.Version + " " + d.Digest
			if other, seen := inForce[d.Document]; seen && other != held {
				fault = true
			}
			inForce[d.Document] = held
			fault = fault || d.RefusedVersion != ""
			rows = append(rows, []any{a.Control, d.Document, d.Version, since(d.Since), state(a.Value, d), d.RefusedReason})
		}
	}
	if c.JSON {
		printJSON(c.out, answers)
	} else {
		grid(c.out, "HOST\tDOCUMENT\tVERSION\tIN FORCE SINCE\tSTATE\tREASON", rows)
	}
	return finish(reached, fault)
}

func since(t *time.Time) string {
	if t == nil {
		return "-"
	}
	return t.Format(time.RFC3339)
}

// state says in words how one document stands on a host.
func state(r *adminapi.RolloutDocument, d adminapi.DocumentStatus) string {
	switch {
	case d.RefusedVersion != "":
		return "refused " + d.RefusedVersion
	case r.Service.Reader && r.Service.Behind:
		return "in force; service behind"
	case !r.Ready:
		return "joining"
	}
	return "in force"
}

func (c *command) hosts(ctx context.Context) int {
	answers, reached, err := ask[adminapi.HostsDocument](ctx, c, "/admin/v1/hosts")
	if err != nil {
		return fail(c.errs, err)
	}
	if c.JSON {
		printJSON(c.out, answers)
		return finish(reached, false)
	}
	if doc := first(answers); doc != nil {
		var rows [][]any
		for _, h := range doc.Hosts {
			rows = append(rows, []any{h.Name, h.DataCentre, h.Entry, h.Control, h.Published, h.Member, h.Incarnation})
		}
		say(c.out, "as seen by %s\n", doc.Self)
		grid(c.out, "HOST\tDATA CENTRE\tENTRY\tCONTROL\tPUBLISHED\tMEMBER\tINCARNATION", rows)
	}
	return finish(reached, false)
}

func (c *command) targets(ctx context.Context) int {
	answers, reached, err := ask[adminapi.TargetsDocument](ctx, c, "/admin/v1/targets")
	if err != nil {
		return fail(c.errs, err)
	}
	if c.JSON {
		printJSON(c.out, answers)
		return finish(reached, false)
	}
	var rows [][]any
	for i, a := range answers {
		if a.Value == nil {
			continue
		}
		for _, t := range a.Value.Targets {
			// The allocator of a target has its figures; the first host that
			// answered names those that no host asked admits to.
			if t.Known || i == 0 {
				rows = append(rows, []any{t.Service, t.Address, t.DataCentre, t.PublishedState, t.Drained, a.Control,
					t.Known, t.Running, t.Waiting, t.Capacity, fmt.Sprintf("%d/%d", t.UsedTokens, t.MemoryTokens), t.Preemptions})
			}
		}
	}
	grid(c.out, "SERVICE\tTARGET\tDATA CENTRE\tPUBLISHED\tDRAINED\tSEEN BY\tADMITS\tRUNNING\tWAITING\tBEARS\tMEMORY\tPREEMPTIONS", rows)
	return finish(reached, false)
}

func (c *command) accounts(ctx context.Context) int {
	answers, reached, err := ask[adminapi.AccountsDocument](ctx, c, "/admin/v1/accounts")
	if err != nil {
		return fail(c.errs, err)
	}
	if c.JSON {
		printJSON(c.out, answers)
		return finish(reached, false)
	}
	doc := first(answers)
	if doc == nil {
		return finish(reached, false)
	}
	sums := map[string]*adminapi.AccountStatus{}
	for i := range doc.Accounts {
		sums[doc.Accounts[i].Name] = &doc.Accounts[i]
	}
	for _, a := range answers {
		if a.Value == nil || a.Value == doc {
			continue
		}
		for _, s := range a.Value.Accounts {
			if sum := sums[s.Name]; sum != nil {
				sum.Running, sum.Waiting, sum.Tokens = sum.Running+s.Running, sum.Waiting+s.Waiting, sum.Tokens+s.Tokens
			}
		}
	}
	var rows [][]any
	for _, s := range doc.Accounts {
		rows = append(rows, []any{s.Name, s.Weight, s.MaxRunning, s.TokensPerSecond, s.Priority, s.Running, s.Waiting, s.Tokens})
	}
	say(c.out, "table %s; running, waiting and tokens are sums over the hosts asked\n", doc.Revision)
	grid(c.out, "ACCOUNT\tWEIGHT\tMAX RUNNING\tTOKENS/S\tPRIORITY\tRUNNING\tWAITING\tTOKENS", rows)
	return finish(reached, false)
}
