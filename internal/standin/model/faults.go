package model

import "time"

// Crash stops the engine; all its jobs are lost.
func (e *Engine) Crash(now time.Duration) {
	e.advanceTo(now)
	if !e.crashed {
		e.crash(0)
	}
}

// Restart restarts a crashed engine: empty, cold, with a new incarnation.
func (e *Engine) Restart(now time.Duration) {
	e.advanceTo(now)
	e.cfg.Incarnation++
	e.slowFactor = 1
	e.reset()
}

// Freeze stops all progress for the duration d and keeps all state, as a
// suspended process does.
func (e *Engine) Freeze(now, d time.Duration) {
	e.advanceTo(now)
	e.stall(d)
}

// Unfreeze ends a freeze early.
func (e *Engine) Unfreeze(now time.Duration) {
	e.advanceTo(now)
	remaining := max(0, e.stalledUntil-e.now)
	e.stalledUntil -= remaining
	if e.stepping {
		e.stepEnd -= remaining
	}
}

// ResetWarmUp resets the warm-up of the engine. Only the load reports show it.
func (e *Engine) ResetWarmUp(now time.Duration) {
	e.advanceTo(now)
	e.servedTime, e.lostWarmUp, e.coldSince = 0, true, e.now
	e.recordReport()
}

// SetSlowFactor multiplies the duration of each later step; 1 is the normal speed.
func (e *Engine) SetSlowFactor(now time.Duration, factor float64) {
	e.advanceTo(now)
	e.slowFactor = factor
}

// Reclaim simulates the reclaiming of the engine's host: reports state that the
// engine is stopping, and it crashes when the notice period is over.
func (e *Engine) Reclaim(now, notice time.Duration) {
	e.advanceTo(now)
	e.stopping = true
	e.terminateAt = e.now + notice
	e.recordReport()
}

// stall delays the current step and the next one until d from now. If stalls
// overlap, the one that ends last applies.
func (e *Engine) stall(d time.Duration) {
	extension := max(0, e.now+d-max(e.stalledUntil, e.now))
	e.stalledUntil = max(e.stalledUntil, e.now+d)
	if e.stepping {
		e.stepEnd += extension
	}
}

func (e *Engine) crash(cause JobID) {
	e.crashed, e.stepping = true, false
	e.stats.Crashes++
	e.jobs = map[JobID]*sequence{}
	e.waiting, e.running, e.usedTokens = nil, nil, 0
	e.events = append(e.events, Event{At: e.now, Kind: EventCrashed, ID: cause})
}
