package experiment

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"filbertdeck/internal/standin/model"
)

const (
	// stallAbove is the gap between tokens that a reader notices; what is
	// beyond it counts as stall.
	stallAbove = 250 * time.Millisecond
	// window is the time over which shares are judged.
	window = 30 * time.Second
	// drainGrace is the time after which a leaving engine must get no new work.
	drainGrace = 2 * time.Second
	// promptCharge and outputCharge make service of tokens, as the product's
	// fair queue charges them.
	promptCharge, outputCharge = 1, 2
)

// Result is what one policy did in one scenario. What engines count (see
// addEngine) is of the whole run, everything else without the warm-up.
type Result struct {
	Policy   string
	scenario *Scenario
	// Counts of sends.
	Sent, Done, Refused, TimedOut, Lost int
	// Tokens made, and tokens of answers that came whole.
	Tokens, GoodTokens int
	Preemptions        uint64
	// Stall is the sum of gaps beyond stallAbove.
	Stall time.Duration
	// Overborne counts jobs that came to an engine which did not bear them,
	// FellOver the engines that fell over by that, Crashes those that died.
	Overborne, FellOver, Crashes uint64
	// LateToLeaving counts grants to a leaving engine after drainGrace.
	LateToLeaving int
	PrefixHits    uint64

	gaps, firstTokens, watchedFirst, refusals *hdrhistogram.Histogram
	// served holds the service of each account in each second.
	served map[string][]float64
	leftAt time.Duration
}

func newHistogram() *hdrhistogram.Histogram {
	const highest, digits = int64(time.Hour / time.Microsecond), 3
	return hdrhistogram.New(1, highest, digits)
}

func newResult(s *Scenario, policy string) *Result {
	r := &Result{
		Policy: policy, scenario: s, gaps: newHistogram(), firstTokens: newHistogram(),
		watchedFirst: newHistogram(), refusals: newHistogram(), served: map[string][]float64{}, leftAt: -1,
	}
	for _, f := range s.Faults {
		if f.Kind == FaultLeave {
			r.leftAt = f.At
		}
	}
	for _, c := range s.Classes {
		r.served[c.Account] = make([]float64, int(s.Duration/time.Second)+1)
	}
	return r
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1, d.Microseconds()))
}

func (r *Result) counts(now time.Duration) bool { return now >= r.scenario.Warmup }

func (r *Result) sent(_ *request, now time.Duration) {
	if r.counts(now) {
		r.Sent++
	}
}

func (r *Result) granted(q *request, now time.Duration, leaving bool) {
	if leaving && now > r.leftAt+drainGrace {
		r.LateToLeaving++
	}
	r.serve(q, now, promptCharge*float64(q.prompt))
}

func (r *Result) serve(q *request, now time.Duration, charge float64) {
	seconds := r.served[q.class.Account]
	seconds[min(int(now/time.Second), len(seconds)-1)] += charge
}

func (r *Result) firstToken(q *request, now time.Duration) {
	if !r.counts(now) {
		return
	}
	record(r.firstTokens, now-q.arrived)
	if q.class.Watched {
		record(r.watchedFirst, now-q.arrived)
	}
}

func (r *Result) gap(now, gap time.Duration) {
	if !r.counts(now) {
		return
	}
	record(r.gaps, gap)
	r.Stall += max(0, gap-stallAbove)
}

func (r *Result) token(q *request, now time.Duration) {
	r.serve(q, now, outputCharge)
	if r.counts(now) {
		r.Tokens++
	}
}

func (r *Result) finished(q *request, now time.Duration) {
	if r.counts(now) {
		r.Done++
		r.GoodTokens += q.produced
	}
}

func (r *Result) refused(q *request, now time.Duration) {
	if r.counts(now) {
		r.Refused++
		record(r.refusals, now+hop-q.arrived)
	}
}

func (r *Result) timedOut(_ *request, now time.Duration) {
	if r.counts(now) {
		r.TimedOut++
	}
}

func (r *Result) lost(_ *request, now time.Duration) {
	if r.counts(now) {
		r.Lost++
	}
}

func (r *Result) addEngine(s model.Stats) {
	r.Preemptions += s.Preemptions
	r.Overborne += s.OverBears
	r.FellOver += s.FellOver
	r.Crashes += s.Crashes
	r.PrefixHits += s.PrefixHits
}

func (r *Result) measured() float64 { return (r.scenario.Duration - r.scenario.Warmup).Seconds() }

// unfairness is the worst deviation, over all windows, of an account's service
// over weight from the mean of all accounts, in parts; and the ratio of the
// greatest to the least service over weight over the whole run.
func (r *Result) unfairness() (worst, ratio float64) {
	first := int(r.scenario.Warmup / time.Second)
	last := int(r.scenario.Duration / time.Second)
	span := int(window / time.Second)
	for from := first; from+span <= last; from++ {
		low, high, mean := r.share(from, from+span)
		worst = math.Max(worst, math.Max(high/mean-1, 1-low/mean))
	}
	low, high, _ := r.share(first, last)
	return worst, high / low
}

func (r *Result) share(from, to int) (low, high, mean float64) {
	low = math.Inf(1)
	done := map[string]bool{}
	for _, c := range r.scenario.Classes {
		if done[c.Account] {
			continue
		}
		done[c.Account] = true
		sum := 0.0
		for _, v := range r.served[c.Account][from:to] {
			sum += v / c.Weight
		}
		low, high, mean = math.Min(low, sum), math.Max(high, sum), mean+sum
	}
	return low, high, mean / float64(len(done))
}
