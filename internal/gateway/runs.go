package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"filbertdeck/internal/decide/storeoutage"
	"filbertdeck/internal/directory"
)

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

func (r *runs) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.all)
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
func (r *runs) targets() []*directory.ObservedTarget {
	seen := map[string]*directory.ObservedTarget{}
	for _, gen := range r.list() {
		gen.mu.Lock()
		if gen.at != nil && gen.movable() {
			seen[gen.at.ID] = gen.at
		}
		gen.mu.Unlock()
	}
	return slices.Collect(maps.Values(seen))
}

// MoveGenerations moves generations off leaving targets until ctx is done.
func (g *Gateway) MoveGenerations(ctx context.Context) {
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	var asking askRound
	for {
		changed := g.cfg.Board.View.Changed()
		if view := g.cfg.Board.View.Get(); view != nil {
			g.leaveTargets(ctx, view)
			g.cfg.Loads.Prune(view)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-g.cfg.Loads.leaving:
		case <-look.C:
			asking = g.askTargets(ctx, asking)
		}
	}
}

// askRound is a host's last round of questions to the engines of its
// generations.
type askRound struct {
	// blind says that the host was blind then, at a time on the steady clock.
	blind bool
	at    time.Duration
}

// askTargets asks the engines of this host's generations whether they are
// about to stop, while nobody can say what is published: an engine that is
// taken away while the store is down is gone two seconds later, with all its
// generations. It asks for their health, which is as of now: reports are half a
// second old, a third of the notice. Each question costs a call of the engine's,
// so nobody asks while the store or a peer answers, and after the first round
// few of the hosts of an engine ask it: what one hears the others know a tenth
// of a second later.
func (g *Gateway) askTargets(ctx context.Context, last askRound) askRound {
	if !g.cfg.Disconnected() {
		return askRound{}
	}
	now := g.cfg.Now()
	if last.blind && now-last.at < askEvery {
		return last
	}
	for _, t := range g.runs.targets() {
		if storeoutage.ShouldAsk(!last.blind, g.cfg.Loads.Hosts(t.ID), rand.Float64()) {
			go g.askTarget(ctx, t)
		}
	}
	return askRound{true, now}
}

// checkLeaving asks a target that closes a connection whether it is about to
// stop: it closes some at other times too.
func (g *Gateway) checkLeaving(t *directory.ObservedTarget) {
	if takesNew(g.view(), t.Target) {
		go g.askTarget(context.Background(), t)
	}
}

func (g *Gateway) askTarget(ctx context.Context, t *directory.ObservedTarget) {
	service, known := g.view().Service(t.Service)
	if !known || g.cfg.Loads.Leaving(t.ID) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, healthLimit)
	defer cancel()
	health, err := g.cfg.Engines.Health(ctx, t.Address, service.HealthPath)
	if err != nil {
		g.cfg.Log.Debug("target does not tell its health", "target", t.ID, "error", err)
		return
	}
	if health.OK || health.Busy {
		return
	}
	g.cfg.Log.Info("target says that it leaves", "target", t.ID)
	g.cfg.Loads.SetLeaving(t.ID)
}

// leaveTargets begins to move each generation whose target leaves.
func (g *Gateway) leaveTargets(ctx context.Context, view *directory.View) {
	for _, gen := range g.runs.list() {
		if at, m, ok := gen.beginMove(view, g.cfg.Loads); ok {
			go gen.leave(ctx, at, m)
		}
	}
}

// movable tells whether the service's targets copy running generations to each
// other; those of plain services that answer with a stream don't.
func (gen *generation) movable() bool {
	e := gen.service.Engine
	return e != nil && e.CanMigrate
}

// beginMove begins a move if the generation's target leaves and none was begun.
func (gen *generation) beginMove(view *directory.View, loads *TargetLoads) (*directory.ObservedTarget, *move, bool) {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	if gen.at == nil || gen.move != nil || !gen.movable() {
		return nil, nil, false
	}
	now, known := view.Target(gen.at.ID)
	if known && now.Published && !now.Leaving && !loads.Leaving(gen.at.ID) {
		return nil, nil, false
	}
	gen.move = &move{done: make(chan struct{})}
	return gen.at, gen.move, true
}
