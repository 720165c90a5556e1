package admission

import (
	"time"

	"filbertdeck/internal/decide/memoryforecast"
	"filbertdeck/internal/decide/slowstart"
)

const (
	// silentSlots bounds a plain service that does not say what it bears. It is
	// the load at which slow start takes a target for warm.
	silentSlots = 16
	// burstLeast and burstShare bound the grants to a warm target that neither
	// a report nor a first token has confirmed: what it receives at most when
	// it turned cold a moment ago and nobody can know yet. Each request that it
	// serves meanwhile makes room for two, so that short calls, of which
	// hundreds come and go between two reports, soon use all it bears.
	burstLeast = 4
	burstShare = 4
)

// released is a lease that ended after the last report was taken, which may
// still count it.
type released struct {
	granted, ended time.Duration
	tokens         int
}

// target is one back end: what it said of itself and what we know of it.
type target struct {
	address string
	leaving bool
	gate    *slowstart.Limiter
	report  Report
	// taken is when the report was taken, by our clock.
	taken time.Duration
	known bool
	// pace is the reported step time without the effect of the batch's size.
	pace   time.Duration
	leases []*lease
	load   memoryforecast.Load
	// unexplained is memory in use, and strangers are requests, that the last
	// report showed beyond our own leases at that time.
	unexplained float64
	strangers   int
	// unconfirmed counts our leases that were granted after the report was
	// taken and have produced nothing yet.
	unconfirmed int
	// confirmed counts those granted after the report that have produced
	// something or ended well since.
	confirmed int
	ended     []released
	cache     prefixCache
	// alone and suspects count leases that the poison rules hold apart.
	alone, suspects int
	reserved        bool
}

// SetTargets replaces the pool's targets. Leases on targets that are gone end.
func (a *Allocator) SetTargets(now time.Duration, targets []Target) {
	listed := make(map[string]bool, len(targets))
	a.order, a.usable = a.order[:0], 0
	for _, spec := range targets {
		t := a.targets[spec.Address]
		if t == nil {
			t = a.newTarget(spec.Address)
		}
		if listed[spec.Address] {
			continue
		}
		listed[spec.Address] = true
		t.leaving = spec.Leaving
		if !t.leaving {
			a.usable++
		}
		a.order = append(a.order, t)
	}
	for address, t := range a.targets {
		if !listed[address] {
			a.dropTarget(now, t)
		}
	}
	addresses := make([]string, len(a.order))
	for i, t := range a.order {
		addresses[i] = t.address
	}
	a.health.SetTargets(addresses)
}

func (a *Allocator) newTarget(address string) *target {
	t := &target{address: address, gate: slowstart.New(a.cfg.SlowStart), cache: newPrefixCache()}
	t.taken = -1
	a.owner.tell(t.gate)
	a.targets[address] = t
	return t
}

func (a *Allocator) dropTarget(now time.Duration, t *target) {
	for len(t.leases) > 0 {
		a.end(now, t.leases[0], false)
	}
	delete(a.targets, t.address)
}

// Report takes a target's statement of its load. One that was taken before the
// latest is dropped.
func (a *Allocator) Report(now time.Duration, r Report) {
	t := a.targets[r.Target]
	if t == nil {
		return
	}
	step := a.pace.normal(r.StepTime, r.Running)
	t.gate.Observe(now, slowstart.Report{
		Age: r.Age, Incarnation: r.Incarnation, Capacity: r.Capacity,
		Running: r.Running, Waiting: r.Waiting, StepTime: step,
	})
	taken := now - r.Age
	if t.known && taken < t.taken {
		return
	}
	if t.known && r.Incarnation != t.report.Incarnation {
		t.cache.clear()
		a.health.Reset(t.address)
	}
	t.pace = step
	a.health.RecordStepTime(now, t.address, step, a.random.Float64())
	t.cache.update(r.CachedPrefixes, r.EvictedPrefixes)
	r.CachedPrefixes, r.EvictedPrefixes = nil, nil
	if taken > t.taken {
		t.confirmed = 0
	}
	t.report, t.taken, t.known = r, taken, true
	t.refresh(now, &a.outputs)
}

func (t *target) add(now time.Duration, l *lease) {
	l.place = len(t.leases)
	t.leases = append(t.leases, l)
	t.load.Add(&l.growth)
	if l.alone {
		t.alone++
	}
	if l.suspect {
		t.suspects++
	}
	if l.gen.Produced == 0 {
		t.unconfirmed++
	}
	t.gate.RecordGrant(now, uint64(l.id))
}

func (t *target) remove(now time.Duration, l *lease, finished bool) {
	last := len(t.leases) - 1
	t.leases[l.place] = t.leases[last]
	t.leases[l.place].place = l.place
	t.leases[last] = nil
	t.leases = t.leases[:last]
	t.load.Remove(&l.growth)
	if l.alone {
		t.alone--
	}
	if l.suspect {
		t.suspects--
	}
	if t.isUnconfirmed(l) {
		t.confirm(finished)
	}
	t.ended = append(t.ended, released{granted: l.granted, ended: now, tokens: l.gen.Prompt + l.gen.Produced})
}

// started notes the first token of a lease.
func (t *target) started(now time.Duration, l *lease) {
	if t.isUnconfirmed(l) {
		t.confirm(true)
	}
	t.gate.RecordStart(now, uint64(l.id))
}

// confirm takes a lease off the unconfirmed ones; well says that the target
// was seen to serve it.
func (t *target) confirm(well bool) {
	t.unconfirmed--
	if well {
		t.confirmed++
	}
}

func (t *target) isUnconfirmed(l *lease) bool {
	return l.gen.Produced == 0 && l.granted >= t.taken
}

// refresh predicts anew what runs here, from how far each generation should be
// by now, and compares the last report with what we knew ran at its time. The
// larger of the two counts: reports lag, and our count misses what a
// predecessor granted or an expired lease left running.
func (t *target) refresh(now time.Duration, o *outputs) {
	t.load.Reset()
	t.unconfirmed = 0
	usedThen, runningThen := 0, 0
	for _, l := range t.leases {
		l.growth.Predict(o.of(l.service), t.extrapolate(l, now))
		t.load.Add(&l.growth)
		if t.isUnconfirmed(l) {
			t.unconfirmed++
		}
		if l.granted < t.taken {
			then := t.extrapolate(l, t.taken)
			usedThen += then.Prompt + then.Produced
			runningThen++
		}
	}
	kept := t.ended[:0]
	for _, r := range t.ended {
		if r.ended < t.taken {
			continue
		}
		kept = append(kept, r)
		if r.granted < t.taken {
			usedThen += r.tokens
			runningThen++
		}
	}
	t.ended = kept
	t.unexplained = float64(max(0, t.report.UsedTokens-usedThen))
	t.strangers = max(0, t.report.Running+t.report.Waiting-runningThen)
	t.predictStrangers(o)
}

// predictStrangers lets requests that we know nothing of grow like fresh ones
// of their mean size. Counted at their present size only, a new owner would
// fill the engine with generations that outgrow it while it learns of them.
func (t *target) predictStrangers(o *outputs) {
	if t.strangers == 0 {
		return
	}
	var g memoryforecast.Forecast
	g.Predict(o.all, memoryforecast.Generation{Prompt: int(t.unexplained) / t.strangers})
	t.load.AddN(&g, t.strangers)
	t.unexplained = 0
}

// extrapolate says how far a generation should be at a time: a token a step
// since it was last heard of.
func (t *target) extrapolate(l *lease, at time.Duration) memoryforecast.Generation {
	gen := l.gen
	if step := t.report.StepTime; step > 0 && t.report.MemoryTokens > 0 {
		gen.Produced += int((at - l.heard) / step)
	}
	gen.Produced = max(gen.Produced, 0)
	if gen.Max > 0 {
		gen.Produced = min(gen.Produced, gen.Max)
	}
	return gen
}

// bears is the number of requests that may run at the target.
func (t *target) bears() int {
	if t.report.Capacity > 0 {
		return t.report.Capacity
	}
	if t.report.MemoryTokens > 0 {
		return maxBatch
	}
	return silentSlots
}

// maxBatch bounds an engine that does not say what it bears; memory is what
// limits it before that.
const maxBatch = 256

// room tells how many more requests the target may be given now, by count.
// What has started lately goes by slow start alone. A warm target, and a small
// settled one at its owner, goes by our own count: its reports lag by many
// times the length of a short call.
func (t *target) room(now time.Duration, owner bool) int {
	state := t.gate.State(now)
	if state != slowstart.Warm && (state != slowstart.Settled || !owner) {
		return t.gate.Room(now)
	}
	bears := t.bears()
	free := bears - len(t.leases) - t.strangers
	return min(free, max(burstLeast, bears/burstShare)+t.confirmed-t.unconfirmed)
}
