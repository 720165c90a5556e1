package faults_test

import (
	"fmt"
	"time"

	"filbertdeck/internal/decide/admission"
	"filbertdeck/internal/decide/delivery"
)

// engine is a target: a model engine or, as simulation.app, the plain service.
// The checks take the number of executions from the records of the targets
// only.
type engine struct {
	*process
	sim            *simulation
	rampStart      time.Duration // when the target last started or turned cold
	restarts       int
	coldSince      time.Duration // when the target turned cold without a restart
	warm           bool
	running        map[string]*generation
	finished       map[string]*generation
	crossedFrames  int // number of frames still to be sent under a wrong generation
	dropNextAnswer bool
	stopping       bool
	leavingAt      time.Duration // when the platform listed the target as leaving
}

type generation struct {
	id, prompt string
	tokens     int
	produced   int
	poison     bool
	conns      []*conn
}

const (
	tokenInterval = 20 * time.Millisecond
	fullCapacity  = 16
	rampInterval  = 500 * time.Millisecond // time per additional concurrent request while warming up
)

func (sim *simulation) addEngine(name, dataCentre string, warm bool) *engine {
	return &engine{
		process: &process{name: name, dataCentre: dataCentre, up: true, incarnation: 1}, sim: sim, warm: warm,
		running: map[string]*generation{}, finished: map[string]*generation{},
	}
}

func (e *engine) capacity() int {
	if e.warm {
		return fullCapacity
	}
	return min(1+int((e.sim.now-e.rampStart)/rampInterval), fullCapacity)
}

func (e *engine) restart() {
	e.incarnation++
	e.up, e.frozenUntil, e.warm, e.stopping, e.rampStart = true, 0, false, false, e.sim.now
	e.restarts++
	e.running, e.finished = map[string]*generation{}, map[string]*generation{}
}

func (e *engine) report() admission.Report {
	r := admission.Report{
		Target: e.name, Incarnation: e.incarnation, Running: len(e.running), Capacity: e.capacity(), Stopping: e.stopping,
	}
	if e != e.sim.app {
		r.KVCapacityTokens, r.KVUsedTokens, r.StepTime = 100_000, 200*len(e.running), tokenInterval
	}
	return r
}

// startGeneration starts a generation; onRefused is called if one with this ID
// exists already.
func (e *engine) startGeneration(att *attempt, id string, c *conn, onRefused func()) {
	sim := e.sim
	if e.running[id] != nil || e.finished[id] != nil {
		c.send(0, onRefused)
		return
	}
	sim.records.recordStart(e, att.id, "")
	g := &generation{id: id, prompt: att.call.prompt, tokens: att.call.length, poison: att.call.poison, conns: []*conn{c}}
	e.running[id] = g
	if g.poison {
		sim.runAfter(e.process, tokenInterval, func() {
			sim.records.poisonCrashes++
			sim.crashTarget(e)
		})
		return
	}
	e.produceTokens(g)
}

func (e *engine) produceTokens(g *generation) {
	e.sim.runAfter(e.process, tokenInterval, func() {
		if e.running[g.id] != g {
			return
		}
		g.produced++
		for _, c := range g.conns {
			e.sendFrame(c, g, g.produced-1)
		}
		if g.produced < g.tokens {
			e.produceTokens(g)
			return
		}
		delete(e.running, g.id)
		e.finished[g.id] = g
	})
}

// sendFrame sends one token, and the end of the stream after the last one.
func (e *engine) sendFrame(c *conn, g *generation, index int) {
	f := delivery.Frame{Generation: g.id, Offset: uint64(index), Tokens: 1, Finish: index == g.tokens-1}
	text := fmt.Sprint(g.prompt, "/", index)
	if e.crossedFrames > 0 {
		e.crossedFrames--
		f.Generation, text = "crossed", fmt.Sprint("another's/", index)
	}
	c.send(0, func() { c.onFrame(f, text) })
	if f.Finish {
		c.send(0, func() { c.onFrame(delivery.Frame{Done: true}, "") })
	}
}

func (e *engine) resume(id string, offset uint64, c *conn, onGone func()) {
	g := e.running[id]
	if g == nil {
		g = e.finished[id]
	}
	if g == nil {
		c.send(0, onGone)
		return
	}
	for k := int(offset); k < g.produced; k++ {
		e.sendFrame(c, g, k)
	}
	if int(offset) == g.tokens {
		c.send(0, func() { c.onFrame(delivery.Frame{Generation: id, Offset: offset, Finish: true}, "") })
		c.send(0, func() { c.onFrame(delivery.Frame{Done: true}, "") })
	}
	g.conns = append(g.conns, c)
}

func (e *engine) cancel(id string) { delete(e.running, id) }

// runBooking executes a booking on the plain service.
func (e *engine) runBooking(att *attempt, c *conn, onAnswer func()) {
	sim := e.sim
	sim.records.recordStart(e, att.id, att.call.name)
	g := &generation{id: fmt.Sprint(att.id, sim.now)}
	e.running[g.id] = g
	sim.runAfter(e.process, 30*time.Millisecond, func() {
		delete(e.running, g.id)
		if e.dropNextAnswer {
			e.dropNextAnswer = false
			c.cut()
			return
		}
		sim.reachStep(att.call, stepFirst, e.process, func() { c.send(0, onAnswer) })
	})
}

// crashTarget kills a target; the platform restarts it cold after 2 s.
func (sim *simulation) crashTarget(e *engine) {
	if !e.up {
		return
	}
	sim.killProcess(e.process)
	sim.schedule(sim.now+2*time.Second, e.restart)
}

// configService is the platform's configuration service.
type configService struct {
	revision   uint64
	states     []platformState
	downUntil  time.Duration
	staleState map[*process]int // index of the state that a reader is served instead of the current one
}

type platformState struct {
	revision      uint64
	weight        int
	drainedCentre string
	hosts         []string
	hostsRevision uint64
	leavingTarget string
}

func (s *configService) current() platformState { return s.states[len(s.states)-1] }

func (s *configService) edit(change func(*platformState)) {
	next := s.current()
	s.revision++
	next.revision = s.revision
	change(&next)
	s.states = append(s.states, next)
}
