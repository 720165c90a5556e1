package faults_test

import (
	"container/heap"
	"time"

	"filbertdeck/internal/decide/delivery"
)

// world is a fleet in one goroutine with a clock of its own: processes,
// messages and connections between them, and the ways in which these fail.
// The same seed and script give the same run.
type world struct {
	now     time.Duration
	queue   eventHeap
	order   int
	split   map[*proc]bool // the smaller side of a partition
	healed  time.Duration
	conns   []*conn
	script  script
	armed   []*trigger
	naive   naive
	service *service
	hosts   []*host
	engines []*engine
	app     *engine
	callers *proc
	calls   []*call
	records records
	ids     uint64
}

// trigger says when a fault strikes: when the call under test gets to step.
type trigger struct {
	step   step
	strike func(w *world, c *call)
	fired  bool
	at     time.Duration
}

const hop = time.Millisecond

type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].order < h[j].order)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (w *world) at(t time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, event{max(t, w.now), w.order, run})
}

func (w *world) runUntil(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// proc is one process. Its incarnation changes when it starts again; what the
// earlier process had in hand never happens.
type proc struct {
	name, centre string
	inc          uint64
	up           bool
	wake         time.Duration // asleep until then
	frozen       bool          // has slept at least once
}

// after runs fn in the process after a while: never if it died meanwhile, late
// if it sleeps.
func (w *world) after(p *proc, d time.Duration, fn func()) {
	inc := p.inc
	w.at(w.now+d, func() { w.in(p, inc, fn) })
}

func (w *world) in(p *proc, inc uint64, fn func()) {
	switch {
	case !p.up || p.inc != inc:
	case p.wake > w.now:
		w.at(p.wake, func() { w.in(p, inc, fn) })
	default:
		fn()
	}
}

// every runs fn in the process from now on.
func (w *world) every(p *proc, d time.Duration, fn func()) {
	w.after(p, d, func() {
		fn()
		w.every(p, d, fn)
	})
}

func (w *world) parted(a, b *proc) bool { return w.split[a] != w.split[b] && w.now < w.healed }

// message runs fn in process to. lost runs in the sender when nobody listens
// there; a partition swallows the message without a sign.
func (w *world) message(from, to *proc, fn, lost func()) {
	if w.parted(from, to) {
		return
	}
	inc := from.inc
	w.at(w.now+hop, func() {
		if to.up {
			w.in(to, to.inc, fn)
		} else if lost != nil {
			w.at(w.now+hop, func() { w.in(from, inc, lost) })
		}
	})
}

// conn is a connection between two processes.
type conn struct {
	w      *world
	ends   [2]*proc
	incs   [2]uint64
	lost   [2]func()
	closed bool
	silent bool
	frame  func(delivery.Frame, string) // what the near end does with a target's frames
}

// dial connects; nil when nobody listens.
func (w *world) dial(a, b *proc, lost func()) *conn {
	if !b.up || w.parted(a, b) {
		return nil
	}
	c := &conn{w: w, ends: [2]*proc{a, b}, incs: [2]uint64{a.inc, b.inc}, lost: [2]func(){lost, nil}}
	w.conns = append(w.conns, c)
	return c
}

// send runs fn at the end `to`.
func (c *conn) send(to int, fn func()) {
	if c == nil || c.silent || c.w.parted(c.ends[0], c.ends[1]) {
		return
	}
	c.w.at(c.w.now+hop, func() {
		if !c.closed {
			c.w.in(c.ends[to], c.incs[to], func() {
				if !c.closed {
					fn()
				}
			})
		}
	})
}

// cut closes the connection; both ends notice unless it had gone silent.
func (c *conn) cut() {
	if c == nil || c.closed {
		return
	}
	c.closed = true
	if c.silent || c.w.parted(c.ends[0], c.ends[1]) {
		return
	}
	for i, lost := range c.lost {
		if lost != nil {
			p, inc := c.ends[i], c.incs[i]
			c.w.at(c.w.now+hop, func() { c.w.in(p, inc, lost) })
		}
	}
}

// hush makes the connection silent for good without a sign.
func (c *conn) hush() {
	if c != nil {
		c.silent = true
	}
}

// close ends a connection without telling anybody at this end.
func (c *conn) close(end int) {
	if c != nil {
		c.lost[end] = nil
		c.cut()
	}
}

func (w *world) kill(p *proc) {
	p.up = false
	kept := w.conns[:0]
	for _, c := range w.conns {
		if c.ends[0] == p || c.ends[1] == p {
			c.cut()
		}
		if !c.closed {
			kept = append(kept, c)
		}
	}
	w.conns = kept
}

func (w *world) freeze(p *proc, d time.Duration) { p.wake, p.frozen = w.now+d, true }

// step notes that a call got to a step and goes on in process p, after the
// fault if one strikes here.
func (w *world) step(c *call, s step, p *proc, next func()) {
	for _, t := range w.armed {
		if c.focus && !t.fired && s == t.step {
			t.fired, t.at = true, w.now
			t.strike(w, c)
		}
	}
	w.after(p, 0, next)
}
