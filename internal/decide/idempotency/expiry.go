package idempotency

import (
	"container/heap"
	"time"
)

// expiryQueue orders the keys on record by the end of their life. Each record
// stands in it at most once, so that keys which are used again and again can't
// make it grow.
type expiryQueue struct {
	live    expiryHeap
	expired []*record // opaque keys past their window, oldest first
}

type expiryHeap []*record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

func (h *expiryHeap) Push(x any) {
	rec := x.(*record)
	rec.place = len(*h)
	*h = append(*h, rec)
}

func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	rec := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	rec.place = notQueued
	return rec
}

// notQueued is the place of a record that is not in the heap.
const notQueued = -1

func (q *expiryQueue) push(rec *record) { heap.Push(&q.live, rec) }

func (q *expiryQueue) remove(rec *record) {
	if rec.place != notQueued {
		heap.Remove(&q.live, rec.place)
	}
}

// wait is the time until the next key ends, at least the time in which a
// caller could sensibly ask again.
func (q *expiryQueue) wait(now time.Duration) time.Duration {
	if len(q.live) == 0 {
		return inProgressRetry
	}
	return max(q.live[0].expires-now, inProgressRetry)
}

// expire ends the records whose keys are past their life. A key whose end can
// be read off the key itself is forgotten; an opaque one is remembered as
// expired until its room is needed. A call that is still on its way keeps its
// record: its end is not known yet.
func (r *Registry) expire(now time.Duration) {
	q := &r.expiry
	for len(q.live) > 0 && q.live[0].expires <= now {
		rec := heap.Pop(&q.live).(*record)
		switch {
		case rec.state == stateReserved || rec.state == stateSent:
			rec.expires = now + inProgressRetry
			q.push(rec)
		case rec.kind == KeyOpaque:
			r.hold(rec, 0)
			rec.answer, rec.state = nil, stateExpired
			q.expired = append(q.expired, rec)
		default:
			r.drop(rec)
		}
	}
}

// dropExpired forgets the oldest expired key.
func (r *Registry) dropExpired() bool {
	q := &r.expiry
	if len(q.expired) == 0 {
		return false
	}
	rec := q.expired[0]
	q.expired[0] = nil
	q.expired = q.expired[1:]
	r.drop(rec)
	return true
}
