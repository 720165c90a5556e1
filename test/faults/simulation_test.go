package faults_test

import (
	"container/heap"
	"time"

	"filbertdeck/internal/decide/delivery"
)

// simulation is a discrete-event simulation of a deployment in one goroutine
// with a virtual clock: processes, messages and connections between them, and
// their failures. The same mutation and triggers give the same run.
type simulation struct {
	now          time.Duration
	queue        eventQueue
	sequence     int
	partitioned  map[*process]bool // the processes on the smaller side of the partition
	partitionEnd time.Duration
	conns        []*conn
	scenario     scenario
	triggers     []*trigger
	mutation     mutation
	service      *configService
	hosts        []*host
	engines      []*engine
	app          *engine
	callers      *process
	calls        []*call
	records      records
	lastID       uint64
}

// trigger injects a fault when the call under test reaches step.
type trigger struct {
	step   step
	inject func(sim *simulation, c *call)
	fired  bool
	at     time.Duration
}

const messageDelay = time.Millisecond

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].sequence < q[j].sequence)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (sim *simulation) schedule(due time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.queue, event{max(due, sim.now), sim.sequence, run})
}

func (sim *simulation) runUntil(end time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = end
}

// process is one simulated process. Its incarnation changes at a restart, and
// pending events of earlier incarnations are dropped.
type process struct {
	name, dataCentre string
	incarnation      uint64
	up               bool
	frozenUntil      time.Duration // end of the current freeze
	wasFrozen        bool          // has been frozen at least once
}

// runAfter runs fn in the process after delay. fn is dropped if the process has
// died by then, and postponed while the process is frozen.
func (sim *simulation) runAfter(p *process, delay time.Duration, fn func()) {
	incarnation := p.incarnation
	sim.schedule(sim.now+delay, func() { sim.runIn(p, incarnation, fn) })
}

func (sim *simulation) runIn(p *process, incarnation uint64, fn func()) {
	switch {
	case !p.up || p.incarnation != incarnation:
	case p.frozenUntil > sim.now:
		sim.schedule(p.frozenUntil, func() { sim.runIn(p, incarnation, fn) })
	default:
		fn()
	}
}

// runEvery runs fn in the process at each interval until the process dies.
func (sim *simulation) runEvery(p *process, interval time.Duration, fn func()) {
	sim.runAfter(p, interval, func() {
		fn()
		sim.runEvery(p, interval, fn)
	})
}

func (sim *simulation) isPartitioned(a, b *process) bool {
	return sim.partitioned[a] != sim.partitioned[b] && sim.now < sim.partitionEnd
}

// sendMessage runs fn in process to. If that process is down, onLost runs in the
// sender; a partition drops the message without any notice.
func (sim *simulation) sendMessage(from, to *process, fn, onLost func()) {
	if sim.isPartitioned(from, to) {
		return
	}
	incarnation := from.incarnation
	sim.schedule(sim.now+messageDelay, func() {
		if to.up {
			sim.runIn(to, to.incarnation, fn)
		} else if onLost != nil {
			sim.schedule(sim.now+messageDelay, func() { sim.runIn(from, incarnation, onLost) })
		}
	})
}

// conn is a connection between two processes.
type conn struct {
	sim          *simulation
	ends         [2]*process
	incarnations [2]uint64
	onLost       [2]func()
	closed       bool
	silent       bool
	onFrame      func(delivery.Frame, string) // handles a target's frames at the end that opened the connection
}

// dial opens a connection, or returns nil if b is down or partitioned from a.
func (sim *simulation) dial(a, b *process, onLost func()) *conn {
	if !b.up || sim.isPartitioned(a, b) {
		return nil
	}
	c := &conn{sim: sim, ends: [2]*process{a, b}, incarnations: [2]uint64{a.incarnation, b.incarnation}, onLost: [2]func(){onLost, nil}}
	sim.conns = append(sim.conns, c)
	return c
}

// send runs fn at the end with index to: 0 opened the connection, 1 accepted it.
func (c *conn) send(to int, fn func()) {
	if c == nil || c.silent || c.sim.isPartitioned(c.ends[0], c.ends[1]) {
		return
	}
	c.sim.schedule(c.sim.now+messageDelay, func() {
		if !c.closed {
			c.sim.runIn(c.ends[to], c.incarnations[to], func() {
				if !c.closed {
					fn()
				}
			})
		}
	})
}

// cut closes the connection. Both ends are notified unless the connection is
// silent or partitioned.
func (c *conn) cut() {
	if c == nil || c.closed {
		return
	}
	c.closed = true
	if c.silent || c.sim.isPartitioned(c.ends[0], c.ends[1]) {
		return
	}
	for i, onLost := range c.onLost {
		if onLost != nil {
			p, incarnation := c.ends[i], c.incarnations[i]
			c.sim.schedule(c.sim.now+messageDelay, func() { c.sim.runIn(p, incarnation, onLost) })
		}
	}
}

// goSilent makes the connection drop all further traffic without notice.
func (c *conn) goSilent() {
	if c != nil {
		c.silent = true
	}
}

// close closes the connection without notifying the given end.
func (c *conn) close(end int) {
	if c != nil {
		c.onLost[end] = nil
		c.cut()
	}
}

func (sim *simulation) killProcess(p *process) {
	p.up = false
	kept := sim.conns[:0]
	for _, c := range sim.conns {
		if c.ends[0] == p || c.ends[1] == p {
			c.cut()
		}
		if !c.closed {
			kept = append(kept, c)
		}
	}
	sim.conns = kept
}

func (sim *simulation) freezeProcess(p *process, duration time.Duration) {
	p.frozenUntil, p.wasFrozen = sim.now+duration, true
}

// reachStep records that a call has reached a step, injects the faults that are
// triggered there and then runs next in process p.
func (sim *simulation) reachStep(c *call, s step, p *process, next func()) {
	for _, t := range sim.triggers {
		if c.underTest && !t.fired && s == t.step {
			t.fired, t.at = true, sim.now
			t.inject(sim, c)
		}
	}
	sim.runAfter(p, 0, next)
}
