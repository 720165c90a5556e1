// Package hedge decides when an idempotent lookup is sent a second time, to
// another target, because its first answer is late.
//
// A lookup takes a few milliseconds, but one in a hundred reaches a target in a
// long pause or loses a packet, and its caller waits for seconds. Without
// hedging, the p99 of lookups is that of the worst target. With unlimited
// hedging, every lookup is late when all targets are slow: all are sent twice,
// the load doubles when there is no capacity for it, and all targets become
// slower still.
//
// The second call is sent when the first has taken longer than the current p95,
// so about one in twenty would be. A budget limits second calls to a fraction of
// first calls regardless of latency, and none is sent while the pool is
// overloaded. Only services whose table rows allow repeating calls are hedged.
package hedge

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"filbertdeck/internal/decide/retrybudget"
)

// Config holds the parameters. A field with the zero value has its default.
type Config struct {
	// Quantile is the latency quantile, in percent, after which the second call
	// is sent. Default 95.
	Quantile float64
	// BudgetRatio limits second calls to a fraction of first ones. Default 0.05,
	// which is what the quantile yields while the latency distribution is stable.
	BudgetRatio float64
	// Burst is the largest number of second calls in a row. Default 10.
	Burst float64
	// MinDelay and MaxDelay limit the delay. Defaults 2 ms, a little more than a
	// round trip between data centres, and 1 s.
	MinDelay, MaxDelay time.Duration
	// MinSamples is the number of latencies required before calls are hedged.
	// Default 50: the p95 of fewer samples is determined by the two largest.
	MinSamples int64
	// Window is how long a latency counts. Default 20 s, in four segments.
	Window time.Duration
	// MaxBacklog is the queueing time of the pool above which the pool counts as
	// overloaded. Default 20 ms, several times the duration of a lookup.
	MaxBacklog time.Duration
}

const (
	defaultQuantile    = 95
	defaultBudgetRatio = 0.05
	defaultBurst       = 10
	defaultMinDelay    = 2 * time.Millisecond
	defaultMaxDelay    = time.Second
	defaultMinSamples  = 50
	defaultWindow      = 20 * time.Second
	defaultMaxBacklog  = 20 * time.Millisecond

	// windowSegments is the number of segments in the window. The oldest segment
	// is dropped as a whole.
	windowSegments = 4
	// maxTimeMicros is the largest latency in the histogram, in microseconds.
	maxTimeMicros = 60_000_000
	// significantDigits is the precision of the histogram.
	significantDigits = 2
)

func (c Config) withDefaults() Config {
	c.Quantile = cmp.Or(c.Quantile, defaultQuantile)
	c.BudgetRatio = cmp.Or(c.BudgetRatio, defaultBudgetRatio)
	c.Burst = cmp.Or(c.Burst, defaultBurst)
	c.MinDelay = cmp.Or(c.MinDelay, defaultMinDelay)
	c.MaxDelay = cmp.Or(c.MaxDelay, defaultMaxDelay)
	c.MinSamples = cmp.Or(c.MinSamples, defaultMinSamples)
	c.Window = cmp.Or(c.Window, defaultWindow)
	c.MaxBacklog = cmp.Or(c.MaxBacklog, defaultMaxBacklog)
	return c
}

// Refusal is the reason why a call is not hedged.
type Refusal int

// The reasons not to send a second call. NoRefusal means that it may be sent.
const (
	NoRefusal Refusal = iota
	NotRepeatable
	TooFewSamples
	PoolOverloaded
	NoOtherTarget
	BudgetSpent
)

var refusalNames = [...]string{"none", "not-repeatable", "too-few-samples", "pool-overloaded", "no-other-target", "budget-spent"}

// String returns the reason as used in metrics.
func (r Refusal) String() string { return refusalNames[r] }

// Conditions is the state at the time when a second call would be sent.
type Conditions struct {
	// Repeatable is set if the service's table row allows a call to run twice.
	Repeatable bool
	// Backlog is the queueing time of the pool.
	Backlog time.Duration
	// OtherTargets is the number of other targets with free capacity.
	OtherTargets int
}

// Hedger decides on second calls of one service at one entry. It is safe for
// concurrent use.
type Hedger struct {
	cfg    Config
	budget *retrybudget.Bucket
	// delay is 0 until there are enough samples.
	delay atomic.Int64

	mu           sync.Mutex
	latencies    *hdrhistogram.WindowedHistogram
	nextRotation time.Duration
}

// New returns a hedger without samples.
func New(now time.Duration, cfg Config) *Hedger {
	cfg = cfg.withDefaults()
	return &Hedger{
		cfg:          cfg,
		budget:       retrybudget.NewBucket(now, cfg.Burst, 0),
		latencies:    hdrhistogram.NewWindowed(windowSegments, 1, maxTimeMicros, significantDigits),
		nextRotation: now + cfg.Window/windowSegments,
	}
}

// StartCall records a first call and returns the delay after which to ask for a
// second one; ok is false if the call is not to be hedged.
func (h *Hedger) StartCall(repeatable bool) (delay time.Duration, ok bool) {
	if !repeatable {
		return 0, false
	}
	h.budget.Deposit(h.cfg.BudgetRatio)
	delay = time.Duration(h.delay.Load())
	return delay, delay > 0
}

// AllowSecondCall returns None if the second call may be sent now, and takes it from
// the budget; otherwise it returns the reason not to send it. The caller uses the
// first complete answer and cancels the other call.
func (h *Hedger) AllowSecondCall(now time.Duration, conditions Conditions) Refusal {
	switch {
	case !conditions.Repeatable:
		return NotRepeatable
	case h.delay.Load() == 0:
		return TooFewSamples
	case conditions.Backlog > h.cfg.MaxBacklog:
		return PoolOverloaded
	case conditions.OtherTargets == 0:
		return NoOtherTarget
	case !h.budget.Take(now):
		return BudgetSpent
	default:
		return NoRefusal
	}
}

// Observe records the latency of a first call, from its start to its answer. A
// call whose second call answered first is recorded with the time elapsed by
// then. Leaving these calls out would lower the quantile, and more calls would be
// hedged.
func (h *Hedger) Observe(now, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// A latency beyond the range of the histogram is recorded as the largest one.
	micros := min(max(latency.Microseconds(), 1), maxTimeMicros)
	_ = h.latencies.Current.RecordValue(micros)
	if now >= h.nextRotation {
		h.updateDelay()
		h.nextRotation = now + h.cfg.Window/windowSegments
		h.latencies.Rotate()
	} else if h.delay.Load() == 0 && h.latencies.Current.TotalCount() == h.cfg.MinSamples {
		h.updateDelay()
	}
}

// updateDelay computes the delay from the samples in the window.
func (h *Hedger) updateDelay() {
	merged := h.latencies.Merge()
	if merged.TotalCount() < h.cfg.MinSamples {
		h.delay.Store(0)
		return
	}
	delay := time.Duration(merged.ValueAtQuantile(h.cfg.Quantile)) * time.Microsecond
	h.delay.Store(int64(min(max(delay, h.cfg.MinDelay), h.cfg.MaxDelay)))
}
