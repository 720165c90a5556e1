package loadgen

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"text/tabwriter"

	"filbertdeck/internal/failure"
)

// metric is one named value of a result.
type metric struct {
	name  string
	value float64
}

// resultMetrics lists the metrics of a result in a fixed order. Latencies without
// samples are omitted, since they would appear as a latency of zero.
func resultMetrics(r *Result) []metric {
	list := countMetrics("total", r.Total)
	list = append(list, metric{"total unsent", float64(r.Unsent)},
		metric{"total tokens/s", float64(r.Total.Tokens) / max(r.Seconds, math.SmallestNonzeroFloat64)})
	if r.Targets != nil {
		list = append(list, targetMetrics(r.Targets)...)
	}
	for _, name := range sortedNames(r.Kinds) {
		list = append(list, groupMetrics(name, r.Kinds[name])...)
	}
	for _, name := range sortedNames(r.Accounts) {
		list = append(list, groupMetrics("account "+name, r.Accounts[name])...)
	}
	return list
}

func targetMetrics(t *TargetCounts) []metric {
	e := t.Engines
	return []metric{
		{"engines started", float64(e.Submitted)}, {"engines finished", float64(e.Finished)},
		{"engines cancelled", float64(e.Cancelled)}, {"engines tokens", float64(e.Tokens)},
		{"engines preemptions", float64(e.Preemptions)}, {"engines recomputed tokens", float64(e.Recomputed)},
		{"engines prefix hits", float64(e.PrefixHits)}, {"engines over what they bear", float64(e.OverBears)},
		{"engines over in grace", float64(e.OverInGrace)},
		{"engines fell over", float64(e.FellOver)}, {"services calls", float64(t.Calls)},
		{"services keys run twice", float64(t.RanTwice)}, {"targets unreachable", float64(t.Unreachable)},
	}
}

func sortedNames(groups map[string]*Group) []string {
	names := make([]string, 0, len(groups))
	for name := range groups {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func countMetrics(name string, c Counts) []metric {
	return []metric{
		{name + " sent", float64(c.Sent)}, {name + " whole", float64(c.Whole)}, {name + " refused", float64(c.Refused)},
		{name + " violated", float64(c.Violated)}, {name + " refused without time", float64(c.RefusedWithoutRetryAfter)},
		{name + " sent again", float64(c.Retries)}, {name + " tokens", float64(c.Tokens)},
	}
}

func groupMetrics(name string, g *Group) []metric {
	list := countMetrics(name, g.Counts)
	for _, r := range g.Refusals {
		list = append(list, metric{fmt.Sprintf("%s refused %s, executed %s", name, r.Type, r.Executed), float64(r.Count)})
	}
	for _, s := range []struct {
		name    string
		summary Summary
	}{
		{"first token", g.FirstToken}, {"between tokens", g.BetweenTokens}, {"stall", g.Stall},
		{"answer", g.Answer}, {"refusal", g.Refusal},
	} {
		list = append(list, summaryMetrics(name+" "+s.name, s.summary)...)
	}
	return list
}

func summaryMetrics(name string, s Summary) []metric {
	if s.Count == 0 {
		return nil
	}
	return []metric{
		{name + " mean ms", s.Mean}, {name + " p50 ms", s.P50}, {name + " p99 ms", s.P99}, {name + " max ms", s.Max},
	}
}

// WriteComparison writes the metrics of two results side by side, with the
// difference of B from A. Metrics that only one result has are listed without a
// difference.
func WriteComparison(out io.Writer, a, b *Result) error {
	valuesB := map[string]float64{}
	for _, metric := range resultMetrics(b) {
		valuesB[metric.name] = metric.value
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "measure\tA\tB\tdifference\t")
	for _, metric := range resultMetrics(a) {
		value, inBoth := valuesB[metric.name]
		delete(valuesB, metric.name)
		if inBoth {
			_, _ = fmt.Fprintf(table, "%s\t%.5g\t%.5g\t%s\t\n", metric.name, metric.value, value, formatDifference(metric.value, value))
		} else {
			_, _ = fmt.Fprintf(table, "%s\t%.5g\t-\t\t\n", metric.name, metric.value)
		}
	}
	for _, metric := range resultMetrics(b) {
		if _, onlyInB := valuesB[metric.name]; onlyInB {
			_, _ = fmt.Fprintf(table, "%s\t-\t%.5g\t\t\n", metric.name, metric.value)
		}
	}
	return table.Flush()
}

func formatDifference(a, b float64) string {
	if a == b {
		return "="
	}
	if a == 0 {
		return fmt.Sprintf("%+.5g", b)
	}
	return fmt.Sprintf("%+.1f%%", (b-a)/a*100)
}

// LoadResult reads the result file of a run.
func LoadResult(path string) (*Result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindSettingInvalid, "result %q can't be read", path)
	}
	var r Result
	if err := json.Unmarshal(data, &r); err != nil || r.Kinds == nil {
		return nil, failure.New(failure.KindSettingInvalid, "%q holds no result of filbert-load run", path)
	}
	return &r, nil
}
