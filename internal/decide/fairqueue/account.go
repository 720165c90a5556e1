package fairqueue

import "time"

// Account is the scheduling state of one client account in a queue. An account
// is kept only while it has requests waiting or running, or has an outstanding
// service debt, so memory grows with the accounts that use the pool and not
// with the size of the account table.
type Account[T any] struct {
	Name   string
	weight float64
	// limit bounds running; 0 means unlimited, ZeroLimit that none may start.
	limit   int
	running int
	waiting int
	// normalizedService is the account's virtual time: charged tokens divided
	// by weight.
	normalizedService float64
	first, last       *Request[T]
	// readyIndex and lengthIndex are the account's indexes in the queue's
	// heaps.
	readyIndex, lengthIndex int
	// idle is set while the account is in the queue's idle list.
	idle     bool
	pushedAt time.Duration
	// skipped excludes the account from selection between Skip and Unskip.
	skipped bool
	// drainRate measures the account's own service while it is backlogged.
	drainRate DrainRate
	// meanCost is the exponential moving average of the charge of its finished
	// requests, in tokens; 0 when unknown.
	meanCost float64
}

// Weight returns the account's scheduling weight.
func (a *Account[T]) Weight() float64 { return a.weight }

// Running returns the number of its running requests.
func (a *Account[T]) Running() int { return a.running }

// Waiting returns the number of its waiting requests.
func (a *Account[T]) Waiting() int { return a.waiting }

// NormalizedService returns the tokens charged so far divided by the weight.
func (a *Account[T]) NormalizedService() float64 { return a.normalizedService }

// ZeroLimit is the limit of an account that may start no request at present.
// Its waiting requests keep their positions in the queue.
const ZeroLimit = -1

// Limit returns the bound on its running requests; 0 means unlimited.
func (a *Account[T]) Limit() int { return a.limit }

// Newest returns its most recently queued waiting request, or nil.
func (a *Account[T]) Newest() *Request[T] { return a.last }

// AtLimit reports whether the account's running requests have reached its
// limit.
func (a *Account[T]) AtLimit() bool { return a.limit != 0 && a.running >= a.limit }

// schedulingKey orders the accounts that are ready; the lowest key is served
// first. lookAhead is in tokens for each running request.
func (a *Account[T]) schedulingKey(lookAhead float64) float64 {
	return a.normalizedService + lookAhead*float64(a.running)/a.weight
}

// normalizedLength returns the number of waiting requests divided by the
// weight.
func (a *Account[T]) normalizedLength() float64 { return float64(a.waiting) / a.weight }

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

// readyElement and lengthElement adapt an account to the two heaps that it can
// be in at the same time; each heap keeps its own index.
type (
	readyElement[T any]  struct{ *Account[T] }
	lengthElement[T any] struct{ *Account[T] }
)

func (e readyElement[T]) heapIndex() *int  { return &e.readyIndex }
func (e lengthElement[T]) heapIndex() *int { return &e.lengthIndex }
func (r *Request[T]) heapIndex() *int      { return &r.deadlineIndex }
