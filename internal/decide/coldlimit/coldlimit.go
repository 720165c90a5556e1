// Package coldlimit bounds what all hosts together send to a target that has
// just started, without a message between them.
//
// Load pattern: an engine joins, or a data centre comes back, cold and empty
// beside others that are full, and every host chooses the emptiest target.
//
// What happens without it: each host keeps to the rate that the target bears,
// and all of them together send eight times as much. One sees the target fall
// over, come back cold, and fall over again.
//
// How it works: the sends that a target bears in a second are dealt out to the
// hosts by their rank for that target, some hosts getting one more than others
// and, where there are more hosts than sends, most of them none. The parts add
// up to no more than the whole whoever sends when. A host that knows fewer
// hosts than there are would take too much, so hosts that were ever heard of
// count, and a process that has just started takes one send a second at most.
//
// It is not safe for concurrent use; times are on the steady clock.
package coldlimit

import "time"

// window is the span in which a target's sends are counted.
const window = time.Second

// SendQuota is the number of sends a second of the host with a rank, of those that
// a target bears in all.
func SendQuota(bears float64, rank, hosts int) int {
	if hosts <= 0 || rank < 0 || bears < 1 {
		return 0
	}
	all := int(bears)
	part := all / hosts
	if rank < all%hosts {
		part++
	}
	return part
}

// Limiter counts one host's sends to one target in any second.
type Limiter struct{ sent []time.Duration }

// Allows tells whether another send keeps within part.
func (g *Limiter) Allows(now time.Duration, part int) bool {
	g.forget(now)
	return len(g.sent) < part
}

// RecordSend counts a send.
func (g *Limiter) RecordSend(now time.Duration) {
	g.forget(now)
	g.sent = append(g.sent, now)
}

func (g *Limiter) forget(now time.Duration) {
	kept := 0
	for kept < len(g.sent) && now-g.sent[kept] >= window {
		kept++
	}
	g.sent = g.sent[kept:]
}
