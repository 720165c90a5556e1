package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"filbertdeck/internal/failure"
)

// maxParallelPolicies limits the number of policies simulated at the same time.
const maxParallelPolicies = 4

// ScenarioNames returns the names of the scenarios.
func ScenarioNames() []string {
	var names []string
	for _, s := range Scenarios() {
		names = append(names, s.Name)
	}
	return names
}

// Run runs the named scenario under each of its policies and prints a table of
// results. The table is the same for the same seed. It returns a KindNotFound
// error if there is no such scenario.
func Run(name string, seed uint64, w io.Writer) error {
	results, err := runScenario(name, seed)
	if err != nil {
		return err
	}
	return printTable(results, seed, w)
}

// runScenario runs the named scenario under each of its policies.
func runScenario(name string, seed uint64) ([]*Result, error) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return runPolicies(&s, seed)
		}
	}
	return nil, failure.New(failure.KindNotFound, "no scenario is called %q", name)
}

func runPolicies(s *Scenario, seed uint64) ([]*Result, error) {
	results := make([]*Result, len(s.Policies))
	var group errgroup.Group
	group.SetLimit(maxParallelPolicies)
	for i, spec := range s.Policies {
		group.Go(func() error {
			scenarioCopy := *s
			scenarioCopy.Classes = append([]RequestClass(nil), s.Classes...)
			results[i] = newSimulation(&scenarioCopy, spec, seed).run()
			return nil
		})
	}
	return results, group.Wait()
}

var columns = []string{
	"policy", "tok/s", "good tok/s", "preempt", "stall s", "gap p99", "first p50", "first p99",
	"watched p50", "watched p99", "sent", "done", "refused", "ref p50", "ref p99", "timeout", "lost",
	"over", "fell", "crashes", "late", "prefix", "30s dev", "max/min",
}

func printTable(results []*Result, seed uint64, w io.Writer) error {
	s := results[0].scenario
	fmt.Fprintf(w, "%s: %s\nseed %d, %d engines, %v after a warm-up of %v\n",
		s.Name, s.About, seed, s.Engines, s.Duration-s.Warmup, s.Warmup)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, c := range columns {
		fmt.Fprint(t, c, "\t")
	}
	fmt.Fprintln(t)
	for _, r := range results {
		for _, cell := range r.row() {
			fmt.Fprint(t, cell, "\t")
		}
		fmt.Fprintln(t)
	}
	fmt.Fprintln(t)
	if err := t.Flush(); err != nil {
		return failure.Wrap(err, failure.KindInternal, "print the table")
	}
	return nil
}

func (r *Result) row() []string {
	maxDeviation, maxMinRatio := r.unfairness()
	formatCount := func(v any) string { return fmt.Sprint(v) }
	formatRate := func(tokens int) string { return fmt.Sprintf("%.0f", float64(tokens)/r.measuredSeconds()) }
	return []string{
		r.Policy, formatRate(r.Tokens), formatRate(r.GoodTokens), formatCount(r.Preemptions),
		fmt.Sprintf("%.1f", r.Stall.Seconds()), formatQuantile(r.tokenGaps, 99),
		formatQuantile(r.firstTokenTimes, 50), formatQuantile(r.firstTokenTimes, 99),
		formatQuantile(r.watchedFirstTokenTimes, 50), formatQuantile(r.watchedFirstTokenTimes, 99),
		formatCount(r.Sent), formatCount(r.Completed), formatCount(r.Refused), formatQuantile(r.refusalTimes, 50), formatQuantile(r.refusalTimes, 99),
		formatCount(r.TimedOut), formatCount(r.Lost), formatCount(r.OverCapacity), formatCount(r.OverloadFailures),
		formatCount(r.Crashes), formatCount(r.LateGrantsToLeaving), formatCount(r.PrefixHits),
		fmt.Sprintf("%.1f%%", 100*maxDeviation), fmt.Sprintf("%.2f", maxMinRatio),
	}
}

// formatQuantile formats the q-th percentile in milliseconds.
func formatQuantile(h *hdrhistogram.Histogram, q float64) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	ms := float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
	return fmt.Sprintf("%.0f ms", ms)
}
