package admission

import (
	"time"

	"filbertdeck/internal/decide/fairqueue"
	"filbertdeck/internal/decide/memoryforecast"
)

const (
	// hopelessShare is the part of the time a request may wait that its
	// predicted wait may take. The rest is for the error of the prediction: a
	// request that is turned away at once can go elsewhere, one that waits in
	// vain has lost its time.
	hopelessShare = 0.5
	// hopelessMargin is how far the predicted wait of a queued request may go
	// beyond the time it has left. A swing of the estimate must not turn away
	// what has waited already.
	hopelessMargin = 1.5
	// retryFloor and retryCeiling bound the time to come back. Below the floor
	// a refused client costs more than a served one; beyond the ceiling the
	// estimate is worth nothing.
	retryFloor   = 100 * time.Millisecond
	retryCeiling = time.Minute
	// retrySpread is the part by which times to come back differ at random, so
	// that clients refused together don't return together.
	retrySpread = 0.25
	// noTargetRetry is one round of target discovery and polling.
	noTargetRetry = time.Second
	// nominalWait is the wait assumed for one queued request while no rate is
	// known yet.
	nominalWait = 10 * time.Millisecond
	// residenceMemory is the part of the old mean time in service kept at each
	// settlement.
	residenceMemory = 0.95
)

// Ask queues a request for admission; its decision comes from Decide. A
// request that waits already is not queued twice. A request that can't make
// it in the time it may wait is refused at once, with the time to come back.
func (a *Allocator) Ask(now time.Duration, ask Ask) {
	if ask.AdoptTarget != "" {
		a.adopt(now, ask)
		return
	}
	key := askKey{ask.Holder, ask.Request}
	if _, queued := a.waiting[key]; queued {
		return
	}
	if reason, retry := a.inadmissible(now, &ask); reason != 0 {
		a.refuse(&ask, reason, retry)
		return
	}
	account := a.account(ask.Account)
	wait := a.predict(account, account.Waiting())
	if allowed := hopeful(ask.MaxWait); wait > allowed {
		a.refuse(&ask, overloadReason(account, RefusedDeadline), a.comeBack(wait-allowed))
		return
	}
	if !a.makeRoom(account, &ask) {
		return
	}
	a.waiting[key] = a.queue.Push(account, now, now+ask.MaxWait, ask)
}

// inadmissible tells why the ask can't be queued at all; reason 0 means that
// it can.
func (a *Allocator) inadmissible(now time.Duration, ask *Ask) (reason RefusalReason, retry time.Duration) {
	if a.stopping {
		return RefusedStopping, retryFloor
	}
	if a.usable == 0 {
		return RefusedNoTarget, noTargetRetry
	}
	if ruling := a.suspects.rule(now, ask.Fingerprint); ruling.guilty {
		return RefusedPoison, ruling.wait
	}
	if a.tooLarge(ask) {
		return RefusedTooLarge, 0
	}
	return 0, 0
}

// tooLarge tells whether the prompt fits no target, even an empty one.
func (a *Allocator) tooLarge(ask *Ask) bool {
	for _, t := range a.order {
		m := t.report.MemoryTokens
		if m == 0 || float64(ask.PromptTokens+1) <= a.cfg.Memory.Watermark*float64(m) {
			return false
		}
	}
	return true
}

// makeRoom turns away whoever takes most of a full queue for its weight; false
// when that is the asking account itself.
func (a *Allocator) makeRoom(account *fairqueue.Account[Ask], ask *Ask) bool {
	victim, full := a.queue.Crowded(account)
	if !full {
		return true
	}
	if victim == nil {
		a.refuse(ask, overloadReason(account, RefusedOverloaded), a.comeBack(a.predict(account, account.Waiting())))
		return false
	}
	owner := victim.Account
	a.refuseWaiting(victim, overloadReason(owner, RefusedOverloaded), a.comeBack(a.predict(owner, owner.Waiting())))
	return true
}

func overloadReason(account *fairqueue.Account[Ask], reason RefusalReason) RefusalReason {
	if account.Limited() {
		return RefusedAccountLimit
	}
	return reason
}

func hopeful(maxWait time.Duration) time.Duration {
	return time.Duration(hopelessShare * float64(maxWait))
}

// predict estimates the wait of an account's request that has ahead requests
// of the same account before it: by the account's share of the pool's measured
// service, and by its own limit.
func (a *Allocator) predict(account *fairqueue.Account[Ask], ahead int) time.Duration {
	wait := time.Duration(0)
	if a.queue.Blocked() {
		wait = a.queue.Wait(&a.drain, account, ahead, a.typicalCharge())
	}
	if account.Limited() {
		byLimit := a.leases.residence * time.Duration(ahead+1) / time.Duration(account.Limit())
		wait = max(wait, byLimit)
	}
	return wait
}

// typicalCharge is assumed for an account that has finished nothing yet.
func (a *Allocator) typicalCharge() float64 {
	if a.leases.meanCharge > 0 {
		return a.leases.meanCharge
	}
	return OutputCharge * float64(a.outputs.all.Median())
}

// comeBack spreads a time to come back and keeps it in bounds.
func (a *Allocator) comeBack(after time.Duration) time.Duration {
	after = min(max(after, retryFloor), retryCeiling)
	spread := 1 + retrySpread*a.random.Float64()
	return time.Duration(spread * float64(after))
}

// Withdraw takes a waiting request back.
func (a *Allocator) Withdraw(_ time.Duration, holder Holder, request uint64) {
	if r, ok := a.waiting[askKey{holder, request}]; ok {
		a.forget(r)
	}
}

// forget takes a waiting request out of the queue without a decision.
func (a *Allocator) forget(r *fairqueue.Request[Ask]) {
	delete(a.waiting, askKey{r.Value.Holder, r.Value.Request})
	a.suspects.release(r)
	a.unhold(r)
	a.queue.Remove(r)
	a.queue.Release(r)
}

// refuseOverdue answers requests whose time to wait is over.
func (a *Allocator) refuseOverdue(now time.Duration) {
	for r := a.queue.Expired(now); r != nil; r = a.queue.Expired(now) {
		retry := a.comeBack(a.predict(r.Account, r.Account.Waiting()))
		a.refuseWaiting(r, overloadReason(r.Account, RefusedDeadline), retry)
	}
}

// refuseHopeless answers requests that can no longer make it, because the pool
// has become slower since they were queued (a target died, an engine fell
// back). Left alone they would learn it only when their time is over.
func (a *Allocator) refuseHopeless(now time.Duration) {
	if a.stopping || a.usable == 0 {
		a.refuseAll()
		return
	}
	for range min(hopelessChecks, a.queue.Waiters()) {
		a.round++
		r := a.queue.Nth(a.round)
		for r != nil && a.hopeless(now, r) {
			account := r.Account
			wait := a.predict(account, account.Waiting())
			a.refuseWaiting(r, overloadReason(account, RefusedDeadline), a.comeBack(wait))
			r = account.Newest()
		}
	}
}

// hopeless tells whether the newest request of an account would still wait
// when all its time is over.
func (a *Allocator) hopeless(now time.Duration, r *fairqueue.Request[Ask]) bool {
	ahead := r.Account.Waiting() - 1
	left := time.Duration(hopelessMargin * float64(r.Deadline-now))
	return ahead > 0 && a.predict(r.Account, ahead-1) > left
}

func (a *Allocator) refuseAll() {
	reason, retry := RefusedNoTarget, noTargetRetry
	if a.stopping {
		reason, retry = RefusedStopping, retryFloor
	}
	for r := a.queue.Nth(0); r != nil; r = a.queue.Nth(0) {
		a.refuseWaiting(r, reason, retry)
	}
}

func (a *Allocator) refuseWaiting(r *fairqueue.Request[Ask], reason RefusalReason, retry time.Duration) {
	a.refuse(&r.Value, reason, retry)
	a.forget(r)
}

func (a *Allocator) refuse(ask *Ask, reason RefusalReason, retry time.Duration) {
	a.out = append(a.out, Decision{
		Holder: ask.Holder, Request: ask.Request, Reason: reason, RetryAfter: retry,
	})
}

// adopt books a generation that runs already, for the entry that takes it
// over. It doesn't queue: refusing would change nothing at the target.
func (a *Allocator) adopt(now time.Duration, ask Ask) {
	t := a.targets[ask.AdoptTarget]
	if t == nil {
		a.refuse(&ask, RefusedNoTarget, 0)
		return
	}
	l := a.leases.draw()
	l.fingerprint, l.service = ask.Fingerprint, ask.Service
	account := a.account(ask.Account)
	a.queue.Resume(account, 0)
	gen := memoryforecast.Generation{Prompt: ask.PromptTokens, Produced: ask.AdoptTokens, Max: ask.MaxTokens}
	a.book(now, l, ask.Holder, account, t, gen)
	a.grant(l, ask.Request, ask.AdoptTokens)
}

// EstimatedWait estimates the wait of a request that would ask now.
func (a *Allocator) EstimatedWait() time.Duration {
	n := a.queue.Len()
	if n == 0 {
		return 0
	}
	rate, known := a.drain.Rate()
	if !known {
		return time.Duration(n) * nominalWait
	}
	return time.Duration(float64(n) * a.typicalCharge() / rate * float64(time.Second))
}
