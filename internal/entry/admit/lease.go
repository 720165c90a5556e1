package admit

import (
	"sync/atomic"
	"time"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/failure"
)

// Lease is an admission in force: the right to run one request on one target.
type Lease struct {
	ID       uint64
	Pool     string
	Target   string
	Priority int32
	Fence    uint64
	// Deadline is when the right ends unless it was renewed, counted from
	// a moment before the grant. The allocator counts from after its grant, so
	// that the holder always stops first.
	Deadline time.Time
	// Waited is the time from the ask to the grant.
	Waited time.Duration

	account      string
	service      string
	promptTokens uint32
	produced     atomic.Uint32
	// told is the session that was told the whole lease, beats the renewals
	// since then; both belong to the renewing goroutine.
	told    *session
	beats   int
	settled atomic.Bool
	client  *Client
}

// Check fails when the right to start has ended. It is called right before
// the first byte goes to the target: a process that was paused between grant
// and start must not add its request to a target that was given to others
// meanwhile.
func (l *Lease) Check(now time.Time) error {
	if now.Before(l.Deadline) {
		return nil
	}
	return failure.New(failure.KindLeaseLost, "admission ended before the request was sent")
}

// SetProduced sets the number of tokens produced so far.
func (l *Lease) SetProduced(n int) { l.produced.Store(uint32(n)) }

// Settle ends the lease; only the first call counts.
func (l *Lease) Settle(outcome filbertv1.Outcome, firstToken, duration time.Duration) {
	if !l.settled.CompareAndSwap(false, true) {
		return
	}
	l.client.settle(l, &filbertv1.Settle{
		Pool: l.Pool, Lease: l.ID, Outcome: outcome, Produced: l.produced.Load(),
		FirstTokenUs: uint32(firstToken.Microseconds()), DurationUs: uint32(duration.Microseconds()),
	})
}

// wholeEvery is how often a renewal says everything again.
const wholeEvery = 10

// renewal gives the lease's renewal over a session: its number and progress,
// and what a new owner needs if this one may not know it. Named in full each
// second, the leases of a node would be 15 KB/s at the target size.
func (l *Lease) renewal(s *session) *filbertv1.Renewal {
	r := &filbertv1.Renewal{Lease: l.ID, Produced: l.produced.Load()}
	if l.told == s && l.beats < wholeEvery {
		l.beats++
		return r
	}
	l.told, l.beats = s, 0
	r.Target, r.Account, r.Service, r.PromptTokens = l.Target, l.account, l.service, l.promptTokens
	return r
}
