package slowstart

import "time"

const (
	// normalReportsAfterJump is the number of reports required after a jump
	// before the target may count as warm again. With three, one fast step cannot
	// hide a cold cache.
	normalReportsAfterJump = 3
	// capacityDropRatio is the ratio of the reported capacity to its last value
	// below which the target is assumed to have become cold without a restart.
	// Engines lower it by a few requests when memory is short.
	capacityDropRatio = 0.5
	// ewmaWeight is the weight of a new sample, which gives about the mean of the
	// last ten.
	ewmaWeight = 0.1
	// minSamples is the number of samples required before a value is compared
	// with the mean.
	minSamples = 8
	// batchGrowthFactor is the growth of the batch above which a step time is not
	// judged, because a larger batch may take longer.
	batchGrowthFactor = 1.5
)

// warmupTracker derives a target's warm-up state from its reports and from the
// requests that it finished.
type warmupTracker struct {
	cfg               Config
	state             State
	hasReport         bool
	incarnation       uint64
	reportedCapacity  int
	capacitySince     time.Duration
	completedRequests int
	// estimatedCapacity is used if the target does not report its capacity.
	estimatedCapacity   int
	normalReportsNeeded int

	stepTime, batchSize, firstToken ewma
}

func newWarmupTracker(cfg Config) warmupTracker {
	return warmupTracker{cfg: cfg, state: Cold, estimatedCapacity: 1}
}

func (w *warmupTracker) capacity() int {
	if w.reportedCapacity > 0 {
		return w.reportedCapacity
	}
	return w.estimatedCapacity
}

// suspect makes the target cold and requires normal reports. The mean values
// stay, because the next reports are compared with them.
func (w *warmupTracker) suspect() {
	w.state, w.estimatedCapacity, w.completedRequests, w.normalReportsNeeded = Cold, 1, 0, normalReportsAfterJump
}

func (w *warmupTracker) observe(madeAt time.Duration, r Report) {
	if !w.hasReport || r.Incarnation != w.incarnation {
		w.restart(madeAt, r.Incarnation)
	}
	dropped := float64(r.Capacity) < capacityDropRatio*float64(w.reportedCapacity)
	if r.Capacity != w.reportedCapacity {
		w.capacitySince = madeAt
	}
	w.reportedCapacity = r.Capacity
	jumped := w.stepJumped(r)
	switch {
	case dropped, jumped:
		w.suspect()
	case w.normalReportsNeeded > 0:
		w.normalReportsNeeded--
	}
	if !jumped && r.StepTime > 0 {
		w.stepTime.add(float64(r.StepTime))
		w.batchSize.add(float64(r.Running))
	}
	w.updateState(madeAt)
}

func (w *warmupTracker) restart(madeAt time.Duration, incarnation uint64) {
	*w = newWarmupTracker(w.cfg)
	w.hasReport, w.incarnation, w.capacitySince = true, incarnation, madeAt
}

func (w *warmupTracker) stepJumped(r Report) bool {
	batchGrew := float64(r.Running) > batchGrowthFactor*w.batchSize.value
	return !batchGrew && w.stepTime.exceeded(float64(r.StepTime), w.cfg.JumpFactor)
}

func (w *warmupTracker) updateState(madeAt time.Duration) {
	switch {
	case w.normalReportsNeeded > 0:
		w.state = Cold
	case w.capacity() >= w.cfg.WarmCapacity:
		w.state = Warm
	case w.reportedCapacity > 0 && w.completedRequests > 0 && madeAt-w.capacitySince >= w.cfg.SettleTime:
		w.state = Settled
	default:
		w.state = Cold
	}
}

// finished records a completed request. The estimated capacity grows only while
// at least half of it is in use: requests that ran alone do not show how many the
// target can run together.
func (w *warmupTracker) finished(running int, firstToken time.Duration) {
	w.completedRequests++
	if firstToken > 0 && w.firstToken.exceeded(float64(firstToken), w.cfg.JumpFactor) {
		w.suspect()
		return
	}
	if firstToken > 0 {
		w.firstToken.add(float64(firstToken))
	}
	if 2*running >= w.estimatedCapacity && w.estimatedCapacity < w.cfg.WarmCapacity {
		w.estimatedCapacity++
	}
}

// ewma is an exponentially weighted moving average.
type ewma struct {
	value   float64
	samples int
}

func (e *ewma) add(v float64) {
	e.samples++
	weight := max(ewmaWeight, 1/float64(e.samples))
	e.value += weight * (v - e.value)
}

func (e *ewma) exceeded(v, factor float64) bool {
	return e.samples >= minSamples && v > factor*e.value
}
