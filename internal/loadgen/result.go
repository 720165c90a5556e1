package loadgen

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/standin/model"
)

// Range of the histograms in microseconds and their precision in significant
// decimal digits.
const (
	minMicroseconds   = 1
	maxMicroseconds   = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Summary summarizes a latency histogram. Times are in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

func summarize(h *hdrhistogram.Histogram) Summary {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Summary{
		Count: h.TotalCount(), Mean: h.Mean() / 1000, P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)), P999: ms(h.ValueAtQuantile(99.9)), Max: ms(h.Max()),
	}
}

// Refusal counts the failed calls of one problem type and execution status.
type Refusal struct {
	Type     failure.Kind     `json:"type"`
	Executed failure.Executed `json:"executed"`
	Count    int              `json:"count"`
}

// Counts holds the outcomes of a group's calls:
// sent = whole + refused + violated + in progress.
type Counts struct {
	Sent int `json:"sent"`
	// Whole counts complete answers that passed all checks.
	Whole int `json:"whole"`
	// Refused counts calls that ended in a failure, by type in Refusals; lost
	// connections and timeouts are among them.
	Refused int `json:"refused"`
	// Violated counts answers that failed a check.
	Violated int `json:"violated"`
	Tokens   int `json:"tokens"`
	// RefusedWithoutRetryAfter counts refusals of calls that did not run and
	// give no time after which to retry.
	RefusedWithoutRetryAfter int `json:"refused_without_time"`
	// Retries counts resumed streams and repeated requests after lost
	// connections.
	Retries int `json:"again"`
}

// Group holds the measurements of one kind of call or one account.
type Group struct {
	Counts
	Refusals   []Refusal         `json:"refusals,omitempty"`
	Violations map[Violation]int `json:"violations,omitempty"`
	// FirstToken, Answer and Refusal are measured from the intended start. Answer
	// covers whole answers, Refusal covers calls that ended in a failure.
	FirstToken    Summary `json:"first_token,omitzero"`
	BetweenTokens Summary `json:"between_tokens,omitzero"`
	// Stall is the time per stream by which gaps between tokens exceeded the
	// stall threshold.
	Stall   Summary `json:"stall,omitzero"`
	Answer  Summary `json:"answer,omitzero"`
	Refusal Summary `json:"refusal,omitzero"`
}

// Result is the result of a run, as written to the JSON file.
type Result struct {
	Profile string  `json:"profile"`
	Seed    uint64  `json:"seed"`
	Rate    float64 `json:"rate"`
	// Seconds is the length of the measured part of the run, without the warm-up.
	Seconds          float64 `json:"seconds"`
	StallThresholdMS float64 `json:"stall_bound_ms"`
	// Unsent counts calls that were not started because too many were in
	// progress. Real callers would have made these calls.
	Unsent int `json:"unsent"`
	// WarmupViolations counts violations during the warm-up. No other results of
	// the warm-up are included.
	WarmupViolations int `json:"warmup_violations"`
	// StartDelay is the delay between intended and actual start of calls, caused
	// by the load generator itself.
	StartDelay Summary           `json:"start_delay"`
	Total      Counts            `json:"total"`
	Kinds      map[string]*Group `json:"kinds"`
	Accounts   map[string]*Group `json:"accounts"`
	// Targets holds the counters of the stand-ins. It is only set in a trial.
	Targets *TargetCounts `json:"targets,omitempty"`
}

// TargetCounts holds the counters that the stand-ins of a trial report. Engines
// and services that ended before the trial did are not included.
type TargetCounts struct {
	// Engines is the sum of the engines' counters. Unreachable counts the targets
	// whose counters could not be read.
	Engines     model.Stats            `json:"engines"`
	ByEngine    map[string]model.Stats `json:"by_engine"`
	Unreachable int                    `json:"unreachable"`
	// Calls is the number of calls executed by plain services. RanTwice counts
	// idempotency keys that were executed more than once.
	Calls    int `json:"calls"`
	RanTwice int `json:"ran_twice"`
}

// HasViolations reports whether any promise was broken, including during the
// warm-up and according to the counters of the stand-ins.
func (r *Result) HasViolations() bool {
	twice := r.Targets != nil && r.Targets.RanTwice > 0
	return twice || r.Total.Violated+r.WarmupViolations > 0
}

// recorder collects the measurements of a group.
type recorder struct {
	mu                                                    sync.Mutex
	counts                                                Counts
	refusals                                              map[Refusal]int
	violations                                            map[Violation]int
	firstToken, betweenTokens, stall, answer, refusalTime *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)
}

func newRecorder() *recorder {
	return &recorder{
		refusals: map[Refusal]int{}, violations: map[Violation]int{},
		firstToken: newHistogram(), betweenTokens: newHistogram(), stall: newHistogram(),
		answer: newHistogram(), refusalTime: newHistogram(),
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 0), maxMicroseconds))
}

func (r *recorder) recordTokenGap(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.betweenTokens, d)
}

func (r *recorder) recordSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Sent++
}

// recordOutcome records the outcome of a call. start is the intended start, so
// that delays in sending the call are included. Measuring from the actual start
// would leave out the time for which a stall held up calls.
func (r *recorder) recordOutcome(call Call, o outcome, start, end time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Tokens += o.tokens
	r.counts.Retries += o.retries
	if !o.firstTokenAt.IsZero() {
		record(r.firstToken, o.firstTokenAt.Sub(start))
	}
	if call.Kind.Type == CallTypeStream && o.tokens > 0 {
		record(r.stall, o.stallTime)
	}
	switch {
	case o.violation != "":
		r.counts.Violated++
		r.violations[o.violation]++
	case o.err != nil:
		problem := failure.FromError(o.err)
		r.counts.Refused++
		if problem.Executed == failure.ExecutedNo && problem.RetryAfter == 0 {
			r.counts.RefusedWithoutRetryAfter++
		}
		r.refusals[Refusal{Type: problem.Kind, Executed: problem.Executed}]++
		record(r.refusalTime, end.Sub(start))
	default:
		r.counts.Whole++
		record(r.answer, end.Sub(start))
	}
}

func (r *recorder) snapshot() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

func (r *recorder) buildGroup() *Group {
	r.mu.Lock()
	defer r.mu.Unlock()
	group := &Group{
		Counts: r.counts, Violations: r.violations,
		FirstToken: summarize(r.firstToken), BetweenTokens: summarize(r.betweenTokens), Stall: summarize(r.stall),
		Answer: summarize(r.answer), Refusal: summarize(r.refusalTime),
	}
	for refusal, n := range r.refusals {
		refusal.Count = n
		group.Refusals = append(group.Refusals, refusal)
	}
	sortRefusals(group.Refusals)
	return group
}

func sortRefusals(refusals []Refusal) {
	slices.SortFunc(refusals, func(a, b Refusal) int {
		return cmp.Or(b.Count-a.Count, cmp.Compare(a.Type, b.Type), cmp.Compare(a.Executed, b.Executed))
	})
}
