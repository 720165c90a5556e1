package model

// Bears gives the number of jobs that the engine bears now. A cold engine
// bears one; the number grows in step with the time spent serving, up to
// Config.FullBears when the ramp is over.
func (e *Engine) Bears() int {
	if e.served >= e.cfg.WarmUpTime {
		return e.cfg.WarmCapacity
	}
	part := float64(e.served) / float64(e.cfg.WarmUpTime)
	return 1 + int(part*float64(e.cfg.WarmCapacity-1))
}

// checkBears lets a cold engine fall over when it got more than it bears. A
// warm engine queues whatever comes. An engine that turned cold while it ran
// has a short grace, since no report could have told of it yet.
func (e *Engine) checkBears() {
	over := len(e.jobs) - e.Bears()
	if over <= 0 || e.served >= e.cfg.WarmUpTime {
		return
	}
	e.stats.OverBears++
	e.stats.MaxOver = max(e.stats.MaxOver, over)
	if e.turnedCold && e.now < e.coldSince+e.cfg.ColdGrace {
		e.stats.OverInGrace++
		return
	}
	if e.now < e.stalledUntil {
		return
	}
	e.stats.FellOver++
	if e.cfg.FallOver == FallOverCrash {
		e.crash(0)
		return
	}
	e.events = append(e.events, Event{At: e.now, Kind: EventFellOver})
	e.stall(e.cfg.StallTime)
	e.served = 0
}
