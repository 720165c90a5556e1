package fairqueue

import (
	"math"
	"time"
)

const (
	// drainTimeConstant is the time constant of the exponential average. It
	// spans several renewal rounds, because tokens are charged in bursts at
	// each renewal, and is short against the tens of seconds that callers wait.
	drainTimeConstant = 5 * time.Second
	// drainSampleInterval is the minimum time between updates of the rate.
	drainSampleInterval = 100 * time.Millisecond
	// drainMinBacklogTime is how long a backlog must have been observed before
	// the rate counts as known.
	drainMinBacklogTime = 2 * time.Second
)

// DrainRate measures how fast a pool serves while it is backlogged, in charged
// tokens per second. A rate measured with an empty queue would reflect the
// demand and not the capacity, and callers that the pool could serve would be
// refused.
type DrainRate struct {
	rate           float64
	pendingTokens  float64
	sampledAt      time.Duration
	backloggedTime time.Duration
	wasBacklogged  bool
}

// Add counts tokens that were served.
func (d *DrainRate) Add(tokens float64) { d.pendingTokens += tokens }

// Update advances the measurement to now; backlogged tells whether requests are
// waiting.
func (d *DrainRate) Update(now time.Duration, backlogged bool) {
	elapsed := now - d.sampledAt
	if elapsed < drainSampleInterval {
		return
	}
	sample := d.pendingTokens / elapsed.Seconds()
	if d.wasBacklogged && backlogged {
		d.backloggedTime += elapsed
		smoothing := 1 - math.Exp(-elapsed.Seconds()/drainTimeConstant.Seconds())
		d.rate += max(smoothing, elapsed.Seconds()/d.backloggedTime.Seconds()) * (sample - d.rate)
	}
	d.pendingTokens, d.sampledAt, d.wasBacklogged = 0, now, backlogged
}

// Rate returns the service rate in tokens per second; known is false until a
// backlog has been observed for long enough.
func (d *DrainRate) Rate() (rate float64, known bool) {
	return d.rate, d.backloggedTime >= drainMinBacklogTime && d.rate > 0
}

// EstimateWait estimates how long a request of account a waits when ahead
// requests of the same account are before it. poolRate is the drain rate of the
// whole pool. typicalCost is the cost of a
// request, in charged tokens, assumed while the account has no mean of its own.
// While poolRate is unknown the estimate is 0, so that no caller is
// refused without evidence of overload.
func (q *Queue[T]) EstimateWait(poolRate *DrainRate, a *Account[T], ahead int, typicalCost float64) time.Duration {
	rate, known := poolRate.Rate()
	if !known {
		return 0
	}
	cost := a.meanCost
	if cost == 0 {
		cost = typicalCost
	}
	totalWeight := q.backloggedWeight
	if a.waiting == 0 {
		totalWeight += a.weight
	}
	accountRate := rate * a.weight / totalWeight
	// Accounts that are served without waiting use part of the rate but are not
	// among the backlogged ones; the account's own measured rate accounts for
	// them.
	if ownRate, known := a.drainRate.Rate(); known {
		accountRate = min(accountRate, ownRate)
	}
	seconds := float64(ahead+1) * cost / accountRate
	return time.Duration(min(seconds, maxEstimateSeconds) * float64(time.Second))
}

// maxEstimateSeconds bounds an estimate, which is not meaningful beyond ten
// minutes.
const maxEstimateSeconds = 600
