package fairqueue

import (
	"math"
	"time"
)

const (
	// drainMemory is the time constant of the measured rate: several renewal
	// rounds, in which tokens arrive in lumps, and short against the tens of
	// seconds that callers wait.
	drainMemory = 5 * time.Second
	// drainTick bounds how often the rate is brought up to date.
	drainTick = 100 * time.Millisecond
	// drainTrusted is the time under backlog before the rate is believed.
	drainTrusted = 2 * time.Second
)

// Drain measures how fast a pool serves while it is backlogged, in charged
// tokens a second. A rate measured with an empty queue would be the demand and
// not the capacity, and would turn away callers whom the pool could serve.
type Drain struct {
	rate     float64
	charged  float64
	last     time.Duration
	observed time.Duration
	busy     bool
}

// Charge counts served tokens.
func (d *Drain) Charge(tokens float64) { d.charged += tokens }

// Tick moves time on; backlogged tells whether requests wait now.
func (d *Drain) Tick(now time.Duration, backlogged bool) {
	elapsed := now - d.last
	if elapsed < drainTick {
		return
	}
	instant := d.charged / elapsed.Seconds()
	if d.busy && backlogged {
		d.observed += elapsed
		part := 1 - math.Exp(-elapsed.Seconds()/drainMemory.Seconds())
		d.rate += max(part, elapsed.Seconds()/d.observed.Seconds()) * (instant - d.rate)
	}
	d.charged, d.last, d.busy = 0, now, backlogged
}

// Rate is the service in tokens a second; known is false until enough was
// seen.
func (d *Drain) Rate() (rate float64, known bool) {
	return d.rate, d.observed >= drainTrusted && d.rate > 0
}

// Wait estimates how long a request of account a would wait that has ahead
// requests of the same account before it. typical is the cost of a request, in
// charged tokens, while the account has none of its own. While the drain rate
// isn't known the estimate is 0: turning callers away needs grounds.
func (q *Queue[T]) Wait(d *Drain, a *Account[T], ahead int, typical float64) time.Duration {
	rate, known := d.Rate()
	if !known {
		return 0
	}
	cost := a.meanCost
	if cost == 0 {
		cost = typical
	}
	total := q.backlogged
	if a.waiting == 0 {
		total += a.weight
	}
	share := rate * a.weight / total
	// Accounts that are served without waiting take part of the rate and don't
	// show among those that wait: what this account really got says so.
	if own, known := a.drain.Rate(); known {
		share = min(share, own)
	}
	seconds := float64(ahead+1) * cost / share
	return time.Duration(min(seconds, maxWaitSeconds) * float64(time.Second))
}

// maxWaitSeconds bounds an estimate; beyond it the figure says only "later".
const maxWaitSeconds = 600
