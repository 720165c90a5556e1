package admission

import (
	"time"

	"filbertdeck/internal/decide/fairqueue"
	"filbertdeck/internal/decide/memoryforecast"
)

const (
	// maxPredictedWaitShare is the part of a request's maximum wait that its
	// predicted wait may take. The rest is for the error of the prediction: a
	// request that is refused at once can be sent elsewhere, while one that
	// waits in vain has lost its time.
	maxPredictedWaitShare = 0.5
	// queuedWaitMargin is the ratio by which the predicted wait of a queued
	// request may exceed its remaining time, so that fluctuations of the
	// estimate do not refuse requests that have already waited.
	queuedWaitMargin = 1.5
	// minRetryAfter and maxRetryAfter bound the retry delay. Below the minimum
	// a refused client costs more than a served one; beyond the maximum the
	// estimate is meaningless.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
	// retryJitter is the fraction by which retry delays vary at random, so that
	// clients that were refused together do not retry together.
	retryJitter = 0.25
	// noTargetRetryAfter is one round of target discovery and polling.
	noTargetRetryAfter = time.Second
	// assumedWaitPerRequest is the wait assumed for each queued request while
	// the drain rate is unknown.
	assumedWaitPerRequest = 10 * time.Millisecond
	// leaseMeanDecay is the weight of the old means of service time and charge
	// at each settlement.
	leaseMeanDecay = 0.95
)

// Ask queues a request for admission; Decide returns its decision. A request
// that is already waiting is not queued twice. A request that is predicted to
// miss its maximum wait is refused at once, with a retry delay.
func (a *Allocator) Ask(now time.Duration, ask Ask) {
	if ask.AdoptTarget != "" {
		a.adopt(now, ask)
		return
	}
	key := askKey{ask.Holder, ask.RequestID}
	if _, queued := a.waiting[key]; queued {
		return
	}
	if reason, retry := a.immediateRefusal(now, &ask); reason != 0 {
		a.refuse(&ask, reason, retry)
		return
	}
	account := a.upsertAccount(ask.Account)
	wait := a.predictWait(account, account.Waiting())
	if allowed := maxPredictedWait(ask.MaxWait); wait > allowed {
		a.refuse(&ask, overloadReason(account, RefusedDeadline), a.retryAfter(wait-allowed))
		return
	}
	if !a.ensureQueueSpace(account, &ask) {
		return
	}
	a.waiting[key] = a.queue.Push(account, now, now+ask.MaxWait, ask)
}

// immediateRefusal returns the reason why the ask cannot be queued at all;
// reason is 0 if it can.
func (a *Allocator) immediateRefusal(now time.Duration, ask *Ask) (reason RefusalReason, retry time.Duration) {
	if a.stopping {
		return RefusedStopping, minRetryAfter
	}
	if a.usableTargets == 0 {
		return RefusedNoTarget, noTargetRetryAfter
	}
	if restriction := a.poison.restrictionFor(now, ask.Fingerprint); restriction.rejected {
		return RefusedPoison, restriction.wait
	}
	if a.tooLarge(ask) {
		return RefusedTooLarge, 0
	}
	return 0, 0
}

// tooLarge reports whether the prompt fits no target, even an empty one.
func (a *Allocator) tooLarge(ask *Ask) bool {
	for _, t := range a.targetOrder {
		m := t.report.KVCapacityTokens
		if m == 0 || float64(ask.PromptTokens+1) <= a.cfg.Memory.Watermark*float64(m) {
			return false
		}
	}
	return true
}

// ensureQueueSpace makes space in a full queue by refusing a request of the
// account with the most waiting requests for its weight. It refuses the ask and
// returns false when that is the asking account itself.
func (a *Allocator) ensureQueueSpace(account *fairqueue.Account[Ask], ask *Ask) bool {
	victim, full := a.queue.OverflowVictim(account)
	if !full {
		return true
	}
	if victim == nil {
		a.refuse(ask, overloadReason(account, RefusedOverloaded), a.retryAfter(a.predictWait(account, account.Waiting())))
		return false
	}
	victimAccount := victim.Account
	a.refuseWaiting(victim, overloadReason(victimAccount, RefusedOverloaded), a.retryAfter(a.predictWait(victimAccount, victimAccount.Waiting())))
	return true
}

func overloadReason(account *fairqueue.Account[Ask], reason RefusalReason) RefusalReason {
	if account.AtLimit() {
		return RefusedAccountLimit
	}
	return reason
}

func maxPredictedWait(maxWait time.Duration) time.Duration {
	return time.Duration(maxPredictedWaitShare * float64(maxWait))
}

// predictWait estimates the wait of an account's request that has ahead
// requests of the same account before it, from the account's share of the
// pool's measured service rate and from its own limit.
func (a *Allocator) predictWait(account *fairqueue.Account[Ask], ahead int) time.Duration {
	wait := time.Duration(0)
	if a.queue.AtCapacity() {
		wait = a.queue.EstimateWait(&a.drainRate, account, ahead, a.typicalCharge())
	}
	if account.AtLimit() {
		byLimit := a.leases.meanServiceTime * time.Duration(ahead+1) / time.Duration(account.Limit())
		wait = max(wait, byLimit)
	}
	return wait
}

// typicalCharge is the charge assumed for an account without finished requests.
func (a *Allocator) typicalCharge() float64 {
	if a.leases.meanCharge > 0 {
		return a.leases.meanCharge
	}
	return OutputTokenCharge * float64(a.outputLengths.all.Median())
}

// retryAfter limits a retry delay to its bounds and adds jitter.
func (a *Allocator) retryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	jitter := 1 + retryJitter*a.random.Float64()
	return time.Duration(jitter * float64(wait))
}

// Withdraw removes a waiting request without a decision.
func (a *Allocator) Withdraw(_ time.Duration, holder Holder, request uint64) {
	if r, ok := a.waiting[askKey{holder, request}]; ok {
		a.dropWaiting(r)
	}
}

// dropWaiting removes a waiting request from the queue without a decision.
func (a *Allocator) dropWaiting(r *fairqueue.Request[Ask]) {
	delete(a.waiting, askKey{r.Value.Holder, r.Value.RequestID})
	a.poison.releaseReservation(r)
	a.releaseQuarantine(r)
	a.queue.Remove(r)
	a.queue.Recycle(r)
}

// refuseExpired refuses the requests whose maximum wait has passed.
func (a *Allocator) refuseExpired(now time.Duration) {
	for r := a.queue.Expired(now); r != nil; r = a.queue.Expired(now) {
		retry := a.retryAfter(a.predictWait(r.Account, r.Account.Waiting()))
		a.refuseWaiting(r, overloadReason(r.Account, RefusedDeadline), retry)
	}
}

// refusePredictedLate refuses waiting requests that can no longer be served in
// time, because the pool has become slower since they were queued (a target
// crashed or an engine slowed down). Otherwise they would be refused only at
// their deadlines.
func (a *Allocator) refusePredictedLate(now time.Duration) {
	if a.stopping || a.usableTargets == 0 {
		a.refuseAll()
		return
	}
	for range min(deadlineChecksPerRefresh, a.queue.WaitingAccounts()) {
		a.deadlineCheckIndex++
		r := a.queue.NewestAt(a.deadlineCheckIndex)
		for r != nil && a.predictedLate(now, r) {
			account := r.Account
			wait := a.predictWait(account, account.Waiting())
			a.refuseWaiting(r, overloadReason(account, RefusedDeadline), a.retryAfter(wait))
			r = account.Newest()
		}
	}
}

// predictedLate reports whether the newest request of an account is predicted
// to be still waiting at its deadline.
func (a *Allocator) predictedLate(now time.Duration, r *fairqueue.Request[Ask]) bool {
	ahead := r.Account.Waiting() - 1
	remaining := time.Duration(queuedWaitMargin * float64(r.Deadline-now))
	return ahead > 0 && a.predictWait(r.Account, ahead-1) > remaining
}

func (a *Allocator) refuseAll() {
	reason, retry := RefusedNoTarget, noTargetRetryAfter
	if a.stopping {
		reason, retry = RefusedStopping, minRetryAfter
	}
	for r := a.queue.NewestAt(0); r != nil; r = a.queue.NewestAt(0) {
		a.refuseWaiting(r, reason, retry)
	}
}

func (a *Allocator) refuseWaiting(r *fairqueue.Request[Ask], reason RefusalReason, retry time.Duration) {
	a.refuse(&r.Value, reason, retry)
	a.dropWaiting(r)
}

func (a *Allocator) refuse(ask *Ask, reason RefusalReason, retry time.Duration) {
	a.pendingDecisions = append(a.pendingDecisions, Decision{
		Holder: ask.Holder, RequestID: ask.RequestID, Reason: reason, RetryAfter: retry,
	})
}

// adopt registers a generation that already runs, for the entry that takes it
// over. It does not queue: a refusal would change nothing at the target.
func (a *Allocator) adopt(now time.Duration, ask Ask) {
	t := a.targets[ask.AdoptTarget]
	if t == nil {
		a.refuse(&ask, RefusedNoTarget, 0)
		return
	}
	l := a.leases.create()
	l.fingerprint, l.service = ask.Fingerprint, ask.Service
	account := a.upsertAccount(ask.Account)
	a.queue.AddRunning(account, 0)
	gen := memoryforecast.Generation{Prompt: ask.PromptTokens, Produced: ask.AdoptTokens, Max: ask.MaxTokens}
	a.addLease(now, l, ask.Holder, account, t, gen)
	a.grant(l, ask.RequestID, ask.AdoptTokens)
}

// EstimatedWait estimates the wait of a new request.
func (a *Allocator) EstimatedWait() time.Duration {
	n := a.queue.Len()
	if n == 0 {
		return 0
	}
	rate, known := a.drainRate.Rate()
	if !known {
		return time.Duration(n) * assumedWaitPerRequest
	}
	return time.Duration(float64(n) * a.typicalCharge() / rate * float64(time.Second))
}
