// Package fairqueue shares a pool among client accounts by weight when the
// lengths of their requests are unknown.
//
// Load pattern: a burst or a hot account. With first come, first served an
// account that sends ten times as much gets ten times the service, and
// everyone else waits behind its backlog. Round robin over requests favours
// accounts with long outputs.
//
// Each account carries a virtual token counter (Sheng et al., "Fairness in
// Serving Large Language Models", OSDI 2024): the service that it got, over
// its weight. The prompt is charged at admission and output as it is produced,
// so that nobody needs to know a length ahead. The account with the least
// counter goes first.
//
// Two things are added to the published scheme. First, the key looks ahead: it
// adds a fixed number of tokens for each running request. The counters are the
// integral of the running shares, and steering a share by its integral alone
// swings: an account that is behind gets every free place until it has caught
// up, and then holds far too many places for as long as its long outputs last.
// The term for running requests damps that, as a derivative does. Second, an
// account that was idle starts from the virtual time of the last pick, so that
// idleness earns no credit; it owes what it owed.
package fairqueue

import "time"

const (
	// DefaultLookAhead is in charged tokens for each running request: what a
	// generation is charged in about five seconds at 25 tokens a second. A
	// window of 30 seconds holds several such times; the measurement of the
	// swing is in docs/measurements.
	DefaultLookAhead = 256
	// costMemory is the part of the old mean kept at each finished request.
	costMemory = 0.97
	// sweepPerPush idle accounts are looked at whenever a request arrives, so
	// that forgetting accounts costs a constant each time.
	sweepPerPush = 4
	// debtLife is how long after its last request an idle account's debt is
	// remembered: two of the windows of 30 seconds over which shares are judged.
	debtLife = time.Minute
)

// Request is a waiting request. It belongs to the queue until Take or Remove
// hands it back; then Release lets the queue use its memory again.
type Request[T any] struct {
	Value    T
	Account  *Account[T]
	Arrived  time.Duration
	Deadline time.Duration
	// Turn is the caller's: the turn in which it deferred the request last.
	Turn uint64

	previous, next *Request[T]
	deadlineAt     int
}

// Queue is a bounded fair queue. It is not safe for concurrent use.
type Queue[T any] struct {
	limit     int
	lookAhead float64
	accounts  map[string]*Account[T]
	// ready holds accounts that have something waiting and may run more.
	ready heap[readyPlace[T]]
	// longest holds accounts that have something waiting, the longest first.
	longest   heap[lengthPlace[T]]
	deadlines heap[*Request[T]]
	idle      []*Account[T]
	sweep     int
	free      []*Request[T]
	// blocked is set while requests wait for want of room.
	blocked bool
	// virtual is the counter of the last account picked.
	virtual float64
	// backlogged is the sum of the weights of accounts with waiting requests.
	backlogged float64
}

// New returns an empty queue that holds at most limit requests.
func New[T any](limit int, lookAhead float64) *Queue[T] {
	q := &Queue[T]{limit: limit, lookAhead: lookAhead, accounts: map[string]*Account[T]{}}
	q.ready.less = func(a, b readyPlace[T]) bool { return a.key(lookAhead) < b.key(lookAhead) }
	q.longest.less = func(a, b lengthPlace[T]) bool { return a.length() > b.length() }
	q.deadlines.less = func(a, b *Request[T]) bool { return a.Deadline < b.Deadline }
	return q
}

// Len is the number of waiting requests.
func (q *Queue[T]) Len() int { return q.deadlines.len() }

// Accounts is the number of accounts that the queue knows.
func (q *Queue[T]) Accounts() int { return len(q.accounts) }

// Backlogged is the sum of the weights of accounts that wait.
func (q *Queue[T]) Backlogged() float64 { return q.backlogged }

// Account returns the account's place, made when needed. Weight and limit
// apply from now on; a weight that isn't positive counts as 1.
func (q *Queue[T]) Account(name string, weight float64, limit int) *Account[T] {
	a, ok := q.accounts[name]
	if !ok {
		a = &Account[T]{Name: name, weight: 1, readyAt: -1, lengthAt: -1, served: q.virtual}
		q.accounts[name] = a
		q.noteIdle(a)
	}
	if weight <= 0 {
		weight = 1
	}
	if a.weight != weight || a.limit != limit {
		q.reweigh(a, weight, limit)
	}
	return a
}

// Known returns the account's place, nil when the queue has none.
func (q *Queue[T]) Known(name string) *Account[T] { return q.accounts[name] }

func (q *Queue[T]) reweigh(a *Account[T], weight float64, limit int) {
	if a.waiting > 0 {
		q.backlogged += weight - a.weight
	}
	a.weight, a.limit = weight, limit
	q.longest.fix(lengthPlace[T]{a})
	q.place(a)
}

// Crowded tells whom a full queue would turn away for one more request of a:
// the newest request of the account that takes most of the queue for its
// weight, or nil when a itself is that account. While the queue is not full,
// full is false. Dropping from the longest loses small accounts least.
func (q *Queue[T]) Crowded(a *Account[T]) (victim *Request[T], full bool) {
	if q.Len() < q.limit {
		return nil, false
	}
	longest, ok := q.longest.first()
	if !ok || float64(a.waiting+1)/a.weight >= longest.length() {
		return nil, true
	}
	return longest.last, true
}

// Push queues a request.
func (q *Queue[T]) Push(a *Account[T], now, deadline time.Duration, value T) *Request[T] {
	a.drain.Tick(now, q.blocked && a.waiting > 0)
	r := q.take()
	*r = Request[T]{Value: value, Account: a, Arrived: now, Deadline: deadline}
	q.deadlines.push(r)
	if a.waiting == 0 {
		q.backlogged += a.weight
		a.served = max(a.served, q.virtual)
	}
	a.append(r)
	a.pushedAt = now
	if a.lengthAt < 0 {
		q.longest.push(lengthPlace[T]{a})
	} else {
		q.longest.fix(lengthPlace[T]{a})
	}
	q.place(a)
	q.forgetIdle(now)
	return r
}

func (q *Queue[T]) take() *Request[T] {
	if n := len(q.free); n > 0 {
		r := q.free[n-1]
		q.free = q.free[:n-1]
		return r
	}
	return &Request[T]{}
}

// Head returns the request that goes next, nil when none may.
func (q *Queue[T]) Head() *Request[T] {
	a, ok := q.ready.first()
	if !ok {
		return nil
	}
	return a.first
}

// SetBlocked says whether requests wait for want of room. Those that wait for
// reasons of their own say nothing of how fast the pool can serve.
func (q *Queue[T]) SetBlocked(blocked bool) { q.blocked = blocked }

// Blocked tells whether requests wait for want of room.
func (q *Queue[T]) Blocked() bool { return q.blocked }

// Skip keeps an account from being picked until Unskip, because nothing of it
// can use what is free at present.
func (q *Queue[T]) Skip(a *Account[T]) {
	a.skipped = true
	q.place(a)
}

// Unskip undoes Skip.
func (q *Queue[T]) Unskip(a *Account[T]) {
	a.skipped = false
	q.place(a)
}

// Defer puts a waiting request behind the others of its account, because it
// can't use what is free at present and they may.
func (q *Queue[T]) Defer(r *Request[T]) {
	r.Account.unlink(r)
	r.Account.append(r)
}

// Start takes a waiting request out because it runs now, and charges its cost
// in tokens.
func (q *Queue[T]) Start(r *Request[T], cost float64) {
	q.virtual = max(q.virtual, r.Account.served)
	q.Remove(r)
	q.Resume(r.Account, cost)
}

// Resume counts a request as running that never waited here.
func (q *Queue[T]) Resume(a *Account[T], cost float64) {
	a.running++
	q.Charge(a, cost)
}

// Remove takes a waiting request out that will not run. The caller hands it
// back with Release once it has read it.
func (q *Queue[T]) Remove(r *Request[T]) {
	a := r.Account
	q.deadlines.remove(r)
	a.unlink(r)
	if a.waiting == 0 {
		q.backlogged -= a.weight
		q.longest.remove(lengthPlace[T]{a})
	} else {
		q.longest.fix(lengthPlace[T]{a})
	}
	if q.longest.len() == 0 {
		q.backlogged = 0
	}
	q.place(a)
	q.noteIdle(a)
}

// Release gives a removed request's memory back.
func (q *Queue[T]) Release(r *Request[T]) {
	*r = Request[T]{deadlineAt: -1}
	q.free = append(q.free, r)
}

// Charge adds service in tokens to an account.
func (q *Queue[T]) Charge(a *Account[T], tokens float64) {
	a.served += tokens / a.weight
	a.drain.Charge(tokens)
	q.place(a)
}

// Finish counts a running request of the account as ended. Its whole charge,
// in tokens, goes into the account's mean; 0 leaves the mean as it is.
func (q *Queue[T]) Finish(a *Account[T], cost float64) {
	a.running--
	switch {
	case cost <= 0:
	case a.meanCost == 0:
		a.meanCost = cost
	default:
		a.meanCost = costMemory*a.meanCost + (1-costMemory)*cost
	}
	q.place(a)
	q.noteIdle(a)
}

// Expired returns a request whose deadline is over, nil when there is none.
func (q *Queue[T]) Expired(now time.Duration) *Request[T] {
	if r, ok := q.deadlines.first(); ok && r.Deadline <= now {
		return r
	}
	return nil
}

// Nth returns the newest request of the n-th account with waiting requests, in
// no particular order, for checks that go round over all accounts.
func (q *Queue[T]) Nth(n int) *Request[T] {
	if q.longest.len() == 0 {
		return nil
	}
	return q.longest.items[n%q.longest.len()].last
}

// Waiters is the number of accounts with waiting requests.
func (q *Queue[T]) Waiters() int { return q.longest.len() }

// place puts the account where it belongs among those that may be picked.
func (q *Queue[T]) place(a *Account[T]) {
	p := readyPlace[T]{a}
	switch wanted := a.waiting > 0 && !a.Limited() && !a.skipped; {
	case wanted && a.readyAt < 0:
		q.forfeit(a)
		q.ready.push(p)
	case wanted:
		q.ready.fix(p)
	case a.readyAt >= 0:
		q.ready.remove(p)
	}
}

// forfeit takes the credit of an account that its own limit held back, so that
// raising the limit doesn't give it the pool for as long as it was held back.
func (q *Queue[T]) forfeit(a *Account[T]) {
	if a.limit != 0 {
		a.served = max(a.served, q.virtual)
	}
}

func (q *Queue[T]) noteIdle(a *Account[T]) {
	if a.waiting == 0 && a.running == 0 && !a.idle {
		a.idle = true
		q.idle = append(q.idle, a)
	}
}

// forgetIdle looks at the next few of the idle list, round and round, and drops
// accounts that owe nothing. One that owes service is kept for a while: else
// it could shed its debt by pausing for a moment.
func (q *Queue[T]) forgetIdle(now time.Duration) {
	for range min(sweepPerPush, len(q.idle)) {
		if q.sweep++; q.sweep >= len(q.idle) {
			q.sweep = 0
		}
		i := q.sweep
		a := q.idle[i]
		busy := a.waiting > 0 || a.running > 0
		if !busy && q.owes(a, now) {
			continue
		}
		a.idle = false
		last := len(q.idle) - 1
		q.idle[i] = q.idle[last]
		q.idle = q.idle[:last]
		if !busy {
			delete(q.accounts, a.Name)
		}
	}
}

// owes tells whether an idle account's debt must still be remembered.
func (q *Queue[T]) owes(a *Account[T], now time.Duration) bool {
	return a.served > q.virtual && now-a.pushedAt <= debtLife
}
