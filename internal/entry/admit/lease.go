package admit

import (
	"sync/atomic"
	"time"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/failure"
)

// Lease is a granted admission: the right to run one request on one target.
type Lease struct {
	ID       uint64
	Pool     string
	Target   string
	Priority int32
	Fence    uint64
	// Deadline is when the lease expires unless it is renewed, counted from a
	// time before the grant. The allocator counts from a time after its grant,
	// so the holder always stops first.
	Deadline time.Time
	// WaitTime is the time from the ask to the grant.
	WaitTime time.Duration

	account      string
	service      string
	promptTokens uint32
	produced     atomic.Uint32
	// fullRenewalSession is the session over which the last full renewal was
	// sent, and shortRenewals counts the renewals since then. Both are used only
	// by the renewing goroutine.
	fullRenewalSession *session
	shortRenewals      int
	settled            atomic.Bool
	client             *Client
}

// Check returns an error if the lease has expired. It is called right before the
// first byte is sent to the target: a process that was paused between grant and
// send must not add its request to a target whose capacity was granted to others
// in the meantime.
func (l *Lease) Check(now time.Time) error {
	if now.Before(l.Deadline) {
		return nil
	}
	return failure.New(failure.KindLeaseLost, "the lease expired before the request was sent")
}

// SetProduced sets the number of tokens produced so far.
func (l *Lease) SetProduced(n int) { l.produced.Store(uint32(n)) }

// Settle ends the lease and reports the outcome; calls after the first have no
// effect.
func (l *Lease) Settle(outcome filbertv1.Outcome, firstToken, duration time.Duration) {
	if !l.settled.CompareAndSwap(false, true) {
		return
	}
	l.client.settle(l, &filbertv1.Settle{
		Pool: l.Pool, Lease: l.ID, Outcome: outcome, Produced: l.produced.Load(),
		FirstTokenUs: uint32(firstToken.Microseconds()), DurationUs: uint32(duration.Microseconds()),
	})
}

// maxShortRenewals is how many renewals without details are sent between two
// full ones.
const maxShortRenewals = 10

// renewal returns the renewal of the lease for a session: its ID and progress,
// and every maxShortRenewals renewals or on a new session also the details that
// a new owner needs. Sending the details each second would cost 15 KB/s for the
// leases of one host at the target size.
func (l *Lease) renewal(s *session) *filbertv1.Renewal {
	r := &filbertv1.Renewal{Lease: l.ID, Produced: l.produced.Load()}
	if l.fullRenewalSession == s && l.shortRenewals < maxShortRenewals {
		l.shortRenewals++
		return r
	}
	l.fullRenewalSession, l.shortRenewals = s, 0
	r.Target, r.Account, r.Service, r.PromptTokens = l.Target, l.account, l.service, l.promptTokens
	return r
}
