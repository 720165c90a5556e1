package admission

import (
	"time"

	"filbertdeck/internal/decide/memoryforecast"
	"filbertdeck/internal/decide/slowstart"
)

const (
	// defaultServiceCapacity is the number of concurrent requests assumed for a
	// plain service that does not report it. It is also the load at which slow
	// start considers a target warm.
	defaultServiceCapacity = 16
	// minUnconfirmedGrants and unconfirmedGrantDivisor bound the grants to a
	// warm target that neither a report nor a first token has confirmed. They
	// limit what a target receives if it has just become cold and this is not
	// known yet. Each request that it serves meanwhile allows two more, so that
	// short calls, hundreds of which can pass between two reports, soon use its
	// full capacity.
	minUnconfirmedGrants    = 4
	unconfirmedGrantDivisor = 4
)

// endedLease is a lease that ended after the last report was taken; a report
// that was taken before its end still counts it.
type endedLease struct {
	grantedAt, endedAt time.Duration
	tokens             int
}

// target is the allocator's state of one target: its last report and the leases
// and memory that are known to be in use there.
type target struct {
	address   string
	leaving   bool
	slowStart *slowstart.Limiter
	report    Report
	// reportTakenAt is when the report was taken, by the allocator's clock.
	reportTakenAt time.Duration
	reported      bool
	// normalizedStep is the reported step time without the effect of the batch
	// size.
	normalizedStep time.Duration
	leases         []*lease
	load           memoryforecast.Load
	// unattributedTokens is the memory in use, and unknownRequests the number
	// of requests, in the last report beyond those of the allocator's own
	// leases at that time.
	unattributedTokens float64
	unknownRequests    int
	// unconfirmed counts the leases that were granted after the report was
	// taken and have produced nothing yet.
	unconfirmed int
	// confirmed counts those granted after the report that have since produced
	// output or finished.
	confirmed           int
	recentlyEndedLeases []endedLease
	cache               prefixCache
	// exclusiveLeases and suspectLeases count the leases that the poison rules
	// restrict.
	exclusiveLeases, suspectLeases int
	// reserved is set while poisonGuard reserves the target for a request that
	// must run exclusively.
	reserved bool
}

// SetTargets replaces the pool's targets. Leases on removed targets end.
func (a *Allocator) SetTargets(now time.Duration, targets []Target) {
	listed := make(map[string]bool, len(targets))
	a.targetOrder, a.usableTargets = a.targetOrder[:0], 0
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
			a.usableTargets++
		}
		a.targetOrder = append(a.targetOrder, t)
	}
	for address, t := range a.targets {
		if !listed[address] {
			a.dropTarget(now, t)
		}
	}
	addresses := make([]string, len(a.targetOrder))
	for i, t := range a.targetOrder {
		addresses[i] = t.address
	}
	a.health.SetTargets(addresses)
}

func (a *Allocator) newTarget(address string) *target {
	t := &target{address: address, slowStart: slowstart.New(a.cfg.SlowStart), cache: newPrefixCache()}
	t.reportTakenAt = -1
	a.ownership.applyTo(t.slowStart)
	a.targets[address] = t
	return t
}

func (a *Allocator) dropTarget(now time.Duration, t *target) {
	for len(t.leases) > 0 {
		a.endLease(now, t.leases[0], false)
	}
	delete(a.targets, t.address)
}

// Report processes a target's report. A report older than the latest one is
// ignored.
func (a *Allocator) Report(now time.Duration, r Report) {
	t := a.targets[r.Target]
	if t == nil {
		return
	}
	step := a.stepTimes.normalize(r.StepTime, r.Running)
	t.slowStart.Observe(now, slowstart.Report{
		Age: r.Age, Incarnation: r.Incarnation, Capacity: r.Capacity,
		Running: r.Running, Waiting: r.Waiting, StepTime: step,
	})
	taken := now - r.Age
	if t.reported && taken < t.reportTakenAt {
		return
	}
	if t.reported && r.Incarnation != t.report.Incarnation {
		t.cache.clear()
		a.health.Reset(t.address)
	}
	t.normalizedStep = step
	a.health.RecordStepTime(now, t.address, step, a.random.Float64())
	t.cache.update(r.CachedPrefixes, r.EvictedPrefixes)
	r.CachedPrefixes, r.EvictedPrefixes = nil, nil
	if taken > t.reportTakenAt {
		t.confirmed = 0
	}
	t.report, t.reportTakenAt, t.reported = r, taken, true
	t.refresh(now, &a.outputLengths)
}

func (t *target) add(now time.Duration, l *lease) {
	l.index = len(t.leases)
	t.leases = append(t.leases, l)
	t.load.Add(&l.forecast)
	if l.exclusive {
		t.exclusiveLeases++
	}
	if l.suspect {
		t.suspectLeases++
	}
	if l.generation.Produced == 0 {
		t.unconfirmed++
	}
	t.slowStart.RecordGrant(now, uint64(l.id))
}

func (t *target) remove(now time.Duration, l *lease, finished bool) {
	last := len(t.leases) - 1
	t.leases[l.index] = t.leases[last]
	t.leases[l.index].index = l.index
	t.leases[last] = nil
	t.leases = t.leases[:last]
	t.load.Remove(&l.forecast)
	if l.exclusive {
		t.exclusiveLeases--
	}
	if l.suspect {
		t.suspectLeases--
	}
	if t.isUnconfirmed(l) {
		t.confirm(finished)
	}
	t.recentlyEndedLeases = append(t.recentlyEndedLeases, endedLease{grantedAt: l.grantedAt, endedAt: now, tokens: l.generation.Prompt + l.generation.Produced})
}

// recordFirstToken records the first token of a lease.
func (t *target) recordFirstToken(now time.Duration, l *lease) {
	if t.isUnconfirmed(l) {
		t.confirm(true)
	}
	t.slowStart.RecordStart(now, uint64(l.id))
}

// confirm removes a lease from the unconfirmed ones; served tells whether the
// target was seen to serve it.
func (t *target) confirm(served bool) {
	t.unconfirmed--
	if served {
		t.confirmed++
	}
}

func (t *target) isUnconfirmed(l *lease) bool {
	return l.generation.Produced == 0 && l.grantedAt >= t.reportTakenAt
}

// refresh recomputes the predicted load, from the progress that each generation
// should have made by now, and compares the last report with the leases known
// to run when it was taken. The larger of the two is used: reports lag, and the
// allocator's own count lacks requests that a previous owner granted or an
// expired lease left running.
func (t *target) refresh(now time.Duration, o *outputLengthModel) {
	t.load.Reset()
	t.unconfirmed = 0
	usedAtReport, runningAtReport := 0, 0
	for _, l := range t.leases {
		l.forecast.Predict(o.forService(l.service), t.extrapolate(l, now))
		t.load.Add(&l.forecast)
		if t.isUnconfirmed(l) {
			t.unconfirmed++
		}
		if l.grantedAt < t.reportTakenAt {
			atReport := t.extrapolate(l, t.reportTakenAt)
			usedAtReport += atReport.Prompt + atReport.Produced
			runningAtReport++
		}
	}
	kept := t.recentlyEndedLeases[:0]
	for _, r := range t.recentlyEndedLeases {
		if r.endedAt < t.reportTakenAt {
			continue
		}
		kept = append(kept, r)
		if r.grantedAt < t.reportTakenAt {
			usedAtReport += r.tokens
			runningAtReport++
		}
	}
	t.recentlyEndedLeases = kept
	t.unattributedTokens = float64(max(0, t.report.KVUsedTokens-usedAtReport))
	t.unknownRequests = max(0, t.report.Running+t.report.Waiting-runningAtReport)
	t.predictUnknownRequests(o)
}

// predictUnknownRequests adds the unknown requests to the load as new requests
// of their mean size. Counted at their present size only, they would let a new
// owner fill the engine with generations that outgrow its memory before it
// knows them.
func (t *target) predictUnknownRequests(o *outputLengthModel) {
	if t.unknownRequests == 0 {
		return
	}
	var g memoryforecast.Forecast
	g.Predict(o.all, memoryforecast.Generation{Prompt: int(t.unattributedTokens) / t.unknownRequests})
	t.load.AddN(&g, t.unknownRequests)
	t.unattributedTokens = 0
}

// extrapolate estimates the progress of a generation at a time: one token per
// step since its last progress report.
func (t *target) extrapolate(l *lease, at time.Duration) memoryforecast.Generation {
	gen := l.generation
	if step := t.report.StepTime; step > 0 && t.report.KVCapacityTokens > 0 {
		gen.Produced += int((at - l.progressAt) / step)
	}
	gen.Produced = max(gen.Produced, 0)
	if gen.Max > 0 {
		gen.Produced = min(gen.Produced, gen.Max)
	}
	return gen
}

// capacity returns the number of requests that may run at the target.
func (t *target) capacity() int {
	if t.report.Capacity > 0 {
		return t.report.Capacity
	}
	if t.report.KVCapacityTokens > 0 {
		return defaultEngineCapacity
	}
	return defaultServiceCapacity
}

// defaultEngineCapacity bounds the requests of an engine that does not report
// its capacity; memory is the limit before that.
const defaultEngineCapacity = 256

// freeSlots returns how many more requests the target may be given now, by
// their number and regardless of memory. For a target that started recently,
// slow start alone decides. For a warm target, and for a settled one (a small
// target whose capacity no longer grows) if this allocator owns the pool, the
// allocator's own count decides, because reports lag by many times the length of
// a short call. Package slowstart defines the states.
func (t *target) freeSlots(now time.Duration, owner bool) int {
	state := t.slowStart.State(now)
	if state != slowstart.Warm && (state != slowstart.Settled || !owner) {
		return t.slowStart.Room(now)
	}
	capacity := t.capacity()
	free := capacity - len(t.leases) - t.unknownRequests
	return min(free, max(minUnconfirmedGrants, capacity/unconfirmedGrantDivisor)+t.confirmed-t.unconfirmed)
}
