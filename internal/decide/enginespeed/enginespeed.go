// Package enginespeed learns how quickly each engine makes tokens.
//
// Load pattern: engines of one service differ in speed, some by a third, and
// nobody publishes it. Each lives for half a minute or less, so a host that
// knows only its own generations learns an engine's speed when it is about to
// leave.
//
// What happens without it: many long generations run on slow engines, and each
// stays in progress, and can be lost with its engine or host, that much longer.
//
// How it works: events of a stream are timed over windows of some events, since
// single ones come bunched. Prompts that are read beside a generation slow its
// tokens to half for a moment; an estimate near the quickest windows is that of
// the engine alone. Hosts tell each other their estimates.
//
// It is not safe for concurrent use.
package enginespeed

import (
	"slices"
	"time"
)

const (
	// WindowEvents is the number of events that are timed together: 0.3 s of a
	// stream, longer than any bunch of events seen and shorter than the reading
	// of most prompts.
	WindowEvents = 8
	// fall and rise are the parts of the way that an estimate goes towards a
	// shorter and a longer sample. Their ratio makes it settle where one window
	// in ten is shorter, which is what is left when prompts are read for a sixth
	// of the time and an engine turns slower now and then.
	fall, rise = 0.3, 0.03
	// leastPart of the estimate is a sample that says nothing of the engine: a
	// host that was paused gets all events of that time at once.
	leastPart = 0.25
	// tellPart is the change of an estimate that others are told.
	tellPart = 0.1
)

// Estimator holds the estimates known to one host.
type Estimator struct{ of map[string]*estimate }

// estimate is what is known of one engine; times are for one token.
type estimate struct{ own, heard, told time.Duration }

// New returns a board without estimates.
func New() *Estimator { return &Estimator{of: map[string]*estimate{}} }

func (b *Estimator) get(target string) *estimate {
	e := b.of[target]
	if e == nil {
		e = &estimate{}
		b.of[target] = e
	}
	return e
}

// AddSample takes the time for one token, measured over a window. It tells whether
// other hosts should be told the estimate, which Step gives.
func (b *Estimator) AddSample(target string, perToken time.Duration) bool {
	e := b.get(target)
	known := e.step()
	switch {
	case perToken <= 0 || float64(perToken) < leastPart*float64(known):
		return false
	case e.own == 0:
		e.own = perToken
	case perToken < e.own:
		e.own -= time.Duration(fall * float64(e.own-perToken))
	default:
		e.own += time.Duration(rise * float64(perToken-e.own))
	}
	change := float64(e.own-e.told) / float64(e.own)
	if max(change, -change) < tellPart {
		return false
	}
	e.told = e.own
	return true
}

// SetRemote takes another host's estimate.
func (b *Estimator) SetRemote(target string, perToken time.Duration) {
	if perToken > 0 {
		b.get(target).heard = perToken
	}
}

// step is the host's own estimate, else the one it heard; 0 for none. Of two
// the shorter one has seen the engine with less beside it.
func (e *estimate) step() time.Duration {
	if e.own == 0 || e.heard == 0 {
		return max(e.own, e.heard)
	}
	return min(e.own, e.heard)
}

// TimePerToken gives the time that an engine alone takes for one token; 0 when nothing
// is known of it.
func (b *Estimator) TimePerToken(target string) time.Duration {
	if e := b.of[target]; e != nil {
		return e.step()
	}
	return 0
}

// Median is the median of all engines that are known; 0 when none is. It stands
// in for those that just joined.
func (b *Estimator) Median() time.Duration {
	var all []time.Duration
	for _, e := range b.of {
		if step := e.step(); step > 0 {
			all = append(all, step)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// Retain drops the engines that are not known any more.
func (b *Estimator) Retain(known func(target string) bool) {
	for target := range b.of {
		if !known(target) {
			delete(b.of, target)
		}
	}
}

// Window times the events of one stream from one engine.
type Window struct {
	events int
	began  time.Duration
}

// Add takes an event's time on any steady clock. Once a window is full it
// gives the time that an event took on the mean.
func (w *Window) Add(at time.Duration) (time.Duration, bool) {
	w.events++
	if w.events == 1 {
		w.began = at
		return 0, false
	}
	if w.events <= WindowEvents {
		return 0, false
	}
	mean := (at - w.began) / WindowEvents
	w.events, w.began = 1, at
	return mean, true
}
