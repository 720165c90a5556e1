package model

// Capacity returns the number of jobs that the engine can currently take without
// overload. It is one for a cold engine and grows linearly with the time spent
// serving, up to the configured capacity of a warm engine at the end of the
// configured warm-up time.
func (e *Engine) Capacity() int {
	if e.servedTime >= e.cfg.WarmUpTime {
		return e.cfg.WarmCapacity
	}
	fraction := float64(e.servedTime) / float64(e.cfg.WarmUpTime)
	return 1 + int(fraction*float64(e.cfg.WarmCapacity-1))
}

// checkCapacity stalls or crashes a cold engine that has more jobs than its
// capacity. A warm engine queues the excess. An engine that lost its warm-up
// while running has a grace period, because no report could show the loss yet.
func (e *Engine) checkCapacity() {
	excess := len(e.jobs) - e.Capacity()
	if excess <= 0 || e.servedTime >= e.cfg.WarmUpTime {
		return
	}
	e.stats.OverBears++
	e.stats.MaxOverCapacity = max(e.stats.MaxOverCapacity, excess)
	if e.lostWarmUp && e.now < e.coldSince+e.cfg.ColdGracePeriod {
		e.stats.OverInGrace++
		return
	}
	if e.now < e.stalledUntil {
		return
	}
	e.stats.FellOver++
	if e.cfg.OverloadEffect == OverloadCrash {
		e.crash(0)
		return
	}
	e.events = append(e.events, Event{At: e.now, Kind: EventOverloaded})
	e.stall(e.cfg.OverloadStallTime)
	e.servedTime = 0
}
