package admission

import (
	"time"

	"filbertdeck/internal/decide/fairqueue"
	"filbertdeck/internal/decide/health"
	"filbertdeck/internal/decide/memoryforecast"
)

// lease is one admission that counts.
type lease struct {
	id      LeaseID
	holder  Holder
	account *fairqueue.Account[Ask]
	target  *target
	service string
	gen     memoryforecast.Generation
	growth  memoryforecast.Forecast
	granted time.Duration
	// heard is when gen.Produced was told.
	heard   time.Duration
	expires time.Duration
	// charged is the service charged so far, in tokens.
	charged     float64
	fingerprint uint64
	// alone and suspect say that the poison rules hold it apart.
	alone, suspect bool
	// place is its index in the target's leases.
	place          int
	previous, next *lease
}

// leaseTable holds the leases by id and in the order of their expiry. All live
// equally long, so that a renewed one goes to the end and the order needs no
// sorting.
type leaseTable struct {
	byID        map[LeaseID]*lease
	first, last *lease
	nextID      LeaseID
	free        []*lease
	// residence is the mean time from grant to settlement, meanCharge the mean
	// service of a finished request.
	residence  time.Duration
	meanCharge float64
}

func newLeaseTable(first LeaseID) leaseTable {
	return leaseTable{byID: map[LeaseID]*lease{}, nextID: first}
}

// draw returns a lease with an id that isn't in use. Ids of leases rebuilt from
// renewals come from other processes and could be met by chance.
func (t *leaseTable) draw() *lease {
	for {
		t.nextID++
		if _, used := t.byID[t.nextID]; !used && t.nextID != 0 {
			return t.make(t.nextID)
		}
	}
}

func (t *leaseTable) make(id LeaseID) *lease {
	var l *lease
	if n := len(t.free); n > 0 {
		l = t.free[n-1]
		t.free = t.free[:n-1]
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
	t.free = append(t.free, l)
}

// settled feeds the means with a finished request.
func (t *leaseTable) settled(residence time.Duration, charge float64) {
	if t.meanCharge == 0 {
		t.residence, t.meanCharge = residence, charge
		return
	}
	keep := residenceMemory
	t.residence = time.Duration(keep*float64(t.residence) + (1-keep)*float64(residence))
	t.meanCharge = keep*t.meanCharge + (1-keep)*charge
}

// book counts a lease in at its target.
func (a *Allocator) book(now time.Duration, l *lease, holder Holder, account *fairqueue.Account[Ask], t *target, gen memoryforecast.Generation) {
	l.holder, l.account, l.target, l.gen = holder, account, t, gen
	l.granted, l.heard, l.expires = now, now, now+a.cfg.LeaseDuration
	a.leases.append(l)
	l.growth.Predict(a.outputs.of(l.service), gen)
	t.add(now, l)
	a.suspects.began(l.fingerprint)
}

// Renew extends leases of holder, and books those that are not known here: the
// allocator has just taken over, or they expired while the entry was cut off.
func (a *Allocator) Renew(now time.Duration, holder Holder, renewals []Renewal) {
	for i := range renewals {
		r := &renewals[i]
		l := a.leases.byID[r.Lease]
		if l == nil {
			a.rebuild(now, holder, r)
			continue
		}
		if l.holder != holder {
			continue
		}
		a.leases.unlink(l)
		a.leases.append(l)
		l.expires = now + a.cfg.LeaseDuration
		a.progress(now, l, r.ProducedTokens, false)
	}
}

func (a *Allocator) rebuild(now time.Duration, holder Holder, r *Renewal) {
	t := a.targets[r.Target]
	if t == nil {
		return
	}
	l := a.leases.make(r.Lease)
	l.service = r.Service
	account := a.account(r.Account)
	a.queue.Resume(account, 0)
	a.book(now, l, holder, account, t, memoryforecast.Generation{Prompt: r.PromptTokens, Produced: r.ProducedTokens})
	if r.ProducedTokens > 0 {
		t.started(now, l)
	}
}

// progress charges what a lease produced since it was last heard of. ended
// tells that the last token was the output's end.
func (a *Allocator) progress(now time.Duration, l *lease, produced int, ended bool) {
	if produced <= l.gen.Produced {
		return
	}
	if l.gen.Produced == 0 {
		l.target.started(now, l)
	}
	l.target.gate.RecordProgress(now, uint64(l.id))
	survived := produced
	if ended {
		survived--
	}
	a.outputs.progress(l.service, l.gen.Produced, survived)
	a.parts.produced(l.account.Name, produced-l.gen.Produced)
	a.charge(l, OutputCharge*float64(produced-l.gen.Produced))
	l.gen.Produced, l.heard = produced, now
}

func (a *Allocator) charge(l *lease, tokens float64) {
	l.charged += tokens
	a.queue.Charge(l.account, tokens)
	a.drain.Charge(tokens)
}

// Settle ends a lease.
func (a *Allocator) Settle(now time.Duration, s Settlement) {
	l := a.leases.byID[s.Lease]
	if l == nil {
		return
	}
	finished := s.Outcome == OutcomeDone
	// An output that was cut by its bound says only that it is not shorter.
	ended := finished && s.ProducedTokens > 0 && (l.gen.Max == 0 || s.ProducedTokens < l.gen.Max)
	a.progress(now, l, s.ProducedTokens, ended)
	if ended {
		a.outputs.finished(l.service, s.ProducedTokens)
	}
	if finished {
		a.leases.settled(now-l.granted, l.charged)
	}
	// A request that did not run is given back what it was charged, once.
	if s.Outcome == OutcomeNotRun {
		a.charge(l, -l.charged)
	}
	a.observe(now, l, s)
	a.end(now, l, finished)
}

// observe takes what a settlement says of the request and its target.
func (a *Allocator) observe(now time.Duration, l *lease, s Settlement) {
	t := l.target
	switch s.Outcome {
	case OutcomeDone:
		a.suspects.finished(now, l.fingerprint)
	case OutcomeTargetCrashed:
		a.suspects.crashed(now, t)
		t.gate.MarkSuspect(now)
	case OutcomeNotRun:
		// Nothing reached the target, so that it says nothing of it.
		return
	}
	ok := s.Outcome == OutcomeDone || s.Outcome == OutcomeCallerLeft
	a.health.RecordResult(now, t.address, ok, t.sample(s), a.random.Float64())
}

// sample is what a request showed of its target's speed. Of an engine that is
// the pace: the first token comes late after a long prompt or among many new
// ones, on a healthy engine too.
func (t *target) sample(s Settlement) health.Sample {
	if t.report.MemoryTokens > 0 {
		return health.Sample{StepTime: t.pace}
	}
	return health.Sample{FirstToken: s.FirstToken}
}

// end takes a lease off all counts.
func (a *Allocator) end(now time.Duration, l *lease, finished bool) {
	account, cost := l.account, 0.0
	if finished {
		cost = l.charged
	}
	// No time to the first token is handed to slow start: it takes a late one
	// for a cold start, and every long prompt or slow call would make a warm
	// target cold for seconds.
	l.target.gate.RecordEnd(now, uint64(l.id), finished, 0)
	l.target.remove(now, l, finished)
	a.suspects.ended(l.fingerprint)
	a.leases.remove(l)
	a.queue.Finish(account, cost)
}

// expireLeases ends leases that nobody renewed: their entry is gone or cut
// off. What may still run at the target shows in the target's own reports.
func (a *Allocator) expireLeases(now time.Duration) {
	for l := a.leases.first; l != nil && l.expires <= now; l = a.leases.first {
		a.end(now, l, false)
	}
}

// DropHolder ends the leases of an entry process that is known to be gone, and
// takes its waiting asks out.
func (a *Allocator) DropHolder(now time.Duration, holder Holder) {
	for key, r := range a.waiting {
		if key.holder == holder {
			a.forget(r)
		}
	}
	for _, l := range a.leases.byID {
		if l.holder == holder {
			a.end(now, l, false)
		}
	}
}
