package slowstart

import "time"

const (
	// calmReports have to follow a jump before the target may count as warm
	// again: three rule out that one quick step hides a cold cache.
	calmReports = 3
	// dropShare: Bears falling below this share of its last value is a cold
	// start in place. Engines lower it by a few when memory is short.
	dropShare = 0.5
	// smoothing is the weight of a new sample in the usual value, about the
	// mean of the last ten.
	smoothing = 0.1
	// minSamples have to be in the usual value before a jump is judged by it.
	minSamples = 8
	// grownBatch: a step may take longer when the batch has grown by more than
	// this factor, so that step is not judged.
	grownBatch = 1.5
)

// warmth judges one target from its reports and from what it finished.
type warmth struct {
	cfg         Config
	state       State
	seen        bool
	incarnation uint64
	said        int
	levelSince  time.Duration
	completed   int
	// ramp stands for Bears when the target doesn't say it.
	ramp  int
	doubt int

	step, batch, first usual
}

func newWarmth(cfg Config) warmth { return warmth{cfg: cfg, state: Cold, ramp: 1} }

func (w *warmth) bears() int {
	if w.said > 0 {
		return w.said
	}
	return w.ramp
}

// suspect makes the target cold and asks for calm reports. The usual values
// stay: they are what the next reports are compared with.
func (w *warmth) suspect() {
	w.state, w.ramp, w.completed, w.doubt = Cold, 1, 0, calmReports
}

func (w *warmth) observe(taken time.Duration, r Report) {
	if !w.seen || r.Incarnation != w.incarnation {
		w.restart(taken, r.Incarnation)
	}
	dropped := float64(r.Capacity) < dropShare*float64(w.said)
	if r.Capacity != w.said {
		w.levelSince = taken
	}
	w.said = r.Capacity
	jumped := w.stepJumped(r)
	switch {
	case dropped, jumped:
		w.suspect()
	case w.doubt > 0:
		w.doubt--
	}
	if !jumped && r.StepTime > 0 {
		w.step.add(float64(r.StepTime))
		w.batch.add(float64(r.Running))
	}
	w.judge(taken)
}

func (w *warmth) restart(taken time.Duration, incarnation uint64) {
	*w = newWarmth(w.cfg)
	w.seen, w.incarnation, w.levelSince = true, incarnation, taken
}

func (w *warmth) stepJumped(r Report) bool {
	grown := float64(r.Running) > grownBatch*w.batch.value
	return !grown && w.step.exceeded(float64(r.StepTime), w.cfg.JumpFactor)
}

func (w *warmth) judge(taken time.Duration) {
	switch {
	case w.doubt > 0:
		w.state = Cold
	case w.bears() >= w.cfg.WarmBears:
		w.state = Warm
	case w.said > 0 && w.completed > 0 && taken-w.levelSince >= w.cfg.SettleFor:
		w.state = Settled
	default:
		w.state = Cold
	}
}

// finished takes a completed request. The ramp grows only while the target is
// at least half full of what the ramp allows: requests that ran alone say
// nothing of how many it bears together.
func (w *warmth) finished(running int, firstToken time.Duration) {
	w.completed++
	if firstToken > 0 && w.first.exceeded(float64(firstToken), w.cfg.JumpFactor) {
		w.suspect()
		return
	}
	if firstToken > 0 {
		w.first.add(float64(firstToken))
	}
	if 2*running >= w.ramp && w.ramp < w.cfg.WarmBears {
		w.ramp++
	}
}

// usual is an exponentially weighted mean.
type usual struct {
	value   float64
	samples int
}

func (u *usual) add(v float64) {
	u.samples++
	weight := max(smoothing, 1/float64(u.samples))
	u.value += weight * (v - u.value)
}

func (u *usual) exceeded(v, factor float64) bool {
	return u.samples >= minSamples && v > factor*u.value
}
