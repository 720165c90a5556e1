package gateway

import (
	"time"

	"filbertdeck/internal/decide/loadshare"
	"filbertdeck/internal/decide/placement"
	"filbertdeck/internal/directory"
)

// AskOwner tells the owner of a target's counts what this host has running
// there and gives what the owner knows of it; false without an answer.
//
// Load pattern: 84 hosts place 66 prompts a second, and news of a choice reach
// all of them after 0.1 to 0.4 s. In that time five hosts chose the same engine
// that looked idle to each: its prompts waited for seconds and its memory ran
// out, while others had room. Each target has one host, by rendezvous hashing,
// that every chooser tells of its choice and asks for the others' before it
// sends. No promise rests on it: without an answer, or where two hosts take
// themselves for the owner, choices are as good as by the news alone.
type AskOwner func(target string, own []loadshare.Count) ([]loadshare.Count, bool)

const (
	// askTries bounds the owners asked for one request: each costs a round trip
	// of some milliseconds.
	askTries = 3
	// betterBy is the time that another target must save to be chosen in place
	// of one whose owner was told already.
	betterBy = 100 * time.Millisecond
)

// AskOwners sets how owners are asked; nobody is until then.
func (l *Loads) AskOwners(ask AskOwner) { l.askOwner = ask }

// Answer takes what another host has running at a target, and gives all that is
// known of the target here.
func (l *Loads) Answer(counts []loadshare.Count) []loadshare.Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.merge("", counts)
	var all []loadshare.Count
	for _, c := range counts {
		all = append(all, l.share.Of(l.now(), c.Target)...)
	}
	return all
}

// verify asks the owner of a place's target, and goes to another of the targets
// looked at while that is better; after the last question only to one whose
// owner was asked.
func (l *Loads) verify(view *directory.View, w Wanted, looked pool, place *Place) *Place {
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
func (l *Loads) ask(p *Place) bool {
	l.mu.Lock()
	ask := l.askOwner
	if ask == nil || placement.Exact(l.hosts()) {
		l.mu.Unlock()
		return false
	}
	own := l.share.Own(p.target)
	l.mu.Unlock()
	counts, answered := ask(p.target, []loadshare.Count{own})
	if !answered {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.merge("", counts)
	return true
}

// better takes a place at another of the targets looked at, where by now a
// request adds less than at its place; nil when there is none.
func (l *Loads) better(view *directory.View, w Wanted, looked pool, p *Place) *Place {
	l.mu.Lock()
	defer l.mu.Unlock()
	sums, usual := l.share.Sums(l.now()), l.speed.Usual()
	here := l.candidate(view, p.at, w.Near, sums[p.target].Others.Minus(p.load), usual)
	cost := placement.Delay(here, w.work())
	var others pool
	for _, o := range looked {
		if o.target.ID != p.target && !sums[o.target.ID].Leaving && l.bears(view, o.target) {
			others = append(others, option{l.candidate(view, o.target, w.Near, sums[o.target.ID].Others, usual), o.target})
		}
	}
	best := others.choose(l.draw, w)
	if best == nil || placement.Delay(best.Candidate, w.work())+betterBy > cost {
		return nil
	}
	return l.take(best, w.Prompt)
}
