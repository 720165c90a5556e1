package experiment

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"filbertdeck/internal/standin/model"
)

const (
	// stallThreshold is the gap between tokens that a reader notices; the part of
	// a gap above it counts as stall.
	stallThreshold = 250 * time.Millisecond
	// fairnessWindow is the time over which the accounts' shares are compared.
	fairnessWindow = 30 * time.Second
	// leaveGrace is the time after which a leaving engine must get no new work.
	leaveGrace = 2 * time.Second
	// promptTokenCharge and outputTokenCharge convert tokens to service, with the
	// charges of the product's fair queue.
	promptTokenCharge, outputTokenCharge = 1, 2
)

// Result holds the measurements of one policy in one scenario. The engines'
// counters (see addEngineStats) cover the whole run, all other values exclude
// the warm-up.
type Result struct {
	Policy   string
	scenario *Scenario
	// Counts of requests sent and of their outcomes.
	Sent, Completed, Refused, TimedOut, Lost int
	// Tokens counts all tokens produced, GoodTokens those of completed responses.
	Tokens, GoodTokens int
	Preemptions        uint64
	// Stall is the sum of the parts of token gaps above stallThreshold.
	Stall time.Duration
	// OverCapacity counts jobs submitted to an engine above its current capacity,
	// OverloadFailures the stalls and crashes this caused, Crashes all engine
	// crashes.
	OverCapacity, OverloadFailures, Crashes uint64
	// LateGrantsToLeaving counts grants to a leaving engine after leaveGrace.
	LateGrantsToLeaving int
	PrefixHits          uint64

	tokenGaps, firstTokenTimes, watchedFirstTokenTimes, refusalTimes *hdrhistogram.Histogram
	// servicePerSecond holds the service of each account in each second.
	servicePerSecond map[string][]float64
	leaveAt          time.Duration
}

func newHistogram() *hdrhistogram.Histogram {
	const highest, digits = int64(time.Hour / time.Microsecond), 3
	return hdrhistogram.New(1, highest, digits)
}

func newResult(s *Scenario, policy string) *Result {
	r := &Result{
		Policy: policy, scenario: s, tokenGaps: newHistogram(), firstTokenTimes: newHistogram(),
		watchedFirstTokenTimes: newHistogram(), refusalTimes: newHistogram(), servicePerSecond: map[string][]float64{}, leaveAt: -1,
	}
	for _, f := range s.Faults {
		if f.Kind == FaultLeave {
			r.leaveAt = f.At
		}
	}
	for _, c := range s.Classes {
		r.servicePerSecond[c.Account] = make([]float64, int(s.Duration/time.Second)+1)
	}
	return r
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1, d.Microseconds()))
}

func (r *Result) afterWarmup(now time.Duration) bool { return now >= r.scenario.Warmup }

func (r *Result) recordSent(_ *request, now time.Duration) {
	if r.afterWarmup(now) {
		r.Sent++
	}
}

func (r *Result) recordGrant(req *request, now time.Duration, leaving bool) {
	if leaving && now > r.leaveAt+leaveGrace {
		r.LateGrantsToLeaving++
	}
	r.addService(req, now, promptTokenCharge*float64(req.promptTokens))
}

func (r *Result) addService(req *request, now time.Duration, charge float64) {
	seconds := r.servicePerSecond[req.class.Account]
	seconds[min(int(now/time.Second), len(seconds)-1)] += charge
}

func (r *Result) recordFirstToken(req *request, now time.Duration) {
	if !r.afterWarmup(now) {
		return
	}
	recordDuration(r.firstTokenTimes, now-req.arrivedAt)
	if req.class.Watched {
		recordDuration(r.watchedFirstTokenTimes, now-req.arrivedAt)
	}
}

func (r *Result) recordGap(now, gap time.Duration) {
	if !r.afterWarmup(now) {
		return
	}
	recordDuration(r.tokenGaps, gap)
	r.Stall += max(0, gap-stallThreshold)
}

func (r *Result) recordToken(req *request, now time.Duration) {
	r.addService(req, now, outputTokenCharge)
	if r.afterWarmup(now) {
		r.Tokens++
	}
}

func (r *Result) recordCompleted(req *request, now time.Duration) {
	if r.afterWarmup(now) {
		r.Completed++
		r.GoodTokens += req.producedTokens
	}
}

func (r *Result) recordRefusal(req *request, now time.Duration) {
	if r.afterWarmup(now) {
		r.Refused++
		recordDuration(r.refusalTimes, now+hopDelay-req.arrivedAt)
	}
}

func (r *Result) recordTimeout(_ *request, now time.Duration) {
	if r.afterWarmup(now) {
		r.TimedOut++
	}
}

func (r *Result) recordLost(_ *request, now time.Duration) {
	if r.afterWarmup(now) {
		r.Lost++
	}
}

func (r *Result) addEngineStats(s model.Stats) {
	r.Preemptions += s.Preemptions
	r.OverCapacity += s.OverBears
	r.OverloadFailures += s.FellOver
	r.Crashes += s.Crashes
	r.PrefixHits += s.PrefixHits
}

func (r *Result) measuredSeconds() float64 {
	return (r.scenario.Duration - r.scenario.Warmup).Seconds()
}

// unfairness compares the accounts' service divided by weight. It returns the
// largest relative deviation of an account from the mean of all accounts, over
// all windows, and the ratio of the largest to the smallest over the whole run.
func (r *Result) unfairness() (maxDeviation, maxMinRatio float64) {
	first := int(r.scenario.Warmup / time.Second)
	last := int(r.scenario.Duration / time.Second)
	windowSeconds := int(fairnessWindow / time.Second)
	for from := first; from+windowSeconds <= last; from++ {
		low, high, mean := r.weightedService(from, from+windowSeconds)
		maxDeviation = math.Max(maxDeviation, math.Max(high/mean-1, 1-low/mean))
	}
	low, high, _ := r.weightedService(first, last)
	return maxDeviation, high / low
}

func (r *Result) weightedService(from, to int) (low, high, mean float64) {
	low = math.Inf(1)
	seen := map[string]bool{}
	for _, c := range r.scenario.Classes {
		if seen[c.Account] {
			continue
		}
		seen[c.Account] = true
		sum := 0.0
		for _, v := range r.servicePerSecond[c.Account][from:to] {
			sum += v / c.Weight
		}
		low, high, mean = math.Min(low, sum), math.Max(high, sum), mean+sum
	}
	return low, high, mean / float64(len(seen))
}
