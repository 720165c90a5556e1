package idempotency

import (
	"container/heap"
	"time"
)

// expiryQueue orders the records by expiry time. Each record is in it at most
// once, so that keys that are used repeatedly can't make it grow.
type expiryQueue struct {
	active  expiryHeap
	expired []*record // opaque keys, oldest first
}

type expiryHeap []*record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *expiryHeap) Push(x any) {
	rec := x.(*record)
	rec.heapIndex = len(*h)
	*h = append(*h, rec)
}

func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	rec := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	rec.heapIndex = notInHeap
	return rec
}

// notInHeap is the heapIndex of a record that is not in the heap.
const notInHeap = -1

func (q *expiryQueue) push(rec *record) { heap.Push(&q.active, rec) }

func (q *expiryQueue) remove(rec *record) {
	if rec.heapIndex != notInHeap {
		heap.Remove(&q.active, rec.heapIndex)
	}
}

// timeToNextExpiry returns the time until the next key expires, but no less
// than inProgressRetryAfter, the shortest useful interval between two attempts.
func (q *expiryQueue) timeToNextExpiry(now time.Duration) time.Duration {
	if len(q.active) == 0 {
		return inProgressRetryAfter
	}
	return max(q.active[0].expires-now, inProgressRetryAfter)
}

// expire handles the records whose keys have expired. Minted and UUIDv7 keys
// carry the time from which their expiry follows, so their records are removed.
// An opaque key carries none: its record is kept as expired until the space is
// needed. The record of a call that is still in progress is kept, because its
// outcome is not known yet.
func (r *Registry) expire(now time.Duration) {
	q := &r.expiry
	for len(q.active) > 0 && q.active[0].expires <= now {
		rec := heap.Pop(&q.active).(*record)
		switch {
		case rec.state == stateReserved || rec.state == stateSent:
			rec.expires = now + inProgressRetryAfter
			q.push(rec)
		case rec.kind == KeyOpaque:
			r.setChargedBytes(rec, 0)
			rec.answer, rec.state = nil, stateExpired
			q.expired = append(q.expired, rec)
		default:
			r.removeRecord(rec)
		}
	}
}

// dropExpired removes the oldest expired opaque key and reports whether there
// was one.
func (r *Registry) dropExpired() bool {
	q := &r.expiry
	if len(q.expired) == 0 {
		return false
	}
	rec := q.expired[0]
	q.expired[0] = nil
	q.expired = q.expired[1:]
	r.removeRecord(rec)
	return true
}
