package model

import "time"

// Crash ends the engine and loses all its jobs.
func (e *Engine) Crash(now time.Duration) {
	e.catchUp(now)
	if !e.crashed {
		e.crash(0)
	}
}

// Restart starts a dead engine again: empty, cold, with a new incarnation.
func (e *Engine) Restart(now time.Duration) {
	e.catchUp(now)
	e.cfg.Incarnation++
	e.slow = 1
	e.clear()
}

// Freeze stops all progress for d and keeps everything, as a paused process
// does.
func (e *Engine) Freeze(now, d time.Duration) {
	e.catchUp(now)
	e.stall(d)
}

// Thaw ends a freeze early.
func (e *Engine) Thaw(now time.Duration) {
	e.catchUp(now)
	left := max(0, e.stalledUntil-e.now)
	e.stalledUntil -= left
	if e.stepping {
		e.stepEnd -= left
	}
}

// ResetWarmUp takes the engine's warmth without any other sign.
func (e *Engine) ResetWarmUp(now time.Duration) {
	e.catchUp(now)
	e.served, e.turnedCold, e.coldSince = 0, true, e.now
	e.record()
}

// SetSlowFactor multiplies the time of each later step; 1 is the normal speed.
func (e *Engine) SetSlowFactor(now time.Duration, factor float64) {
	e.catchUp(now)
	e.slow = factor
}

// Reclaim tells that the engine's machine is taken away: reports say that it
// is stopping, and it dies when the notice is over.
func (e *Engine) Reclaim(now, notice time.Duration) {
	e.catchUp(now)
	e.stopping = true
	e.killAt = e.now + notice
	e.record()
}

// stall holds the step in progress and the next one back until d from now. Of
// stalls that overlap the one that ends last counts.
func (e *Engine) stall(d time.Duration) {
	longer := max(0, e.now+d-max(e.stalledUntil, e.now))
	e.stalledUntil = max(e.stalledUntil, e.now+d)
	if e.stepping {
		e.stepEnd += longer
	}
}

func (e *Engine) crash(by JobID) {
	e.crashed, e.stepping = true, false
	e.stats.Crashes++
	e.jobs = map[JobID]*sequence{}
	e.waiting, e.running, e.used = nil, nil, 0
	e.events = append(e.events, Event{At: e.now, Kind: EventCrashed, ID: by})
}
