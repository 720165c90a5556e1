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

// measure is one figure of a result.
type measure struct {
	name  string
	value float64
}

// measures lists a result's figures in a fixed order. Figures without samples
// are left out: a latency of nothing is no latency of zero.
func measures(r *Result) []measure {
	list := counts("total", r.Total)
	list = append(list, measure{"total unsent", float64(r.Unsent)},
		measure{"total tokens/s", float64(r.Total.Tokens) / max(r.Seconds, math.SmallestNonzeroFloat64)})
	if r.Targets != nil {
		list = append(list, targetMeasures(r.Targets)...)
	}
	for _, name := range sortedNames(r.Kinds) {
		list = append(list, groupMeasures(name, r.Kinds[name])...)
	}
	for _, name := range sortedNames(r.Accounts) {
		list = append(list, groupMeasures("account "+name, r.Accounts[name])...)
	}
	return list
}

func targetMeasures(t *TargetCounts) []measure {
	e := t.Engines
	return []measure{
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

func counts(name string, c Counts) []measure {
	return []measure{
		{name + " sent", float64(c.Sent)}, {name + " whole", float64(c.Whole)}, {name + " refused", float64(c.Refused)},
		{name + " violated", float64(c.Violated)}, {name + " refused without time", float64(c.WithoutTime)},
		{name + " sent again", float64(c.Again)}, {name + " tokens", float64(c.Tokens)},
	}
}

func groupMeasures(name string, g *Group) []measure {
	list := counts(name, g.Counts)
	for _, r := range g.Refusals {
		list = append(list, measure{fmt.Sprintf("%s refused %s, executed %s", name, r.Type, r.Executed), float64(r.Count)})
	}
	for _, s := range []struct {
		name    string
		summary Summary
	}{
		{"first token", g.FirstToken}, {"between tokens", g.BetweenTokens}, {"stall", g.Stall},
		{"answer", g.Answer}, {"refusal", g.Refusal},
	} {
		list = append(list, summaryMeasures(name+" "+s.name, s.summary)...)
	}
	return list
}

func summaryMeasures(name string, s Summary) []measure {
	if s.Count == 0 {
		return nil
	}
	return []measure{
		{name + " mean ms", s.Mean}, {name + " p50 ms", s.P50}, {name + " p99 ms", s.P99}, {name + " max ms", s.Max},
	}
}

// Compare writes the figures of two results side by side, with B's difference
// from A. A figure that only one of them has stands alone.
func Compare(out io.Writer, a, b *Result) error {
	inB := map[string]float64{}
	for _, m := range measures(b) {
		inB[m.name] = m.value
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "measure\tA\tB\tdifference\t")
	for _, m := range measures(a) {
		value, both := inB[m.name]
		delete(inB, m.name)
		if both {
			_, _ = fmt.Fprintf(w, "%s\t%.5g\t%.5g\t%s\t\n", m.name, m.value, value, difference(m.value, value))
		} else {
			_, _ = fmt.Fprintf(w, "%s\t%.5g\t-\t\t\n", m.name, m.value)
		}
	}
	for _, m := range measures(b) {
		if _, alone := inB[m.name]; alone {
			_, _ = fmt.Fprintf(w, "%s\t-\t%.5g\t\t\n", m.name, m.value)
		}
	}
	return w.Flush()
}

func difference(a, b float64) string {
	if a == b {
		return "="
	}
	if a == 0 {
		return fmt.Sprintf("%+.5g", b)
	}
	return fmt.Sprintf("%+.1f%%", (b-a)/a*100)
}

// Load reads a result that a run wrote.
func Load(path string) (*Result, error) {
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
