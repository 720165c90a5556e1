package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/migration"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
)

// Figures of the moves.
const (
	// copyLimit bounds one copy. The largest prompts take half a second on an
	// idle link, twice that across data centres, and wait behind the copies of
	// other generations.
	copyLimit = 3 * time.Second
	// runPause is the time between two looks whether a run has begun; a prompt
	// is read for some hundred milliseconds.
	runPause = 20 * time.Millisecond
	// reportLimit bounds the question when an engine stops.
	reportLimit = 100 * time.Millisecond
	// askEvery is how often targets are asked whether they are about to stop: a
	// notice is one and a half seconds, of which copies need most.
	askEvery = 200 * time.Millisecond
	// moveTries bounds the destinations that one move asks.
	moveTries = 3
)

// move is one move of a generation away from a target.
type move struct {
	// done is closed when nothing more will come of it.
	done chan struct{}
	// The fields below are set before done is closed.

	// to holds the copy, nil when there is none.
	to      *directory.Seen
	handoff *call.Handoff
}

// runs are the generations in progress on this host.
type runs struct {
	mu  sync.Mutex
	all map[*generation]struct{}
}

func newRuns() *runs { return &runs{all: map[*generation]struct{}{}} }

func (r *runs) add(gen *generation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all[gen] = struct{}{}
}

func (r *runs) remove(gen *generation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.all, gen)
}

func (r *runs) list() []*generation {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*generation, 0, len(r.all))
	for gen := range r.all {
		out = append(out, gen)
	}
	return out
}

// targets gives the engines at which generations of this host run.
func (r *runs) targets() []*directory.Seen {
	seen := map[string]*directory.Seen{}
	for _, gen := range r.list() {
		gen.mu.Lock()
		if gen.at != nil && gen.service.Engine.Moves {
			seen[gen.at.ID] = gen.at
		}
		gen.mu.Unlock()
	}
	return slices.Collect(maps.Values(seen))
}

// Run moves generations off leaving targets until ctx is done.
func (g *Gateway) Run(ctx context.Context) {
	ask := time.NewTicker(askEvery)
	defer ask.Stop()
	for {
		changed := g.cfg.Board.View.Changed()
		if view := g.cfg.Board.View.Get(); view != nil {
			g.leaveTargets(ctx, view)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-g.cfg.Loads.leaving:
		case <-ask.C:
			g.askTargets(ctx)
		}
	}
}

// askTargets asks the engines of this host's generations whether they are
// about to stop, while nobody can say what is published: an engine that is
// taken away while the store is down is gone two seconds later, with all its
// generations. Each question costs a call of the engine's, so nobody asks while
// the store or a peer answers, and the hosts of an engine take turns by chance:
// what one hears the others know a tenth of a second later.
func (g *Gateway) askTargets(ctx context.Context) {
	if !g.cfg.Blind() {
		return
	}
	for _, t := range g.runs.targets() {
		if rand.IntN(max(g.cfg.Loads.Hosts(t.ID), 1)) > 0 {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, reportLimit)
			defer cancel()
			report, err := g.cfg.Engines.Report(ctx, t.Address)
			if err != nil || !report.Leaving && report.LeavesIn <= 0 || g.cfg.Loads.Leaving(t.ID) {
				return
			}
			g.cfg.Log.Info("target says that it leaves", "target", t.ID, "leaves_in", report.LeavesIn)
			g.cfg.Loads.SetLeaving(t.ID)
		}()
	}
}

// leaveTargets begins to move each generation whose target leaves.
func (g *Gateway) leaveTargets(ctx context.Context, view *directory.View) {
	for _, gen := range g.runs.list() {
		if at, m, ok := gen.beginMove(view, g.cfg.Loads); ok {
			go gen.leave(ctx, view, at, m)
		}
	}
}

// beginMove begins a move if the generation's target leaves and none was begun.
func (gen *generation) beginMove(view *directory.View, loads *Loads) (*directory.Seen, *move, bool) {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	if gen.at == nil || gen.move != nil || !gen.service.Engine.Moves {
		return nil, nil, false
	}
	now, known := view.Target(gen.at.ID)
	if known && now.Listed && !now.Leaving && !loads.Leaving(gen.at.ID) {
		return nil, nil, false
	}
	gen.move = &move{done: make(chan struct{})}
	return gen.at, gen.move, true
}

// leave copies the generation's memory to another engine while it runs on, and
// lets it go on there as soon as the copy is whole.
func (gen *generation) leave(ctx context.Context, view *directory.View, from *directory.Seen, m *move) {
	defer close(m.done)
	ctx, cancel := context.WithTimeout(ctx, copyLimit)
	defer cancel()
	begun := time.Now()
	stops := begun.Add(gen.leavesIn(ctx, from))
	if gen.stays(time.Until(stops)) {
		gen.g.cfg.Log.Info("generation stays", "request", gen.ID, "target", from.ID, "leaves_in", time.Until(stops))
		return
	}
	avoid := []string{from.ID}
	for tries := 0; tries < moveTries && gen.started(ctx, m); {
		to, place, ok := gen.g.cfg.Loads.Acquire(view, from.Service, gen.Prompt, Near(from.DataCentre), avoid)
		if !ok {
			break
		}
		result, err := gen.g.cfg.Engines.Move(ctx, from.Address, gen.ID, to.Address, false)
		place.Release()
		gen.g.cfg.Log.Info("generation moved", "request", gen.ID, "from", from.ID, "to", to.ID, "took", time.Since(begun),
			"leaves_in", time.Until(stops), "events", result.Events, "error", err)
		switch failure.KindOf(err) {
		case failure.KindNotFound:
			// The run has not begun yet, or it has ended; both show soon.
			sleep(ctx, runPause)
			continue
		case failure.KindOverloaded:
			avoid = append(avoid, to.ID)
		}
		tries++
		if err == nil {
			m.to, m.handoff = to, &call.Handoff{From: from.Address, Handle: result.Handle}
			gen.leaveLeg()
			return
		}
	}
}

// started waits until the generation has made its first event: before, the
// engine has no run to copy. False when it ended instead.
func (gen *generation) started(ctx context.Context, m *move) bool {
	for gen.progress.Load() == nil {
		select {
		case <-gen.ended:
			return false
		case <-ctx.Done():
			return false
		case <-time.After(runPause):
		}
	}
	select {
	case <-gen.ended:
		return false
	default:
		return ctx.Err() == nil
	}
}

// leaveLeg ends the stream from the engine where the generation runs; closing
// the connection is what makes an engine drop the run.
func (gen *generation) leaveLeg() {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	if gen.cancelLeg != nil {
		gen.cancelLeg()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// leavesIn asks the engine when it stops.
func (gen *generation) leavesIn(ctx context.Context, from *directory.Seen) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	report, err := gen.g.cfg.Engines.Report(ctx, from.Address)
	if err != nil || report.LeavesIn <= 0 {
		return gen.g.cfg.Migration.Notice
	}
	return report.LeavesIn
}

// stays tells whether the generation will most likely end by itself in time.
func (gen *generation) stays(leavesIn time.Duration) bool {
	p := gen.progress.Load()
	expected := expectedEvents(gen.Prompt, gen.service.Engine.TokensPerEvent)
	if p == nil || expected == 0 {
		return false
	}
	return gen.g.cfg.Migration.Stays(migration.TimeLeft(expected, p.events, p.last-p.first), leavesIn)
}

// goOn continues a generation whose stream ended early with why: from the copy
// of a move, else at another engine where the route allows it.
func (gen *generation) goOn(ctx context.Context, why error) (*leg, error) {
	gen.mu.Lock()
	m := gen.move
	gen.mu.Unlock()
	if m != nil {
		select {
		case <-m.done:
		case <-ctx.Done():
			return nil, why
		}
		if l, err := gen.takeOver(ctx, m); err == nil {
			return l, nil
		} else if m.handoff != nil {
			why = err
		}
	}
	return nil, why
}

// takeOver sends the request to the engine that holds the copy.
func (gen *generation) takeOver(ctx context.Context, m *move) (*leg, error) {
	if m.handoff == nil {
		return nil, failure.New(failure.KindGenerationGone, "no copy of the generation")
	}
	s := gen.send(m.to)
	s.Resume, s.After = m.handoff, gen.lastID
	l, err := gen.open(ctx, s, m.to, gen.g.cfg.Loads.Hold(m.to.ID, gen.Prompt))
	if err == nil {
		gen.moves++
	}
	return l, err
}
