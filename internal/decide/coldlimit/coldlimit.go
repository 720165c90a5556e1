// Package coldlimit limits what all hosts together send to a target that has just
// started, without messages between the hosts.
//
// An engine joins, or a data centre comes back, cold and empty beside others that
// are full, and every host chooses the least loaded target. If each of eight
// hosts only kept to the rate that the target can take, all of them together
// would send eight times as much. The target would fail, come back cold and fail
// again.
//
// The requests that a target can take in a second are divided among the hosts by
// their rank for that target: some hosts get one more than others, and if there
// are more hosts than requests, most get none. The quotas add up to no more than
// the target's capacity, whenever each host sends. A host that knows fewer hosts
// than there are would take too much, so all hosts ever known count, and a
// process that has just started takes none until the number of hosts has settled
// (package fleetsize).
//
// Types in this package are not safe for concurrent use. Times are on the
// monotonic clock.
package coldlimit

import "time"

// window is the span in which the requests sent to a target are counted.
const window = time.Second

// SendQuota returns how many requests per second the host with the given rank may send
// to a target that can take capacity requests per second in all.
func SendQuota(capacity float64, rank, hosts int) int {
	if hosts <= 0 || rank < 0 || capacity < 1 {
		return 0
	}
	total := int(capacity)
	quota := total / hosts
	if rank < total%hosts {
		quota++
	}
	return quota
}

// Limiter limits the requests that one host sends to one target within a second.
type Limiter struct{ sent []time.Duration }

// Allows reports whether one more request stays within the quota.
func (l *Limiter) Allows(now time.Duration, quota int) bool {
	l.expire(now)
	return len(l.sent) < quota
}

// RecordSend records a request.
func (l *Limiter) RecordSend(now time.Duration) {
	l.expire(now)
	l.sent = append(l.sent, now)
}

// CancelSend removes the last recorded request, which was not sent after all.
func (l *Limiter) CancelSend() {
	if len(l.sent) > 0 {
		l.sent = l.sent[:len(l.sent)-1]
	}
}

// expire removes the requests that have left the window.
func (l *Limiter) expire(now time.Duration) {
	expired := 0
	for expired < len(l.sent) && now-l.sent[expired] >= window {
		expired++
	}
	l.sent = l.sent[expired:]
}
