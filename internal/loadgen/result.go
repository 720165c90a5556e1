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

// The histograms' range in microseconds and their significant digits.
const (
	lowestUS  = 1
	highestUS = int64(time.Hour / time.Microsecond)
	digits    = 3
)

// Summary is a histogram in short; times are in milliseconds.
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

// Refusal counts answers of one problem type and outcome.
type Refusal struct {
	Type     failure.Kind     `json:"type"`
	Executed failure.Executed `json:"executed"`
	Count    int              `json:"count"`
}

// Counts is what became of the calls of a group:
// sent = whole + refused + violated + in progress.
type Counts struct {
	Sent int `json:"sent"`
	// Whole counts complete answers that passed every check.
	Whole int `json:"whole"`
	// Refused counts calls that ended in a failure, by type in Refusals; lost
	// connections and timeouts are among them.
	Refused int `json:"refused"`
	// Violated counts answers that broke a promise.
	Violated int `json:"violated"`
	Tokens   int `json:"tokens"`
	// WithoutTime counts refusals of calls that did not run which do not say
	// when to come back.
	WithoutTime int `json:"refused_without_time"`
	// Again counts resumes and repeated sends after lost connections.
	Again int `json:"again"`
}

// Group is the measures of one kind or one account.
type Group struct {
	Counts
	Refusals   []Refusal         `json:"refusals,omitempty"`
	Violations map[Violation]int `json:"violations,omitempty"`
	// FirstToken, Answer and Refusal run from the intended start; Answer is for
	// whole answers, Refusal for refusals.
	FirstToken    Summary `json:"first_token,omitzero"`
	BetweenTokens Summary `json:"between_tokens,omitzero"`
	// Stall is the time per stream that gaps took beyond the bound.
	Stall   Summary `json:"stall,omitzero"`
	Answer  Summary `json:"answer,omitzero"`
	Refusal Summary `json:"refusal,omitzero"`
}

// Result is a run's outcome, as written to its JSON file.
type Result struct {
	Profile string  `json:"profile"`
	Seed    uint64  `json:"seed"`
	Rate    float64 `json:"rate"`
	// Seconds is the measured part of the run, without the warm-up.
	Seconds      float64 `json:"seconds"`
	StallBoundMS float64 `json:"stall_bound_ms"`
	// Unsent counts calls that could not be started, since too many were in
	// progress; each is a call that a real caller would have made.
	Unsent int `json:"unsent"`
	// WarmupViolations counts broken promises during the warm-up, which is
	// otherwise left out.
	WarmupViolations int `json:"warmup_violations"`
	// StartDelay is how late the tool itself started calls.
	StartDelay Summary           `json:"start_delay"`
	Total      Counts            `json:"total"`
	Kinds      map[string]*Group `json:"kinds"`
	Accounts   map[string]*Group `json:"accounts"`
	// Targets is what the stand-ins counted, in a trial.
	Targets *TargetCounts `json:"targets,omitempty"`
}

// TargetCounts is what the stand-ins of a trial counted by themselves. Engines
// and services that ended before the trial did are not in it.
type TargetCounts struct {
	// Engines sums the engines' counters; Unreachable counts the targets that
	// could not be asked.
	Engines     model.Stats            `json:"engines"`
	ByEngine    map[string]model.Stats `json:"by_engine"`
	Unreachable int                    `json:"unreachable"`
	// Calls ran at plain services; RanTwice counts keys that ran more than once.
	Calls    int `json:"calls"`
	RanTwice int `json:"ran_twice"`
}

// Broken tells whether the run saw a broken promise.
func (r *Result) Broken() bool {
	twice := r.Targets != nil && r.Targets.RanTwice > 0
	return twice || r.Total.Violated+r.WarmupViolations > 0
}

// recorder collects a group's measures.
type recorder struct {
	mu                                         sync.Mutex
	counts                                     Counts
	refusals                                   map[Refusal]int
	violations                                 map[Violation]int
	first, between, stall, answer, refusalTime *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(lowestUS, highestUS, digits) }

func newRecorder() *recorder {
	return &recorder{
		refusals: map[Refusal]int{}, violations: map[Violation]int{},
		first: newHistogram(), between: newHistogram(), stall: newHistogram(),
		answer: newHistogram(), refusalTime: newHistogram(),
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 0), highestUS))
}

func (r *recorder) gap(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.between, d)
}

func (r *recorder) sent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Sent++
}

// ended takes a call's outcome. start is the intended one, so that the wait of
// a call that could not be sent in time counts as the system's: a measure from
// the actual start would leave out the calls that a stall held up.
func (r *recorder) ended(call Call, o outcome, start, end time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Tokens += o.tokens
	r.counts.Again += o.attempts
	if !o.first.IsZero() {
		record(r.first, o.first.Sub(start))
	}
	if call.Kind.Type == TypeStream && o.tokens > 0 {
		record(r.stall, o.stall)
	}
	switch {
	case o.violation != "":
		r.counts.Violated++
		r.violations[o.violation]++
	case o.err != nil:
		f := failure.FromError(o.err)
		r.counts.Refused++
		if f.Executed == failure.ExecutedNo && f.RetryAfter == 0 {
			r.counts.WithoutTime++
		}
		r.refusals[Refusal{Type: f.Kind, Executed: f.Executed}]++
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

func (r *recorder) group() *Group {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := &Group{
		Counts: r.counts, Violations: r.violations,
		FirstToken: summarize(r.first), BetweenTokens: summarize(r.between), Stall: summarize(r.stall),
		Answer: summarize(r.answer), Refusal: summarize(r.refusalTime),
	}
	for refusal, n := range r.refusals {
		refusal.Count = n
		g.Refusals = append(g.Refusals, refusal)
	}
	sortRefusals(g.Refusals)
	return g
}

func sortRefusals(refusals []Refusal) {
	slices.SortFunc(refusals, func(a, b Refusal) int {
		return cmp.Or(b.Count-a.Count, cmp.Compare(a.Type, b.Type), cmp.Compare(a.Executed, b.Executed))
	})
}
