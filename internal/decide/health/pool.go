package health

import (
	"cmp"
	"slices"
	"time"
)

// smoothingFactor is the weight of a new sample, so that the average covers
// about the last eight. A slow target is found within a dozen requests.
const smoothingFactor = 0.125

// Pool tracks the health of the targets of one pool. It is not safe for
// concurrent use. Randomness is passed in as jitter, a number in [0, 1).
type Pool struct {
	cfg         Config
	targets     map[string]*target
	ordered     []*target
	meansBuffer []float64
}

type target struct {
	address              string
	firstToken, stepTime movingAverage
	breaker              breaker
	ejected              bool
}

// movingAverage is an exponentially weighted moving average in nanoseconds.
type movingAverage struct {
	mean    float64
	samples int
}

func (a *movingAverage) add(d time.Duration) {
	if d <= 0 {
		return
	}
	a.samples++
	weight := max(smoothingFactor, 1/float64(a.samples))
	a.mean += weight * (float64(d) - a.mean)
}

// New returns a pool without targets.
func New(cfg Config) *Pool {
	return &Pool{cfg: cfg.withDefaults(), targets: map[string]*target{}}
}

// SetTargets replaces the targets. Targets that remain keep their state.
func (p *Pool) SetTargets(addresses []string) {
	old := p.targets
	p.targets = make(map[string]*target, len(addresses))
	p.ordered = p.ordered[:0]
	for _, a := range addresses {
		t := old[a]
		if t == nil {
			t = &target{address: a}
		}
		p.targets[a] = t
		p.ordered = append(p.ordered, t)
	}
	p.updateEjections()
}

// Reset resets the state of a target: another incarnation answers at its
// address.
func (p *Pool) Reset(address string) {
	if t := p.targets[address]; t != nil {
		*t = target{address: address}
		p.updateEjections()
	}
}

// RecordResult records the outcome of a request and ends a trial. ok is also true if
// the caller disconnected and the target did nothing wrong.
func (p *Pool) RecordResult(now time.Duration, address string, ok bool, s Sample, jitter float64) {
	t := p.targets[address]
	if t == nil {
		return
	}
	if ok {
		p.addSample(t, s)
	}
	switch {
	case t.breaker.open && t.breaker.trialRunning:
		t.breaker.recordTrial(now, ok && !p.isSampleSlow(t, s), p.cfg, jitter)
		p.resetAveragesIfClosed(t)
	case t.breaker.open:
	case t.breaker.recordOutcome(ok, p.cfg):
		t.breaker.trip(now, causeFailing, p.cfg, jitter)
	case p.isSlow(t, t.firstToken, t.stepTime):
		t.breaker.trip(now, causeSlow, p.cfg, jitter)
	default:
		return
	}
	p.updateEjections()
}

// RecordStepTime records the step time from a target's report.
func (p *Pool) RecordStepTime(now time.Duration, address string, step time.Duration, jitter float64) {
	t := p.targets[address]
	if t == nil {
		return
	}
	t.stepTime.add(step)
	if !t.breaker.open && p.isSlow(t, t.firstToken, t.stepTime) {
		t.breaker.trip(now, causeSlow, p.cfg, jitter)
		p.updateEjections()
	}
}

// Status returns what work the target may get now.
func (p *Pool) Status(now time.Duration, address string) Status {
	t := p.targets[address]
	switch {
	case t == nil:
		return Ejected
	case !t.breaker.open:
		return Healthy
	case t.breaker.trialAllowed(now, p.cfg):
		return Trial
	case t.ejected:
		return Ejected
	default:
		return Degraded
	}
}

// BeginTrial records the start of the trial request to a target that is due for
// a trial. Its result decides whether the trial succeeded.
func (p *Pool) BeginTrial(now time.Duration, address string) {
	if t := p.targets[address]; t != nil && t.breaker.open {
		t.breaker.trialRunning, t.breaker.trialStartedAt = true, now
	}
}

func (p *Pool) addSample(t *target, s Sample) {
	t.firstToken.add(s.FirstToken)
	t.stepTime.add(s.StepTime)
}

// isSlow compares a target's averages with the medians of the other targets.
func (p *Pool) isSlow(t *target, firstToken, stepTime movingAverage) bool {
	return p.exceedsMedian(t, firstToken, firstTokenOf) || p.exceedsMedian(t, stepTime, stepTimeOf)
}

// isSampleSlow compares the sample of a trial alone, because the average still
// contains slow samples from before the trial.
func (p *Pool) isSampleSlow(t *target, s Sample) bool {
	firstToken := movingAverage{float64(s.FirstToken), p.cfg.MinSamples}
	stepTime := movingAverage{float64(s.StepTime), p.cfg.MinSamples}
	return p.isSlow(t, firstToken, stepTime)
}

// resetAveragesIfClosed resets the averages when the breaker has closed. Their
// old slow samples would open it again at once.
func (p *Pool) resetAveragesIfClosed(t *target) {
	if !t.breaker.open {
		t.firstToken, t.stepTime = movingAverage{}, movingAverage{}
	}
}

func firstTokenOf(t *target) movingAverage { return t.firstToken }
func stepTimeOf(t *target) movingAverage   { return t.stepTime }

func (p *Pool) exceedsMedian(t *target, average movingAverage, metric func(*target) movingAverage) bool {
	if average.samples < p.cfg.MinSamples {
		return false
	}
	others := p.meansBuffer[:0]
	for _, o := range p.ordered {
		if other := metric(o); o != t && other.samples >= p.cfg.MinSamples {
			others = append(others, other.mean)
		}
	}
	p.meansBuffer = others
	if len(others) == 0 {
		return false
	}
	slices.Sort(others)
	// For an even number this is the lower of the two middle values: of two
	// other targets one may be slow too.
	median := others[(len(others)-1)/2]
	return average.mean > median*p.cfg.SlowFactor && average.mean > median+float64(p.cfg.MinSlowDifference)
}

// updateEjections marks the worst targets with open breakers as ejected, up to
// the maximum share.
func (p *Pool) updateEjections() {
	maxEjected := int(p.cfg.MaxEjectedShare * float64(len(p.ordered)))
	if len(p.ordered) > 1 {
		maxEjected = max(maxEjected, 1)
	}
	open := make([]*target, 0, len(p.ordered))
	for _, t := range p.ordered {
		t.ejected = false
		if t.breaker.open {
			open = append(open, t)
		}
	}
	slices.SortStableFunc(open, func(a, b *target) int { return cmp.Compare(b.breaker.cause, a.breaker.cause) })
	for _, t := range open[:min(maxEjected, len(open))] {
		t.ejected = true
	}
}
