package gateway

import (
	"math/rand/v2"
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/placement"
	"filbertdeck/internal/decide/targetload"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/wake"
)

const (
	// leastNearby is the number of targets in a data centre from which a large
	// fleet looks for the destination of a move only there.
	leastNearby = 5
	// crowdedLook is how many times as many targets are looked at when the best
	// of a sample is crowded.
	crowdedLook = 3
)

// Wanted is what a request wants of a target.
type Wanted struct {
	Service string
	Prompt  call.Prompt
	// Within is the time to the first event that the route promises; 0 for none.
	Within time.Duration
	Near   Nearness
	// Avoid are targets that are left out.
	Avoid []string
}

// work is what a generation asks of an engine.
func (w Wanted) work() placement.Workload {
	return placement.Workload{PromptTokens: w.Prompt.Tokens, OutputTokens: expectedOutput(w.Prompt), FirstTokenObjective: w.Within}
}

// Acquire chooses a target for a request and counts it there until the place
// is released; false when there is none. In a large fleet it asks the hosts that
// have the newest counts of some targets, chooses among these, and tells the
// owner of the one it chose.
//
// Where all targets are at the rates they named, or one named its rate so long ago
// that it may take more, it borrows a request from a host that shares the rate.
func (l *TargetLoads) Acquire(view *directory.View, w Wanted) (*directory.ObservedTarget, *Place, bool) {
	l.borrowAny(view, w, l.stale)
	t, place, ok := l.acquire(view, w)
	if !ok && l.borrowAny(view, w, always) {
		return l.acquire(view, w)
	}
	return t, place, ok
}

// acquire is Acquire by the requests that this host has of targets' rates.
func (l *TargetLoads) acquire(view *directory.View, w Wanted) (*directory.ObservedTarget, *Place, bool) {
	looked, first := l.sample(view, w)
	answered := l.askAbout(w, looked[:first])
	place, crowded := l.choose(view, w, looked[:first], first < len(looked))
	if crowded {
		answered = l.askAbout(w, looked[first:]) || answered
		place, _ = l.choose(view, w, looked, false)
	}
	if place == nil {
		return nil, nil, false
	}
	if answered {
		place = l.verify(view, w, looked, place)
	}
	return place.at, place, true
}

// sample draws the targets that are looked at: so many at first, the rest when
// the best of these is crowded.
func (l *TargetLoads) sample(view *directory.View, w Wanted) (looked pool, first int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	pool := l.pool(view, w)
	first = l.lookAt(len(pool))
	if first < len(pool) {
		// A data centre has a part of the engines, so a sample of all finds about
		// one engine there, however full it is.
		pool = pool.nearby(w.Near.dataCentre)
		first = l.lookAt(len(pool))
	}
	more := min(crowdedLook*first, len(pool))
	pool.shuffle(l.draw, more)
	return pool[:more], first
}

// lookAt gives the number of targets to look at of so many.
func (l *TargetLoads) lookAt(targets int) int {
	if l.askOwner != nil && !placement.KnowsRecentChoices(l.hosts()) {
		return placement.QueriedTargets(targets)
	}
	return placement.SampleSize(targets, l.hosts())
}

// choose takes a place at the best of some targets; nil when there is none. With
// others left to look at it takes none where the best is crowded.
func (l *TargetLoads) choose(view *directory.View, w Wanted, looked pool, others bool) (p *Place, crowded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	best := l.renew(view, w, looked).choose(l.draw, w)
	if best == nil {
		return nil, others
	}
	if others && placement.PreemptionLikely(best.Candidate, tokensOf(w.Prompt)) {
		return nil, true
	}
	return l.take(best, w.Prompt), false
}

// renew gives those of some targets that still bear work, with what is known of
// them by now.
func (l *TargetLoads) renew(view *directory.View, w Wanted, looked pool) pool {
	sums, alerts, usual := l.share.Totals(l.now()), l.alerts.Totals(l.now()), l.speed.Median()
	out := make(pool, 0, len(looked))
	for _, o := range looked {
		if !alerts[o.target.ID].Leaving && l.bears(view, o.target) && l.withinRate(o.target.ID) {
			out = append(out, option{l.candidate(view, o.target, w.Near, sums[o.target.ID].Others, usual), o.target})
		}
	}
	return out
}

// take counts a request at the target that was chosen for it.
func (l *TargetLoads) take(o *option, p call.Prompt) *Place {
	place := l.place(o.target.ID, p)
	place.at, place.chosen = o.target, o.Candidate
	return place
}

// Keep chooses a target that keeps a backup of a generation which runs at
// another, and counts its memory there; false when none has room.
func (l *TargetLoads) Keep(view *directory.View, p call.Prompt, runs *directory.ObservedTarget) (*directory.ObservedTarget, *Place, bool) {
	w := Wanted{Service: runs.Service, Near: Away(runs.DataCentre), Avoid: []string{runs.ID}}
	looked, first := l.sample(view, w)
	looked = looked[:first]
	l.askAbout(Wanted{Prompt: p}, looked)
	l.mu.Lock()
	defer l.mu.Unlock()
	pool := l.renew(view, w, looked)
	if !placement.HasRoomForBackups(pool.candidates()) {
		return nil, nil, false
	}
	i := placement.ChooseBackupEngine(pool.candidates(), tokensOf(p), l.draw.Float64())
	if i < 0 {
		return nil, nil, false
	}
	keeper := pool[i].target
	return keeper, l.count(keeper.ID, targetload.Load{BackupTokens: tokensOf(p)}), true
}

// Stepped takes the time that an engine took for one token of a stream.
func (l *TargetLoads) Stepped(target string, perToken time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.speed.AddSample(target, perToken) {
		l.share.SetTimePerToken(l.now(), target, l.speed.TimePerToken(target))
		wake.Signal(l.changed)
	}
}

// option is a target that may be chosen, with what is known of it.
type option struct {
	placement.Candidate
	target *directory.ObservedTarget
}

// pool holds the targets that a choice is made among.
type pool []option

func (p pool) candidates() []placement.Candidate {
	out := make([]placement.Candidate, len(p))
	for i := range p {
		out[i] = p[i].Candidate
	}
	return out
}

// choose gives the best target for a request, nil for none.
func (p pool) choose(draw *rand.Rand, w Wanted) *option {
	i := -1
	if w.Prompt.Tokens == 0 {
		i = placement.ChooseLeastLoaded(p.candidates(), 0, draw.Float64())
	} else {
		i = placement.ChooseEngine(p.candidates(), w.work(), draw.Float64())
	}
	if i < 0 {
		return nil
	}
	return &p[i]
}

// nearby gives the targets in a data centre where it has enough of them, else
// all; an empty name stands for no data centre.
func (p pool) nearby(dataCentre string) pool {
	var near pool
	for _, o := range p {
		if o.target.DataCentre == dataCentre {
			near = append(near, o)
		}
	}
	if len(near) < leastNearby {
		return p
	}
	return near
}

// shuffle brings so many targets, drawn at random, to the front.
func (p pool) shuffle(draw *rand.Rand, size int) {
	for i := range size {
		j := i + draw.IntN(len(p)-i)
		p[i], p[j] = p[j], p[i]
	}
}
