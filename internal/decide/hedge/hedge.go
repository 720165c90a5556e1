// Package hedge decides when an idempotent lookup is sent a second time, to
// another target, because its first answer is late.
//
// Load pattern: a site or gate lookup takes a few milliseconds, but one in a
// hundred meets a target in a long pause or a link that lost its packet, and a
// technician or a queue of guests waits for seconds.
//
// What happens without it: the p99 of lookups is that of the worst target. And
// with hedging that has no bound: when all targets are slow, every lookup is
// late, all are sent twice, and the load doubles just when there is no room.
// One sees twice the lookups at the targets, and all slower than before.
//
// How it works: the second call goes out when the first has taken longer than
// the running p95, so about one in twenty would; a budget bounds them to a
// share of first calls whatever the times do; and none goes out while the pool
// is overloaded. Only services whose rows allow repeating are hedged.
package hedge

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"filbertdeck/internal/decide/retrybudget"
)

// Config holds the figures; the zero value of a field means its default.
type Config struct {
	// Quantile of the answer times, in percent, after which the second call
	// goes out. Default 95.
	Quantile float64
	// Share bounds second calls to a share of first ones. Default 0.05, what
	// the quantile yields while the times keep their distribution.
	Share float64
	// Burst is the most second calls in a row. Default 10.
	Burst float64
	// MinDelay and MaxDelay bound the delay. Defaults 2 ms, one round trip
	// between data centres and some, and 1 s.
	MinDelay, MaxDelay time.Duration
	// MinSamples have to be known before anything is hedged. Default 50: the
	// p95 of fewer is one of two values.
	MinSamples int64
	// Window is how long a time counts, in four parts. Default 20 s.
	Window time.Duration
	// MaxBacklog is the wait in the pool's queue from which the pool counts as
	// overloaded. Default 20 ms, several times a lookup's own time.
	MaxBacklog time.Duration
}

const (
	defaultQuantile   = 95
	defaultShare      = 0.05
	defaultBurst      = 10
	defaultMinDelay   = 2 * time.Millisecond
	defaultMaxDelay   = time.Second
	defaultMinSamples = 50
	defaultWindow     = 20 * time.Second
	defaultMaxBacklog = 20 * time.Millisecond

	// windowParts divide the window; the oldest part is forgotten at a time.
	windowParts = 4
	// longestTime, in microseconds, is the largest time that is told apart.
	longestTime = 60_000_000
	// digits of precision of the times.
	digits = 2
)

func (c Config) withDefaults() Config {
	c.Quantile = cmp.Or(c.Quantile, defaultQuantile)
	c.Share = cmp.Or(c.Share, defaultShare)
	c.Burst = cmp.Or(c.Burst, defaultBurst)
	c.MinDelay = cmp.Or(c.MinDelay, defaultMinDelay)
	c.MaxDelay = cmp.Or(c.MaxDelay, defaultMaxDelay)
	c.MinSamples = cmp.Or(c.MinSamples, defaultMinSamples)
	c.Window = cmp.Or(c.Window, defaultWindow)
	c.MaxBacklog = cmp.Or(c.MaxBacklog, defaultMaxBacklog)
	return c
}

// Refusal says why a call is not hedged.
type Refusal int

// The reasons not to send a second call, None when it may go out.
const (
	None Refusal = iota
	NotRepeatable
	TooFewSamples
	PoolOverloaded
	NoOtherTarget
	BudgetSpent
)

var refusalNames = [...]string{"none", "not-repeatable", "too-few-samples", "pool-overloaded", "no-other-target", "budget-spent"}

// String names the reason as counters show it.
func (r Refusal) String() string { return refusalNames[r] }

// Conditions is what is known when a second call could go out.
type Conditions struct {
	// Repeatable says that the service's row allows a call to run twice.
	Repeatable bool
	// Backlog is the wait in the pool's queue.
	Backlog time.Duration
	// OtherTargets is the number of other targets that have room.
	OtherTargets int
}

// Hedger decides for one service at one entry. Safe for concurrent use.
type Hedger struct {
	cfg    Config
	budget *retrybudget.Bucket
	// delay is 0 until enough times are known.
	delay atomic.Int64

	mu     sync.Mutex
	times  *hdrhistogram.WindowedHistogram
	rotate time.Duration
}

// New returns a hedger that knows no times yet.
func New(now time.Duration, cfg Config) *Hedger {
	cfg = cfg.withDefaults()
	return &Hedger{
		cfg:    cfg,
		budget: retrybudget.NewBucket(now, cfg.Burst, 0),
		times:  hdrhistogram.NewWindowed(windowParts, 1, longestTime, digits),
		rotate: now + cfg.Window/windowParts,
	}
}

// StartCall books a first call and gives the delay after which Second should be
// asked; ok is false when the call is not to be hedged.
func (h *Hedger) StartCall(repeatable bool) (delay time.Duration, ok bool) {
	if !repeatable {
		return 0, false
	}
	h.budget.Deposit(h.cfg.Share)
	delay = time.Duration(h.delay.Load())
	return delay, delay > 0
}

// AllowSecond tells whether the second call may go out now, and books it. The
// caller takes the first whole answer and cancels the other call.
func (h *Hedger) AllowSecond(now time.Duration, s Conditions) Refusal {
	switch {
	case !s.Repeatable:
		return NotRepeatable
	case h.delay.Load() == 0:
		return TooFewSamples
	case s.Backlog > h.cfg.MaxBacklog:
		return PoolOverloaded
	case s.OtherTargets == 0:
		return NoOtherTarget
	case !h.budget.Take(now):
		return BudgetSpent
	default:
		return None
	}
}

// Observe takes the time of a first call, from its start to its answer. A call
// that a second one overtook counts with the time that it had taken by then:
// without it the quantile would sink, and more calls would be hedged.
func (h *Hedger) Observe(now, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// A time beyond the histogram's range counts as its longest.
	micros := min(max(took.Microseconds(), 1), longestTime)
	_ = h.times.Current.RecordValue(micros)
	if now >= h.rotate {
		h.refresh()
		h.rotate = now + h.cfg.Window/windowParts
		h.times.Rotate()
	} else if h.delay.Load() == 0 && h.times.Current.TotalCount() == h.cfg.MinSamples {
		h.refresh()
	}
}

func (h *Hedger) refresh() {
	all := h.times.Merge()
	if all.TotalCount() < h.cfg.MinSamples {
		h.delay.Store(0)
		return
	}
	delay := time.Duration(all.ValueAtQuantile(h.cfg.Quantile)) * time.Microsecond
	h.delay.Store(int64(min(max(delay, h.cfg.MinDelay), h.cfg.MaxDelay)))
}
