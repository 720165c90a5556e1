package quota

import "time"

const (
	// lateAfter is the delay from which a demand is dropped: a lease's life.
	lateAfter = 3 * time.Second
	// driftPart bounds how much faster one process's clock may run than the
	// other's; a crystal is off by a tenth of it at most.
	driftPart = 0.001
	// forgetAfter is how long a silent sender is remembered.
	forgetAfter = time.Minute
)

// arrivals tells demands that were long under way. An owner that was paused
// finds them in its connections' buffers when it wakes up: by them a pool runs
// less than it does by now, and what it started meanwhile would be leased
// again. One would notice by more in progress than the row allows, after a
// pause of an owner. The clocks of two processes have nothing in common, so a
// demand is judged against the sender's quickest one.
type arrivals struct {
	senders map[string]*sender
	swept   time.Duration
}

type sender struct {
	incarnation uint64
	// offset is the least difference between our clock at arrival and the
	// sender's at sending.
	offset      time.Duration
	sent, heard time.Duration
}

func newArrivals() arrivals { return arrivals{senders: map[string]*sender{}} }

// take tells whether a request counts: it is newer than those of its sender
// that were taken before, and not late.
func (a *arrivals) take(now time.Duration, from string, incarnation uint64, sent time.Duration) bool {
	a.sweep(now)
	s := a.senders[from]
	if s == nil || incarnation > s.incarnation {
		a.senders[from] = &sender{incarnation: incarnation, offset: now - sent, sent: sent, heard: now}
		return true
	}
	if incarnation < s.incarnation || sent <= s.sent {
		return false
	}
	s.offset += time.Duration(driftPart * float64(now-s.heard))
	s.offset = min(s.offset, now-sent)
	s.sent, s.heard = sent, now
	return now-sent-s.offset <= lateAfter
}

func (a *arrivals) sweep(now time.Duration) {
	if now-a.swept < forgetAfter {
		return
	}
	a.swept = now
	for from, s := range a.senders {
		if now-s.heard > forgetAfter {
			delete(a.senders, from)
		}
	}
}
