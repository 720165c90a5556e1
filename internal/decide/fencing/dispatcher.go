package fencing

import (
	"cmp"
	"slices"
	"time"

	"filbertdeck/internal/decide/ownership"
)

// DesiredState is the state that the table requires of one engine.
type DesiredState struct {
	Engine string
	// Kind and Name are those of the command that leads to the state.
	Kind, Name string
	// ChecksFencing is set if the engine refuses old fencing numbers.
	ChecksFencing bool
}

// Task is the next action at one engine.
type Task struct {
	DesiredState
	Action Action
}

// Dispatcher manages the commands for the engines of one pool, one at a time
// per engine. It is not safe for concurrent use.
type Dispatcher struct {
	cfg     Config
	engines map[string]*engineCommand
}

type engineCommand struct {
	desired DesiredState
	command *Command
	// busy is set from the start of a Send or Read task until its result.
	busy bool
}

// NewDispatcher returns a dispatcher without commands.
func NewDispatcher(cfg Config) *Dispatcher {
	return &Dispatcher{cfg: cfg, engines: map[string]*engineCommand{}}
}

// SetDesired replaces the desired states. An engine whose state changed gets a
// new command, even if the old one is not complete. A late result of the old
// command is ignored, because its DesiredState differs.
func (d *Dispatcher) SetDesired(desired []DesiredState) {
	old := d.engines
	d.engines = make(map[string]*engineCommand, len(desired))
	for _, state := range desired {
		e := old[state.Engine]
		if e == nil || e.desired != state {
			e = &engineCommand{desired: state, command: NewCommand(d.cfg, state.ChecksFencing)}
		}
		d.engines[state.Engine] = e
	}
}

// HandleRestart starts an engine's command again: a new incarnation does not
// have the state that the earlier one was commanded into.
func (d *Dispatcher) HandleRestart(engine string) {
	if e := d.engines[engine]; e != nil {
		*e = engineCommand{desired: e.desired, command: NewCommand(d.cfg, e.desired.ChecksFencing)}
	}
}

// DueTasks returns the tasks that may start now, sorted by engine name. At most
// limit tasks run at once: commands take an engine long, and a weight store
// that all engines load from at once is rate-limited. The caller must report
// the result of each task.
func (d *Dispatcher) DueTasks(now time.Duration, t *ownership.Tenure, limit int) []Task {
	busy := 0
	var due []Task
	for _, e := range d.engines {
		if e.busy {
			busy++
			continue
		}
		if a := e.command.Step(now, t); a == Send || a == Read {
			due = append(due, Task{e.desired, a})
		}
	}
	slices.SortFunc(due, func(a, b Task) int { return cmp.Compare(a.Engine, b.Engine) })
	due = due[:min(len(due), max(0, limit-busy))]
	for _, task := range due {
		d.engines[task.Engine].busy = true
	}
	return due
}

// HandleAnswer records the answer to a Send.
func (d *Dispatcher) HandleAnswer(now time.Duration, state DesiredState, a Answer) {
	if e := d.currentCommand(state); e != nil {
		e.busy = false
		e.command.HandleAnswer(now, a)
	}
}

// HandleRead records the result of a successful Read. A failed one says nothing
// about the engine; report it with HandleReadFailure.
func (d *Dispatcher) HandleRead(now time.Duration, state DesiredState, matches bool) {
	if e := d.currentCommand(state); e != nil {
		e.busy = false
		e.command.HandleRead(now, matches)
	}
}

// HandleReadFailure schedules a failed read again.
func (d *Dispatcher) HandleReadFailure(now time.Duration, state DesiredState) {
	if e := d.currentCommand(state); e != nil {
		e.busy = false
		e.command.schedule(now, Read)
	}
}

// GivenUp returns the states of the engines whose commands were given up, for
// operators.
func (d *Dispatcher) GivenUp() []DesiredState {
	var out []DesiredState
	for _, e := range d.engines {
		if e.command.nextAction == GiveUp {
			out = append(out, e.desired)
		}
	}
	slices.SortFunc(out, func(a, b DesiredState) int { return cmp.Compare(a.Engine, b.Engine) })
	return out
}

func (d *Dispatcher) currentCommand(state DesiredState) *engineCommand {
	e := d.engines[state.Engine]
	if e == nil || e.desired != state {
		return nil
	}
	return e
}
