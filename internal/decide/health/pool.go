package health

import (
	"cmp"
	"slices"
	"time"
)

// smoothing is the weight of a new sample, about the mean of the last eight:
// a slow target is found within a dozen requests.
const smoothing = 0.125

// Pool judges the targets of one pool. It is not safe for concurrent use.
// Randomness comes in as jitter, a number in [0, 1).
type Pool struct {
	cfg     Config
	targets map[string]*target
	order   []*target
	scratch []float64
}

type target struct {
	address     string
	first, step speed
	breaker     breaker
	ejected     bool
}

// speed is an exponentially weighted mean in nanoseconds.
type speed struct {
	mean    float64
	samples int
}

func (s *speed) add(d time.Duration) {
	if d <= 0 {
		return
	}
	s.samples++
	weight := max(smoothing, 1/float64(s.samples))
	s.mean += weight * (float64(d) - s.mean)
}

// New returns a pool without targets.
func New(cfg Config) *Pool {
	return &Pool{cfg: cfg.withDefaults(), targets: map[string]*target{}}
}

// SetTargets replaces the targets; what is known of those that stay is kept.
func (p *Pool) SetTargets(addresses []string) {
	old := p.targets
	p.targets = make(map[string]*target, len(addresses))
	p.order = p.order[:0]
	for _, a := range addresses {
		t := old[a]
		if t == nil {
			t = &target{address: a}
		}
		p.targets[a] = t
		p.order = append(p.order, t)
	}
	p.eject()
}

// Reset forgets a target's past: another incarnation answers.
func (p *Pool) Reset(address string) {
	if t := p.targets[address]; t != nil {
		*t = target{address: address}
		p.eject()
	}
}

// RecordResult takes the outcome of a request: ok says that the target did its part,
// also when the caller left. It ends a trial.
func (p *Pool) RecordResult(now time.Duration, address string, ok bool, s Sample, jitter float64) {
	t := p.targets[address]
	if t == nil {
		return
	}
	if ok {
		p.sample(t, s)
	}
	switch {
	case t.breaker.open && t.breaker.trial:
		t.breaker.tried(now, ok && !p.sampleSlow(t, s), p.cfg, jitter)
		p.forgetSlowness(t)
	case t.breaker.open:
	case t.breaker.result(ok, p.cfg):
		t.breaker.trip(now, causeFailing, p.cfg, jitter)
	case p.slow(t, t.first, t.step):
		t.breaker.trip(now, causeSlow, p.cfg, jitter)
	default:
		return
	}
	p.eject()
}

// RecordStepTime takes the step time of a target's report.
func (p *Pool) RecordStepTime(now time.Duration, address string, step time.Duration, jitter float64) {
	t := p.targets[address]
	if t == nil {
		return
	}
	t.step.add(step)
	if !t.breaker.open && p.slow(t, t.first, t.step) {
		t.breaker.trip(now, causeSlow, p.cfg, jitter)
		p.eject()
	}
}

// Status says what the target may be given now.
func (p *Pool) Status(now time.Duration, address string) Status {
	t := p.targets[address]
	switch {
	case t == nil:
		return Ejected
	case !t.breaker.open:
		return Healthy
	case t.breaker.mayTry(now, p.cfg):
		return Trial
	case t.ejected:
		return Ejected
	default:
		return Degraded
	}
}

// BeginTrial books the one trial request of a target whose standing is Trial.
// Its Result decides.
func (p *Pool) BeginTrial(now time.Duration, address string) {
	if t := p.targets[address]; t != nil && t.breaker.open {
		t.breaker.trial, t.breaker.trialBegan = true, now
	}
}

func (p *Pool) sample(t *target, s Sample) {
	t.first.add(s.FirstToken)
	t.step.add(s.StepTime)
}

// slow compares a target's speeds with the medians of the others.
func (p *Pool) slow(t *target, first, step speed) bool {
	return p.above(t, first, firstOf) || p.above(t, step, stepOf)
}

// sampleSlow judges a trial by itself: the mean still holds the slow past.
func (p *Pool) sampleSlow(t *target, s Sample) bool {
	first := speed{float64(s.FirstToken), p.cfg.MinSamples}
	step := speed{float64(s.StepTime), p.cfg.MinSamples}
	return p.slow(t, first, step)
}

// forgetSlowness starts the means anew when the breaker has closed, or the
// slow past would open it again at once.
func (p *Pool) forgetSlowness(t *target) {
	if !t.breaker.open {
		t.first, t.step = speed{}, speed{}
	}
}

func firstOf(t *target) speed { return t.first }
func stepOf(t *target) speed  { return t.step }

func (p *Pool) above(t *target, own speed, of func(*target) speed) bool {
	if own.samples < p.cfg.MinSamples {
		return false
	}
	others := p.scratch[:0]
	for _, o := range p.order {
		if s := of(o); o != t && s.samples >= p.cfg.MinSamples {
			others = append(others, s.mean)
		}
	}
	p.scratch = others
	if len(others) == 0 {
		return false
	}
	slices.Sort(others)
	// Of an even number the lower middle: of two others one may be slow too.
	median := others[(len(others)-1)/2]
	return own.mean > median*p.cfg.SlowFactor && own.mean > median+float64(p.cfg.SlowFloor)
}

// eject marks the worst open targets, as many as the share allows.
func (p *Pool) eject() {
	room := int(p.cfg.MaxEjected * float64(len(p.order)))
	if len(p.order) > 1 {
		room = max(room, 1)
	}
	open := make([]*target, 0, len(p.order))
	for _, t := range p.order {
		t.ejected = false
		if t.breaker.open {
			open = append(open, t)
		}
	}
	slices.SortStableFunc(open, func(a, b *target) int { return cmp.Compare(b.breaker.cause, a.breaker.cause) })
	for _, t := range open[:min(room, len(open))] {
		t.ejected = true
	}
}
