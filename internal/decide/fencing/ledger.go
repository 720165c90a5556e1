package fencing

import (
	"cmp"
	"slices"
	"time"

	"filbertdeck/internal/decide/ownership"
)

// Wanted is the state that the table asks of one engine.
type Wanted struct {
	Engine string
	// Kind and Name are those of the order that brings it about.
	Kind, Name string
	// Checks says that the engine refuses old fencing numbers.
	Checks bool
}

// Task is what the caller does next at one engine.
type Task struct {
	Wanted
	Action Action
}

// Ledger keeps the orders of one pool's engines, one at a time for an engine.
// It is not safe for concurrent use.
type Ledger struct {
	cfg     Config
	entries map[string]*entry
}

type entry struct {
	wanted Wanted
	order  *Order
	// busy is set from a Send or Read task until its result.
	busy bool
}

// NewLedger returns a ledger without orders.
func NewLedger(cfg Config) *Ledger {
	return &Ledger{cfg: cfg, entries: map[string]*entry{}}
}

// Want replaces the wanted states. An engine whose state changed gets a new
// order, also when the old one isn't done: its result is then of no interest,
// and one that arrives late is told apart by its Wanted.
func (l *Ledger) Want(wanted []Wanted) {
	old := l.entries
	l.entries = make(map[string]*entry, len(wanted))
	for _, w := range wanted {
		e := old[w.Engine]
		if e == nil || e.wanted != w {
			e = &entry{wanted: w, order: NewOrder(l.cfg, w.Checks)}
		}
		l.entries[w.Engine] = e
	}
}

// Restarted gives an engine its order again: a new incarnation has lost what
// it was ordered.
func (l *Ledger) Restarted(engine string) {
	if e := l.entries[engine]; e != nil {
		*e = entry{wanted: e.wanted, order: NewOrder(l.cfg, e.wanted.Checks)}
	}
}

// Due gives the tasks that may begin now, in the order of the engines' names,
// at most limit: orders are slow for an engine, and a weight store that all
// engines load from at once is rate-limited. Each task needs its result.
func (l *Ledger) Due(now time.Duration, t *ownership.Tenure, limit int) []Task {
	busy := 0
	var due []Task
	for _, e := range l.entries {
		if e.busy {
			busy++
			continue
		}
		if a := e.order.Step(now, t); a == Send || a == Read {
			due = append(due, Task{e.wanted, a})
		}
	}
	slices.SortFunc(due, func(a, b Task) int { return cmp.Compare(a.Engine, b.Engine) })
	due = due[:min(len(due), max(0, limit-busy))]
	for _, task := range due {
		l.entries[task.Engine].busy = true
	}
	return due
}

// Answered takes the answer to a Send.
func (l *Ledger) Answered(now time.Duration, w Wanted, a Answer) {
	if e := l.current(w); e != nil {
		e.busy = false
		e.order.Answered(now, a)
	}
}

// ReadBack takes the result of a Read. A read that failed says nothing: report
// it with NotRead.
func (l *Ledger) ReadBack(now time.Duration, w Wanted, asWanted bool) {
	if e := l.current(w); e != nil {
		e.busy = false
		e.order.ReadBack(now, asWanted)
	}
}

// NotRead puts a read off that failed.
func (l *Ledger) NotRead(now time.Duration, w Wanted) {
	if e := l.current(w); e != nil {
		e.busy = false
		e.order.schedule(now, Read)
	}
}

// GivenUp lists the engines that don't do as they are told, for operators.
func (l *Ledger) GivenUp() []Wanted {
	var out []Wanted
	for _, e := range l.entries {
		if e.order.next == GiveUp {
			out = append(out, e.wanted)
		}
	}
	slices.SortFunc(out, func(a, b Wanted) int { return cmp.Compare(a.Engine, b.Engine) })
	return out
}

func (l *Ledger) current(w Wanted) *entry {
	e := l.entries[w.Engine]
	if e == nil || e.wanted != w {
		return nil
	}
	return e
}
