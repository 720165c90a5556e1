package quota

import "time"

const (
	// maxRequestDelay is the delay beyond which a request is dropped: the
	// duration of a lease.
	maxRequestDelay = 3 * time.Second
	// maxClockDrift bounds how much faster one process's clock may run than
	// another's, as a fraction; a crystal is off by a tenth of it at most.
	maxClockDrift = 0.001
	// senderTTL is how long a silent sender is remembered.
	senderTTL = time.Minute
)

// requestFilter rejects requests that were delayed in transit. An owner that
// was paused finds such requests in its connections' buffers when it resumes.
// They report less in progress than the pools run by then, so the owner would
// lease again what was started meanwhile, and the account would exceed its
// limit. As the clocks of two processes are unrelated, the delay of a request
// is measured against the fastest request of its sender.
type requestFilter struct {
	senders map[string]*sender
	sweptAt time.Duration
}

type sender struct {
	incarnation uint64
	// minOffset is the least difference between the local clock on arrival and
	// the sender's clock on sending.
	minOffset              time.Duration
	lastSent, lastReceived time.Duration
}

func newRequestFilter() requestFilter { return requestFilter{senders: map[string]*sender{}} }

// accept reports whether a request counts: it is newer than all earlier requests
// of its sender and not late.
func (f *requestFilter) accept(now time.Duration, from string, incarnation uint64, sent time.Duration) bool {
	f.removeIdleSenders(now)
	s := f.senders[from]
	if s == nil || incarnation > s.incarnation {
		f.senders[from] = &sender{incarnation: incarnation, minOffset: now - sent, lastSent: sent, lastReceived: now}
		return true
	}
	if incarnation < s.incarnation || sent <= s.lastSent {
		return false
	}
	s.minOffset += time.Duration(maxClockDrift * float64(now-s.lastReceived))
	s.minOffset = min(s.minOffset, now-sent)
	s.lastSent, s.lastReceived = sent, now
	return now-sent-s.minOffset <= maxRequestDelay
}

func (f *requestFilter) removeIdleSenders(now time.Duration) {
	if now-f.sweptAt < senderTTL {
		return
	}
	f.sweptAt = now
	for from, s := range f.senders {
		if now-s.lastReceived > senderTTL {
			delete(f.senders, from)
		}
	}
}
