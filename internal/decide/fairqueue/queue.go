// Package fairqueue implements weighted fair queueing of the requests of client
// accounts to a pool when the lengths of the requests are unknown.
//
// It protects the other accounts from a burst or a hot account. In first-come,
// first-served order an account that sends ten times as much gets ten times the
// service, and all others wait behind its backlog. Round robin over requests
// favours accounts with long outputs.
//
// Each account carries a virtual token counter (Sheng et al., "Fairness in
// Serving Large Language Models", OSDI 2024): the service that it received,
// divided by its weight. The prompt is charged at admission and the output as
// it is produced, so that no length has to be known in advance. The account
// with the lowest counter is served first.
//
// The implementation differs from the published scheme in two points. First,
// the scheduling key adds a fixed number of tokens for each running request.
// The counters are the integral of the running shares, and controlling a share
// by its integral alone oscillates: an account that is behind gets every free
// slot until it has caught up, and then holds far too many slots for as long as
// its long outputs last. The term for running requests damps the oscillation,
// as a derivative term does. Second, an account that was idle starts from the
// virtual time of the last selection, so that idle time earns no credit; a debt
// is kept.
package fairqueue

import "time"

const (
	// DefaultLookAheadTokens is added to an account's scheduling key for each
	// running request: what a generation is charged in about five seconds at 25
	// tokens per second. A fairness window of 30 seconds holds several such
	// periods; docs/measurements has the measurement of the oscillation.
	DefaultLookAheadTokens = 256
	// meanCostDecay is the weight of the old mean cost at each finished
	// request.
	meanCostDecay = 0.97
	// idleChecksPerPush is the number of idle accounts examined for eviction
	// whenever a request arrives, so that eviction costs constant time per
	// request.
	idleChecksPerPush = 4
	// debtRetention is how long the debt of an idle account is kept after its
	// last request: two of the 30-second windows over which shares are
	// evaluated.
	debtRetention = time.Minute
)

// Request is a waiting request. The queue owns it until Start or Remove takes
// it out; Recycle then lets the queue reuse its memory.
type Request[T any] struct {
	Value    T
	Account  *Account[T]
	Arrived  time.Duration
	Deadline time.Duration
	// DeferredInPass is set by the caller: the scheduling pass in which it last
	// deferred the request.
	DeferredInPass uint64
	// Quarantined is set by the caller: the request is counted as quarantined.
	Quarantined bool

	previous, next *Request[T]
	deadlineIndex  int
}

// Queue is a bounded fair queue. It is not safe for concurrent use.
type Queue[T any] struct {
	limit     int
	lookAhead float64
	accounts  map[string]*Account[T]
	// ready holds the accounts that have waiting requests and are below their
	// limits.
	ready heap[readyElement[T]]
	// byLength holds the accounts that have waiting requests, the longest
	// first.
	byLength     heap[lengthElement[T]]
	deadlines    heap[*Request[T]]
	idleAccounts []*Account[T]
	idleCursor   int
	freeList     []*Request[T]
	// atCapacity is set while requests wait because the pool has no free
	// capacity.
	atCapacity bool
	// virtualTime is the counter of the last account selected.
	virtualTime float64
	// backloggedWeight is the sum of the weights of accounts with waiting
	// requests.
	backloggedWeight float64
}

// New returns an empty queue that holds at most limit requests. lookAhead is in
// charged tokens for each running request.
func New[T any](limit int, lookAhead float64) *Queue[T] {
	q := &Queue[T]{limit: limit, lookAhead: lookAhead, accounts: map[string]*Account[T]{}}
	q.ready.less = func(a, b readyElement[T]) bool { return a.schedulingKey(lookAhead) < b.schedulingKey(lookAhead) }
	q.byLength.less = func(a, b lengthElement[T]) bool { return a.normalizedLength() > b.normalizedLength() }
	q.deadlines.less = func(a, b *Request[T]) bool { return a.Deadline < b.Deadline }
	return q
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.deadlines.len() }

// AccountCount returns the number of accounts that the queue keeps.
func (q *Queue[T]) AccountCount() int { return len(q.accounts) }

// BackloggedWeight returns the sum of the weights of accounts with waiting
// requests.
func (q *Queue[T]) BackloggedWeight() float64 { return q.backloggedWeight }

// UpsertAccount returns the account's state, which it creates if necessary.
// Weight and limit apply from now on; a weight that is not positive counts as
// 1.
func (q *Queue[T]) UpsertAccount(name string, weight float64, limit int) *Account[T] {
	a, ok := q.accounts[name]
	if !ok {
		a = &Account[T]{Name: name, weight: 1, readyIndex: -1, lengthIndex: -1, normalizedService: q.virtualTime}
		q.accounts[name] = a
		q.trackIdle(a)
	}
	if weight <= 0 {
		weight = 1
	}
	if a.weight != weight || a.limit != limit {
		q.setWeightAndLimit(a, weight, limit)
	}
	return a
}

// Lookup returns the account's state, or nil if the queue has none.
func (q *Queue[T]) Lookup(name string) *Account[T] { return q.accounts[name] }

func (q *Queue[T]) setWeightAndLimit(a *Account[T], weight float64, limit int) {
	if a.waiting > 0 {
		q.backloggedWeight += weight - a.weight
	}
	a.weight, a.limit = weight, limit
	q.byLength.fix(lengthElement[T]{a})
	q.updateReady(a)
}

// OverflowVictim returns the request that a full queue drops to accept one more
// request of a: the newest request of the account with the most waiting
// requests for its weight, or nil when that account is a itself. full is false
// while the queue has space. Dropping from the longest backlog affects small
// accounts least.
func (q *Queue[T]) OverflowVictim(a *Account[T]) (victim *Request[T], full bool) {
	if q.Len() < q.limit {
		return nil, false
	}
	longest, ok := q.byLength.peek()
	if !ok || float64(a.waiting+1)/a.weight >= longest.normalizedLength() {
		return nil, true
	}
	return longest.last, true
}

// Push queues a request.
func (q *Queue[T]) Push(a *Account[T], now, deadline time.Duration, value T) *Request[T] {
	a.drainRate.Update(now, q.atCapacity && a.waiting > 0)
	r := q.newRequest()
	*r = Request[T]{Value: value, Account: a, Arrived: now, Deadline: deadline}
	q.deadlines.push(r)
	if a.waiting == 0 {
		q.backloggedWeight += a.weight
		a.normalizedService = max(a.normalizedService, q.virtualTime)
	}
	a.append(r)
	a.pushedAt = now
	if a.lengthIndex < 0 {
		q.byLength.push(lengthElement[T]{a})
	} else {
		q.byLength.fix(lengthElement[T]{a})
	}
	q.updateReady(a)
	q.evictIdle(now)
	return r
}

func (q *Queue[T]) newRequest() *Request[T] {
	if n := len(q.freeList); n > 0 {
		r := q.freeList[n-1]
		q.freeList = q.freeList[:n-1]
		return r
	}
	return &Request[T]{}
}

// Head returns the request to serve next, or nil if none may start.
func (q *Queue[T]) Head() *Request[T] {
	a, ok := q.ready.peek()
	if !ok {
		return nil
	}
	return a.first
}

// SetAtCapacity records whether requests wait because the pool has no free
// capacity. Requests that wait because of their own constraints are no evidence
// of how fast the pool can serve.
func (q *Queue[T]) SetAtCapacity(atCapacity bool) { q.atCapacity = atCapacity }

// AtCapacity reports whether requests wait because the pool has no free
// capacity.
func (q *Queue[T]) AtCapacity() bool { return q.atCapacity }

// Skip excludes an account from selection until Unskip, because none of its
// requests can use the free capacity.
func (q *Queue[T]) Skip(a *Account[T]) {
	a.skipped = true
	q.updateReady(a)
}

// Unskip reverses Skip.
func (q *Queue[T]) Unskip(a *Account[T]) {
	a.skipped = false
	q.updateReady(a)
}

// Defer moves a waiting request behind the others of its account, because they
// may be able to use free capacity that it cannot use.
func (q *Queue[T]) Defer(r *Request[T]) {
	r.Account.unlink(r)
	r.Account.append(r)
}

// Start takes a waiting request out of the queue to run it, and charges its
// cost in tokens.
func (q *Queue[T]) Start(r *Request[T], cost float64) {
	q.virtualTime = max(q.virtualTime, r.Account.normalizedService)
	q.Remove(r)
	q.AddRunning(r.Account, cost)
}

// AddRunning counts a request as running that never waited in this queue.
func (q *Queue[T]) AddRunning(a *Account[T], cost float64) {
	a.running++
	q.Charge(a, cost)
}

// Remove takes a waiting request out of the queue. The caller passes it to
// Recycle once it has read it.
func (q *Queue[T]) Remove(r *Request[T]) {
	a := r.Account
	q.deadlines.remove(r)
	a.unlink(r)
	if a.waiting == 0 {
		q.backloggedWeight -= a.weight
		q.byLength.remove(lengthElement[T]{a})
	} else {
		q.byLength.fix(lengthElement[T]{a})
	}
	if q.byLength.len() == 0 {
		q.backloggedWeight = 0
	}
	q.updateReady(a)
	q.trackIdle(a)
}

// Recycle returns the memory of a removed request to the queue.
func (q *Queue[T]) Recycle(r *Request[T]) {
	*r = Request[T]{deadlineIndex: -1}
	q.freeList = append(q.freeList, r)
}

// Charge adds service in tokens to an account.
func (q *Queue[T]) Charge(a *Account[T], tokens float64) {
	a.normalizedService += tokens / a.weight
	a.drainRate.Add(tokens)
	q.updateReady(a)
}

// Finish counts a running request of the account as ended. cost is its total
// charge in tokens and updates the account's mean; 0 leaves the mean unchanged.
func (q *Queue[T]) Finish(a *Account[T], cost float64) {
	a.running--
	switch {
	case cost <= 0:
	case a.meanCost == 0:
		a.meanCost = cost
	default:
		a.meanCost = meanCostDecay*a.meanCost + (1-meanCostDecay)*cost
	}
	q.updateReady(a)
	q.trackIdle(a)
}

// Expired returns a request whose deadline has passed, or nil.
func (q *Queue[T]) Expired(now time.Duration) *Request[T] {
	if r, ok := q.deadlines.peek(); ok && r.Deadline <= now {
		return r
	}
	return nil
}

// NewestAt returns the newest request of the n-th account with waiting
// requests, modulo their number and in no particular order, for checks that
// iterate over all accounts.
func (q *Queue[T]) NewestAt(n int) *Request[T] {
	if q.byLength.len() == 0 {
		return nil
	}
	return q.byLength.items[n%q.byLength.len()].last
}

// WaitingAccounts returns the number of accounts with waiting requests.
func (q *Queue[T]) WaitingAccounts() int { return q.byLength.len() }

// updateReady adds the account to the ready heap, removes it or restores its
// position, according to its current state.
func (q *Queue[T]) updateReady(a *Account[T]) {
	element := readyElement[T]{a}
	switch eligible := a.waiting > 0 && !a.AtLimit() && !a.skipped; {
	case eligible && a.readyIndex < 0:
		q.forfeitCredit(a)
		q.ready.push(element)
	case eligible:
		q.ready.fix(element)
	case a.readyIndex >= 0:
		q.ready.remove(element)
	}
}

// forfeitCredit removes the credit that an account accumulated while its own
// limit held it back, so that raising the limit does not give it the pool for
// as long as it was held back.
func (q *Queue[T]) forfeitCredit(a *Account[T]) {
	if a.limit != 0 {
		a.normalizedService = max(a.normalizedService, q.virtualTime)
	}
}

func (q *Queue[T]) trackIdle(a *Account[T]) {
	if a.waiting == 0 && a.running == 0 && !a.idle {
		a.idle = true
		q.idleAccounts = append(q.idleAccounts, a)
	}
}

// evictIdle examines the next few accounts of the idle list, cyclically, and
// drops those without debt. An account with debt is kept for a while, because
// it could otherwise clear its debt by pausing for a moment.
func (q *Queue[T]) evictIdle(now time.Duration) {
	for range min(idleChecksPerPush, len(q.idleAccounts)) {
		if q.idleCursor++; q.idleCursor >= len(q.idleAccounts) {
			q.idleCursor = 0
		}
		i := q.idleCursor
		a := q.idleAccounts[i]
		busy := a.waiting > 0 || a.running > 0
		if !busy && q.hasDebt(a, now) {
			continue
		}
		a.idle = false
		last := len(q.idleAccounts) - 1
		q.idleAccounts[i] = q.idleAccounts[last]
		q.idleAccounts = q.idleAccounts[:last]
		if !busy {
			delete(q.accounts, a.Name)
		}
	}
}

// hasDebt reports whether an idle account's debt must still be kept.
func (q *Queue[T]) hasDebt(a *Account[T], now time.Duration) bool {
	return a.normalizedService > q.virtualTime && now-a.pushedAt <= debtRetention
}
