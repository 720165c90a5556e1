// Package fleetsize tells a process that has just started when it knows how many hosts
// there are.
//
// What all hosts together may send to a cold or limited target, and how often they may
// retry, is divided by the number of hosts. A process that starts knows a few hosts
// and learns of the others within seconds. If it took the share of a small fleet
// meanwhile, hundreds of hosts that start together would send many times what is
// allowed. Until the number has settled a process takes no share at all, which is
// right for a fleet of any size.
//
// Types in this package are not safe for concurrent use. Times are counted from the
// start of the process.
package fleetsize

import "time"

const (
	// minUptime is the time in which a process hears from some of the hosts that it
	// was started with.
	minUptime = 3 * time.Second
	// settleTime is the time without a new host after which the number has settled.
	// Whole lists of hosts are exchanged several times in it.
	settleTime = time.Second
	// maxUptime ends the wait in a fleet to which hosts are added all the time.
	maxUptime = 15 * time.Second
)

// Estimator observes the number of hosts that a process knows.
type Estimator struct {
	known   int
	grewAt  time.Duration
	settled bool
}

// Observe records the number of hosts known now, and reports whether it has settled.
// Once it has, it stays so.
func (e *Estimator) Observe(uptime time.Duration, known int) (settled bool) {
	if known > e.known {
		e.known, e.grewAt = known, uptime
	}
	e.settled = e.settled || uptime >= maxUptime || uptime >= minUptime && uptime-e.grewAt >= settleTime
	return e.settled
}
