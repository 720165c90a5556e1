package fairqueue

import "time"

// Account is one client account's place in a queue. Accounts exist only while
// they have requests waiting or running, or owe service; a pool's state grows
// with the accounts that use it and not with the table.
type Account[T any] struct {
	Name   string
	weight float64
	// limit bounds running; 0 means no bound, NoneMayRun that none may start.
	limit   int
	running int
	waiting int
	// served is the virtual time: charged tokens over weight.
	served      float64
	first, last *Request[T]
	// readyAt and lengthAt place the account in the queue's heaps.
	readyAt, lengthAt int
	// idle is set while the account stands in the idle list.
	idle     bool
	pushedAt time.Duration
	// skipped keeps it from being picked for the moment.
	skipped bool
	// drain measures its own service while it is backlogged.
	drain Drain
	// meanCost is the mean charge of its finished requests; 0 when unknown.
	meanCost float64
}

// Weight is the account's weight.
func (a *Account[T]) Weight() float64 { return a.weight }

// Running is the number of its requests that run.
func (a *Account[T]) Running() int { return a.running }

// Waiting is the number of its requests that wait.
func (a *Account[T]) Waiting() int { return a.waiting }

// Served is the service charged so far over the weight, in tokens.
func (a *Account[T]) Served() float64 { return a.served }

// NoneMayRun is the limit of an account that may start nothing at present. Its
// requests keep their places.
const NoneMayRun = -1

// Limit bounds its running requests; 0 means no bound.
func (a *Account[T]) Limit() int { return a.limit }

// Newest is its waiting request that came last, nil when none waits.
func (a *Account[T]) Newest() *Request[T] { return a.last }

// Limited tells whether the account runs as many requests as it may.
func (a *Account[T]) Limited() bool { return a.limit != 0 && a.running >= a.limit }

// key orders the accounts that could be picked; the least goes first.
func (a *Account[T]) key(ahead float64) float64 {
	return a.served + ahead*float64(a.running)/a.weight
}

// length is the part of the queue that the account takes, over its weight.
func (a *Account[T]) length() float64 { return float64(a.waiting) / a.weight }

func (a *Account[T]) append(r *Request[T]) {
	r.previous, r.next = a.last, nil
	if a.last == nil {
		a.first = r
	} else {
		a.last.next = r
	}
	a.last = r
	a.waiting++
}

func (a *Account[T]) unlink(r *Request[T]) {
	if r.previous == nil {
		a.first = r.next
	} else {
		r.previous.next = r.next
	}
	if r.next == nil {
		a.last = r.previous
	} else {
		r.next.previous = r.previous
	}
	r.previous, r.next = nil, nil
	a.waiting--
}

// readyPlace and lengthPlace let one object stand in several
// heaps, each of which keeps its own index.
type (
	readyPlace[T any]  struct{ *Account[T] }
	lengthPlace[T any] struct{ *Account[T] }
)

func (p readyPlace[T]) place() *int  { return &p.readyAt }
func (p lengthPlace[T]) place() *int { return &p.lengthAt }
func (r *Request[T]) place() *int    { return &r.deadlineAt }
