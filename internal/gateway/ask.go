package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"filbertdeck/internal/decide/placement"
	"filbertdeck/internal/decide/targetload"
	"filbertdeck/internal/directory"
)

// TargetRef is a target, as it has an owner of its counts.
type TargetRef struct{ ID, DataCentre string }

// QueryOwner tells the owner of a target's counts what this host has running
// there and gives what the owner knows of it; false without an answer.
//
// Load pattern: hundreds of hosts place some fifty prompts a second, and news of
// a choice take tenths of a second to reach all of them. In that time several
// chose the same engine that looked idle to each: its prompts waited for seconds
// and its memory ran out, while others had room; and all loads passed through
// all hosts. Each target has one host, by rendezvous hashing, to which every
// chooser tells its choice, and whom it asks for the others' before it chooses.
// No promise rests on it: without an answer, or where two hosts take themselves
// for the owner, choices are made by what is known.
type QueryOwner func(target TargetRef, own []targetload.HostLoad) ([]targetload.HostLoad, bool)

const (
	// askTries bounds the owners asked for one request: each costs a round trip
	// of some milliseconds.
	askTries = 3
	// betterBy is the time that another target must save to be chosen in place
	// of one whose owner was told already.
	betterBy = 100 * time.Millisecond
)

// SetOwnerQuery sets how owners are asked; nobody is until then.
func (l *TargetLoads) SetOwnerQuery(ask QueryOwner) { l.askOwner = ask }

// AnswerOwnerQuery takes what another host has running at targets, and gives all that is
// known here of those.
func (l *TargetLoads) AnswerOwnerQuery(counts []targetload.HostLoad) []targetload.HostLoad {
	l.MergeLoads("", counts)
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []targetload.HostLoad
	for _, c := range counts {
		all = append(all, l.share.ForTarget(l.now(), c.Target)...)
	}
	return all
}

// askAbout asks the owners of some targets at once for a generation and takes
// what they know; false when none answered. What runs at a plain service is over
// before it could be told.
func (l *TargetLoads) askAbout(w Wanted, looked pool) bool {
	if w.Prompt.Tokens == 0 || !l.asks() {
		return false
	}
	var wg sync.WaitGroup
	var answered atomic.Bool
	for _, o := range looked {
		wg.Go(func() {
			if l.askFor(o.target) {
				answered.Store(true)
			}
		})
	}
	wg.Wait()
	return answered.Load()
}

// asks tells whether owners are asked.
func (l *TargetLoads) asks() bool { return l.askOwner != nil && l.SendsToOwnersOnly() }

// askFor tells a target's owner what this host has there and takes what the
// owner knows; false without an answer.
func (l *TargetLoads) askFor(t *directory.ObservedTarget) bool {
	l.mu.Lock()
	own := l.share.Local(t.ID)
	l.mu.Unlock()
	counts, answered := l.askOwner(TargetRef{t.ID, t.DataCentre}, []targetload.HostLoad{own})
	if !answered {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share.ReplaceTarget(l.now(), t.ID, counts)
	l.learn(counts)
	return true
}

// verify asks the owner of a place's target, and goes to another of the targets
// looked at while that is better; after the last question only to one whose
// owner was asked.
func (l *TargetLoads) verify(view *directory.View, w Wanted, looked pool, place *Place) *Place {
	var asked pool
	for try := range askTries {
		if !l.ask(place) {
			break
		}
		asked = append(asked, option{place.chosen, place.at})
		if try == askTries-1 {
			looked = asked
		}
		other := l.better(view, w, looked, place)
		if other == nil {
			break
		}
		place.Release()
		// Without this the owner would count it there until news come around, and
		// send others away from an engine that has room.
		l.ask(place)
		place = other
	}
	return place
}

// ask tells a target's owner of a place there and takes what it knows; false
// when nobody was asked or answered.
func (l *TargetLoads) ask(p *Place) bool { return l.asks() && l.askFor(p.at) }

// better takes a place at another of the targets looked at, where by now a
// request adds less than at its place; nil when there is none.
func (l *TargetLoads) better(view *directory.View, w Wanted, looked pool, p *Place) *Place {
	l.mu.Lock()
	defer l.mu.Unlock()
	others := l.renew(view, w, slices.DeleteFunc(slices.Clone(looked), func(o option) bool { return o.target.ID == p.target }))
	sums, usual := l.share.Totals(l.now()), l.speed.Median()
	here := l.candidate(view, p.at, w.Near, sums[p.target].Others.Sub(p.load), usual)
	best := others.choose(l.draw, w)
	if best == nil || placement.MarginalDelay(best.Candidate, w.work())+betterBy > placement.MarginalDelay(here, w.work()) {
		return nil
	}
	return l.take(best, w.Prompt)
}
