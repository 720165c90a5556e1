package faults_test

import (
	"fmt"
	"time"

	"filbertdeck/internal/decide/admission"
	"filbertdeck/internal/decide/delivery"
)

// engine is a target: a model engine or, as w.app, the plain service. It keeps
// its own records; the checks believe these and nobody else.
type engine struct {
	*proc
	w        *world
	since    time.Duration // start or last turn to cold
	restarts int
	turned   time.Duration // when it turned cold in place
	warm     bool
	running  map[string]*generation
	done     map[string]*generation
	crossing int // frames still to be sent from another generation
	dropping bool
	stopping bool
	leaving  time.Duration // when the platform said so
}

type generation struct {
	id, prompt string
	length     int
	produced   int
	poison     bool
	conns      []*conn
}

const (
	tokenTime  = 20 * time.Millisecond
	fullBears  = 16
	rampPerOne = 500 * time.Millisecond // one request more each half second
)

func (w *world) addEngine(name, centre string, warm bool) *engine {
	return &engine{
		proc: &proc{name: name, centre: centre, up: true, inc: 1}, w: w, warm: warm,
		running: map[string]*generation{}, done: map[string]*generation{},
	}
}

func (e *engine) bears() int {
	if e.warm {
		return fullBears
	}
	return min(1+int((e.w.now-e.since)/rampPerOne), fullBears)
}

func (e *engine) restart() {
	e.inc++
	e.up, e.wake, e.warm, e.stopping, e.since = true, 0, false, false, e.w.now
	e.restarts++
	e.running, e.done = map[string]*generation{}, map[string]*generation{}
}

func (e *engine) report() admission.Report {
	r := admission.Report{
		Target: e.name, Incarnation: e.inc, Running: len(e.running), Capacity: e.bears(), Stopping: e.stopping,
	}
	if e != e.w.app {
		r.MemoryTokens, r.UsedTokens, r.StepTime = 100_000, 200*len(e.running), tokenTime
	}
	return r
}

// start begins a generation; refuse is called when it does not.
func (e *engine) start(s *sending, id string, c *conn, refuse func()) {
	w := e.w
	if e.running[id] != nil || e.done[id] != nil {
		c.send(0, refuse)
		return
	}
	w.records.start(e, s.id, "")
	g := &generation{id: id, prompt: s.call.prompt, length: s.call.length, poison: s.call.poison, conns: []*conn{c}}
	e.running[id] = g
	if g.poison {
		w.after(e.proc, tokenTime, func() {
			w.records.poisoned++
			w.crash(e)
		})
		return
	}
	e.produce(g)
}

func (e *engine) produce(g *generation) {
	e.w.after(e.proc, tokenTime, func() {
		if e.running[g.id] != g {
			return
		}
		g.produced++
		for _, c := range g.conns {
			e.frame(c, g, g.produced-1)
		}
		if g.produced < g.length {
			e.produce(g)
			return
		}
		delete(e.running, g.id)
		e.done[g.id] = g
	})
}

// frame sends one token, and the end after the last one.
func (e *engine) frame(c *conn, g *generation, k int) {
	f := delivery.Frame{Generation: g.id, Offset: uint64(k), Tokens: 1, Finish: k == g.length-1}
	text := fmt.Sprint(g.prompt, "/", k)
	if e.crossing > 0 {
		e.crossing--
		f.Generation, text = "crossed", fmt.Sprint("another's/", k)
	}
	c.send(0, func() { c.frame(f, text) })
	if f.Finish {
		c.send(0, func() { c.frame(delivery.Frame{Done: true}, "") })
	}
}

func (e *engine) resume(id string, offset uint64, c *conn, gone func()) {
	g := e.running[id]
	if g == nil {
		g = e.done[id]
	}
	if g == nil {
		c.send(0, gone)
		return
	}
	for k := int(offset); k < g.produced; k++ {
		e.frame(c, g, k)
	}
	if int(offset) == g.length {
		c.send(0, func() { c.frame(delivery.Frame{Generation: id, Offset: offset, Finish: true}, "") })
		c.send(0, func() { c.frame(delivery.Frame{Done: true}, "") })
	}
	g.conns = append(g.conns, c)
}

func (e *engine) cancel(id string) { delete(e.running, id) }

// book runs a booking of the plain service.
func (e *engine) book(s *sending, c *conn, answer func()) {
	w := e.w
	w.records.start(e, s.id, s.call.name)
	g := &generation{id: fmt.Sprint(s.id, w.now)}
	e.running[g.id] = g
	w.after(e.proc, 30*time.Millisecond, func() {
		delete(e.running, g.id)
		if e.dropping {
			e.dropping = false
			c.cut()
			return
		}
		w.step(s.call, stepFirst, e.proc, func() { c.send(0, answer) })
	})
}

// crash kills a target; the platform starts it again, cold.
func (w *world) crash(e *engine) {
	if !e.up {
		return
	}
	w.kill(e.proc)
	w.at(w.now+2*time.Second, e.restart)
}

// service is the platform's configuration service.
type service struct {
	revision uint64
	states   []platformState
	down     time.Duration
	stale    map[*proc]int // who is served which old state
}

type platformState struct {
	revision uint64
	weight   int
	drained  string
	hosts    []string
	hostsRev uint64
	leaving  string
}

func (s *service) now() platformState { return s.states[len(s.states)-1] }

func (s *service) edit(change func(*platformState)) {
	next := s.now()
	s.revision++
	next.revision = s.revision
	change(&next)
	s.states = append(s.states, next)
}
