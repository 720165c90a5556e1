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

func writef(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

func printJSON(w io.Writer, v any) {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

// printTable prints rows in aligned columns.
func printTable(w io.Writer, header string, rows [][]any) {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	writef(tw, "%s\n", header)
	for _, r := range rows {
		cells := make([]string, len(r))
		for i, c := range r {
			cells[i] = fmt.Sprint(c)
		}
		writef(tw, "%s\n", strings.Join(cells, "\t"))
	}
	_ = tw.Flush()
}

// exitCode returns the exit code. Unreachable control processes take precedence
// over faults, because the output is incomplete.
func exitCode(allReached, fault bool) int {
	switch {
	case !allReached:
		return ExitUnreachable
	case fault:
		return ExitFault
	}
	return ExitOK
}

func (c *command) printRollout(ctx context.Context) int {
	responses, allReached, err := queryAll[adminapi.RolloutDocument](ctx, c, "/admin/v1/rollout")
	if err != nil {
		return fail(c.stderr, err)
	}
	fault := false
	seenVersions := map[string]string{}
	var rows [][]any
	for _, a := range responses {
		if a.Value == nil {
			rows = append(rows, []any{a.Control, "?", "?", "?", "not reached", ""})
			continue
		}
		for _, d := range a.Value.Documents {
			versionDigest := d.Version + " " + d.Digest
			if other, seen := seenVersions[d.Document]; seen && other != versionDigest {
				fault = true
			}
			seenVersions[d.Document] = versionDigest
			fault = fault || d.RefusedVersion != ""
			rows = append(rows, []any{a.Control, d.Document, d.Version, formatSince(d.Since), documentState(a.Value, d), d.RefusedReason})
		}
	}
	if c.JSON {
		printJSON(c.stdout, responses)
	} else {
		printTable(c.stdout, "HOST\tDOCUMENT\tVERSION\tIN FORCE SINCE\tSTATE\tREASON", rows)
	}
	return exitCode(allReached, fault)
}

func formatSince(t *time.Time) string {
	if t == nil {
		return "-"
	}
	return t.Format(time.RFC3339)
}

// documentState describes the state of one document on a host.
func documentState(r *adminapi.RolloutDocument, d adminapi.DocumentStatus) string {
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

func (c *command) printHosts(ctx context.Context) int {
	responses, allReached, err := queryAll[adminapi.HostsDocument](ctx, c, "/admin/v1/hosts")
	if err != nil {
		return fail(c.stderr, err)
	}
	if c.JSON {
		printJSON(c.stdout, responses)
		return exitCode(allReached, false)
	}
	if doc := firstResponse(responses); doc != nil {
		var rows [][]any
		for _, h := range doc.Hosts {
			rows = append(rows, []any{h.Name, h.DataCentre, h.Entry, h.Control, h.PublishedState, h.MemberState, h.Incarnation})
		}
		writef(c.stdout, "as seen by %s\n", doc.Self)
		printTable(c.stdout, "HOST\tDATA CENTRE\tENTRY\tCONTROL\tPUBLISHED\tMEMBER\tINCARNATION", rows)
	}
	return exitCode(allReached, false)
}

func (c *command) printTargets(ctx context.Context) int {
	responses, allReached, err := queryAll[adminapi.TargetsDocument](ctx, c, "/admin/v1/targets")
	if err != nil {
		return fail(c.stderr, err)
	}
	if c.JSON {
		printJSON(c.stdout, responses)
		return exitCode(allReached, false)
	}
	var rows [][]any
	for i, a := range responses {
		if a.Value == nil {
			continue
		}
		for _, t := range a.Value.Targets {
			// Load comes from the allocator of a target. Targets that none of
			// the queried hosts admits to are listed once, from the first
			// control process.
			if t.Known || i == 0 {
				rows = append(rows, []any{t.Service, t.Address, t.DataCentre, t.PublishedState, t.Drained, a.Control,
					t.Known, t.Running, t.Waiting, t.Capacity, fmt.Sprintf("%d/%d", t.UsedTokens, t.MemoryTokens), t.Preemptions})
			}
		}
	}
	printTable(c.stdout, "SERVICE\tTARGET\tDATA CENTRE\tPUBLISHED\tDRAINED\tSEEN BY\tADMITS\tRUNNING\tWAITING\tBEARS\tMEMORY\tPREEMPTIONS", rows)
	return exitCode(allReached, false)
}

func (c *command) printAccounts(ctx context.Context) int {
	responses, allReached, err := queryAll[adminapi.AccountsDocument](ctx, c, "/admin/v1/accounts")
	if err != nil {
		return fail(c.stderr, err)
	}
	if c.JSON {
		printJSON(c.stdout, responses)
		return exitCode(allReached, false)
	}
	doc := firstResponse(responses)
	if doc == nil {
		return exitCode(allReached, false)
	}
	sums := map[string]*adminapi.AccountStatus{}
	for i := range doc.Accounts {
		sums[doc.Accounts[i].Name] = &doc.Accounts[i]
	}
	for _, a := range responses {
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
	writef(c.stdout, "table %s; running, waiting and tokens are sums over the hosts asked\n", doc.Revision)
	printTable(c.stdout, "ACCOUNT\tWEIGHT\tMAX RUNNING\tTOKENS/S\tPRIORITY\tRUNNING\tWAITING\tTOKENS", rows)
	return exitCode(allReached, false)
}
