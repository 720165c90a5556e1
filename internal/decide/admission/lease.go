package admission

import (
	"time"

	"filbertdeck/internal/decide/fairqueue"
	"filbertdeck/internal/decide/health"
	"filbertdeck/internal/decide/memoryforecast"
)

// lease is one active admission.
type lease struct {
	id         LeaseID
	holder     Holder
	account    *fairqueue.Account[Ask]
	target     *target
	service    string
	generation memoryforecast.Generation
	forecast   memoryforecast.Forecast
	grantedAt  time.Duration
	// progressAt is when generation.Produced was last reported.
	progressAt time.Duration
	expiresAt  time.Duration
	// charged is the service charged so far, in tokens.
	charged     float64
	fingerprint uint64
	// exclusive is set if the request must run without any other on its target;
	// suspect is set if crash evidence restricts it in any way.
	exclusive, suspect bool
	// index is the lease's position in the target's leases.
	index          int
	previous, next *lease
}

// leaseTable holds the leases by ID and in order of expiry. All have the same
// lifetime, so a renewed lease moves to the end and no sorting is needed.
type leaseTable struct {
	byID        map[LeaseID]*lease
	first, last *lease
	nextID      LeaseID
	freeList    []*lease
	// meanServiceTime is the mean time from grant to settlement, meanCharge the
	// mean charge of a finished request in tokens.
	meanServiceTime time.Duration
	meanCharge      float64
}

func newLeaseTable(first LeaseID) leaseTable {
	return leaseTable{byID: map[LeaseID]*lease{}, nextID: first}
}

// create returns a lease with an unused ID. IDs of leases rebuilt from renewals
// come from other processes and can collide with new ones.
func (t *leaseTable) create() *lease {
	for {
		t.nextID++
		if _, used := t.byID[t.nextID]; !used && t.nextID != 0 {
			return t.insert(t.nextID)
		}
	}
}

func (t *leaseTable) insert(id LeaseID) *lease {
	var l *lease
	if n := len(t.freeList); n > 0 {
		l = t.freeList[n-1]
		t.freeList = t.freeList[:n-1]
	} else {
		l = &lease{}
	}
	*l = lease{id: id}
	t.byID[id] = l
	return l
}

func (t *leaseTable) append(l *lease) {
	l.previous, l.next = t.last, nil
	if t.last == nil {
		t.first = l
	} else {
		t.last.next = l
	}
	t.last = l
}

func (t *leaseTable) unlink(l *lease) {
	if l.previous == nil {
		t.first = l.next
	} else {
		l.previous.next = l.next
	}
	if l.next == nil {
		t.last = l.previous
	} else {
		l.next.previous = l.previous
	}
}

func (t *leaseTable) remove(l *lease) {
	t.unlink(l)
	delete(t.byID, l.id)
	*l = lease{}
	t.freeList = append(t.freeList, l)
}

// recordFinished updates the means with a finished request.
func (t *leaseTable) recordFinished(serviceTime time.Duration, charge float64) {
	if t.meanCharge == 0 {
		t.meanServiceTime, t.meanCharge = serviceTime, charge
		return
	}
	decay := leaseMeanDecay
	t.meanServiceTime = time.Duration(decay*float64(t.meanServiceTime) + (1-decay)*float64(serviceTime))
	t.meanCharge = decay*t.meanCharge + (1-decay)*charge
}

// addLease registers a lease with its target.
func (a *Allocator) addLease(now time.Duration, l *lease, holder Holder, account *fairqueue.Account[Ask], t *target, gen memoryforecast.Generation) {
	l.holder, l.account, l.target, l.generation = holder, account, t, gen
	l.grantedAt, l.progressAt, l.expiresAt = now, now, now+a.cfg.LeaseDuration
	a.leases.append(l)
	l.forecast.Predict(a.outputLengths.forService(l.service), gen)
	t.add(now, l)
	a.poison.leaseStarted(l.fingerprint)
}

// Renew extends the holder's leases and rebuilds those that are unknown, either
// because this allocator has just taken over the pool or because they expired
// while the entry was disconnected.
func (a *Allocator) Renew(now time.Duration, holder Holder, renewals []Renewal) {
	for i := range renewals {
		r := &renewals[i]
		l := a.leases.byID[r.Lease]
		if l == nil {
			a.rebuildLease(now, holder, r)
			continue
		}
		if l.holder != holder {
			continue
		}
		a.leases.unlink(l)
		a.leases.append(l)
		l.expiresAt = now + a.cfg.LeaseDuration
		a.recordProgress(now, l, r.ProducedTokens, false)
	}
}

func (a *Allocator) rebuildLease(now time.Duration, holder Holder, r *Renewal) {
	t := a.targets[r.Target]
	if t == nil {
		return
	}
	l := a.leases.insert(r.Lease)
	l.service = r.Service
	account := a.upsertAccount(r.Account)
	a.queue.AddRunning(account, 0)
	a.addLease(now, l, holder, account, t, memoryforecast.Generation{Prompt: r.PromptTokens, Produced: r.ProducedTokens})
	if r.ProducedTokens > 0 {
		t.recordFirstToken(now, l)
	}
}

// recordProgress charges what a lease produced since its last progress report.
// endOfOutput tells whether the last token ended the output.
func (a *Allocator) recordProgress(now time.Duration, l *lease, produced int, endOfOutput bool) {
	if produced <= l.generation.Produced {
		return
	}
	if l.generation.Produced == 0 {
		l.target.recordFirstToken(now, l)
	}
	l.target.slowStart.RecordProgress(now, uint64(l.id))
	survived := produced
	if endOfOutput {
		survived--
	}
	a.outputLengths.recordProgress(l.service, l.generation.Produced, survived)
	a.quotas.addProduced(l.account.Name, produced-l.generation.Produced)
	a.charge(l, OutputTokenCharge*float64(produced-l.generation.Produced))
	l.generation.Produced, l.progressAt = produced, now
}

func (a *Allocator) charge(l *lease, tokens float64) {
	l.charged += tokens
	a.queue.Charge(l.account, tokens)
	a.drainRate.Add(tokens)
}

// Settle ends a lease.
func (a *Allocator) Settle(now time.Duration, s Settlement) {
	l := a.leases.byID[s.Lease]
	if l == nil {
		return
	}
	finished := s.Outcome == OutcomeDone
	// An output that was cut off at its limit gives only a lower bound of the
	// length.
	endOfOutput := finished && s.ProducedTokens > 0 && (l.generation.Max == 0 || s.ProducedTokens < l.generation.Max)
	a.recordProgress(now, l, s.ProducedTokens, endOfOutput)
	if endOfOutput {
		a.outputLengths.recordFinished(l.service, s.ProducedTokens)
	}
	if finished {
		a.leases.recordFinished(now-l.grantedAt, l.charged)
	}
	// The charge of a request that did not run is refunded.
	if s.Outcome == OutcomeNotRun {
		a.charge(l, -l.charged)
	}
	a.recordOutcome(now, l, s)
	a.endLease(now, l, finished)
}

// recordOutcome updates the crash evidence and the target's health with the
// outcome of a request.
func (a *Allocator) recordOutcome(now time.Duration, l *lease, s Settlement) {
	t := l.target
	switch s.Outcome {
	case OutcomeDone:
		a.poison.requestFinished(now, l.fingerprint)
	case OutcomeTargetCrashed:
		a.poison.targetCrashed(now, t)
		t.slowStart.MarkSuspect(now)
	case OutcomeNotRun:
		// The request did not reach the target and is no evidence of its health.
		return
	}
	ok := s.Outcome == OutcomeDone || s.Outcome == OutcomeCallerLeft
	a.health.RecordResult(now, t.address, ok, t.healthSample(s), a.random.Float64())
}

// healthSample returns the evidence of the target's speed. For an engine it is
// the normalized step time: the first token can be late on a healthy engine
// too, after a long prompt or among many new requests.
func (t *target) healthSample(s Settlement) health.Sample {
	if t.report.KVCapacityTokens > 0 {
		return health.Sample{StepTime: t.normalizedStep}
	}
	return health.Sample{FirstToken: s.TimeToFirstToken}
}

// endLease removes a lease from all counts.
func (a *Allocator) endLease(now time.Duration, l *lease, finished bool) {
	account, cost := l.account, 0.0
	if finished {
		cost = l.charged
	}
	// The time to the first token is not passed to slow start, which takes a
	// late one for a cold start: every long prompt or slow call would make a
	// warm target cold for seconds.
	l.target.slowStart.RecordEnd(now, uint64(l.id), finished, 0)
	l.target.remove(now, l, finished)
	a.poison.leaseEnded(l.fingerprint)
	a.leases.remove(l)
	a.queue.Finish(account, cost)
}

// expireLeases ends leases that were not renewed, because their entry has
// failed or is disconnected. Requests that still run at the target appear in
// its reports.
func (a *Allocator) expireLeases(now time.Duration) {
	for l := a.leases.first; l != nil && l.expiresAt <= now; l = a.leases.first {
		a.endLease(now, l, false)
	}
}

// RemoveHolder ends the leases of an entry process that is known to have failed
// or stopped, and removes its waiting asks.
func (a *Allocator) RemoveHolder(now time.Duration, holder Holder) {
	for key, r := range a.waiting {
		if key.holder == holder {
			a.dropWaiting(r)
		}
	}
	for _, l := range a.leases.byID {
		if l.holder == holder {
			a.endLease(now, l, false)
		}
	}
}
