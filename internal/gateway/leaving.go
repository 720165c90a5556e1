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

// generationSet holds the generations in progress on this host.
type generationSet struct {
	mu  sync.Mutex
	all map[*generation]struct{}
}

func newGenerationSet() *generationSet { return &generationSet{all: map[*generation]struct{}{}} }

func (s *generationSet) add(gen *generation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all[gen] = struct{}{}
}

func (s *generationSet) remove(gen *generation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, gen)
}

func (s *generationSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all)
}

func (s *generationSet) list() []*generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*generation, 0, len(s.all))
	for gen := range s.all {
		out = append(out, gen)
	}
	return out
}

// targets returns the engines at which movable generations of this host run.
func (s *generationSet) targets() []*directory.ObservedTarget {
	seen := map[string]*directory.ObservedTarget{}
	for _, gen := range s.list() {
		gen.mu.Lock()
		if gen.target != nil && gen.movable() {
			seen[gen.target.ID] = gen.target
		}
		gen.mu.Unlock()
	}
	return slices.Collect(maps.Values(seen))
}

// MoveGenerations moves generations off leaving targets until ctx is done.
func (g *Gateway) MoveGenerations(ctx context.Context) {
	ticker := time.NewTicker(disconnectedCheckInterval)
	defer ticker.Stop()
	var lastCheck healthCheckState
	for {
		changed := g.cfg.Board.View.Changed()
		if view := g.cfg.Board.View.Get(); view != nil {
			g.moveFromLeavingTargets(ctx, view)
			g.cfg.Loads.Prune(view)
			g.paths.prune(view)
			g.longestTimes.prune(view)
			g.versions.observe(view)
			g.origins.prune(view)
			g.origins.tellPending()
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-g.cfg.Loads.targetLeaving:
		case <-ticker.C:
			lastCheck = g.checkTargets(ctx, lastCheck)
		}
	}
}

// healthCheckState describes this host's last round of health checks at the
// engines of its generations; the zero value means that there was none since the
// host last had access to the published state.
type healthCheckState struct {
	// disconnected is set when the host had no access to the published state at
	// checkedAt, a time of the process's monotonic clock.
	disconnected bool
	checkedAt    time.Duration
}

// checkTargets checks the health of the engines of this host's generations, to
// learn whether they are about to stop, while the host has no access to the
// published state. An engine that is taken away while the configuration store is down is
// gone two seconds later, with all its generations. The health answer is
// current, while load reports are half a second old, which is a third of the
// notice. Each check costs the engine a call, so none is made while the store
// or a peer answers, and after the first round only some of an engine's hosts
// check it: what one learns reaches the others a tenth of a second later.
func (g *Gateway) checkTargets(ctx context.Context, last healthCheckState) healthCheckState {
	if !g.cfg.Disconnected() {
		return healthCheckState{}
	}
	now := g.cfg.Now()
	if last.disconnected && now-last.checkedAt < healthCheckInterval {
		return last
	}
	for _, t := range g.generations.targets() {
		if storeoutage.ShouldAsk(!last.disconnected, g.cfg.Loads.HostsUsing(t.ID), rand.Float64()) {
			go g.checkTarget(ctx, t)
		}
	}
	return healthCheckState{true, now}
}

// checkClosingTarget checks the health of a target that closes a connection. A
// target about to stop does so, but it also closes connections at other times.
func (g *Gateway) checkClosingTarget(t *directory.ObservedTarget) {
	if acceptsNewWork(g.view(), t.Target) {
		go g.checkTarget(context.Background(), t)
	}
}

func (g *Gateway) checkTarget(ctx context.Context, t *directory.ObservedTarget) {
	service, known := g.view().Service(t.Service)
	if !known || g.cfg.Loads.IsLeaving(t.Target) || g.cfg.Loads.RestRemaining(t.Target) > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	health, err := g.engineClient(t.Target).Health(ctx, t.Address, service.HealthPath)
	g.observeNotice(t.Target, health.TargetNotice, "health check")
	if err != nil {
		g.recordInvalidAnswer(t.Target, err, sourceAttr("health check"))
		g.cfg.Log.Debug("health check failed", "target", t.ID, "error", err)
		return
	}
	g.cfg.Loads.RecordCold(t.ID, health.ColdFor)
	if health.OK || health.Busy {
		return
	}
	g.cfg.Log.Info("target's health check says that it leaves", "target", t.ID)
	g.cfg.Loads.SetLeaving(t.ID)
}

// moveFromLeavingTargets starts to move each generation whose target leaves.
func (g *Gateway) moveFromLeavingTargets(ctx context.Context, view *directory.View) {
	for _, gen := range g.generations.list() {
		if target, m, ok := gen.beginMove(view, g.cfg.Loads); ok {
			go gen.moveAway(ctx, target, m)
		}
	}
}

// movable reports whether the service's targets can copy running generations to
// each other. Those of plain services that answer with a stream cannot.
func (gen *generation) movable() bool {
	e := gen.service.Engine
	return e != nil && e.CanMigrate
}

// beginMove begins a move if the generation's target leaves and no move was
// begun, or another may follow the last one.
func (gen *generation) beginMove(view *directory.View, loads *TargetLoads) (*directory.ObservedTarget, *move, bool) {
	leaves := func(target *directory.ObservedTarget) bool {
		now, known := view.Target(target.ID)
		return !known || !now.Published || now.Leaving || loads.IsLeaving(target.Target)
	}
	gen.allowNextMove(leaves)
	return gen.beginMoveIf(leaves)
}

// allowNextMove has another move follow one that has ended, once the target no longer leaves:
// what was found out about its stop does not hold when it leaves again.
func (gen *generation) allowNextMove(leaves func(target *directory.ObservedTarget) bool) {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	if m := gen.move; m != nil && m.isDone() && !m.lost && !leaves(gen.target) {
		m.mayRepeat.Store(true)
	}
}

// beginMoveIf is beginMove for another reason to leave the target.
func (gen *generation) beginMoveIf(leaves func(target *directory.ObservedTarget) bool) (*directory.ObservedTarget, *move, bool) {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	if gen.target == nil || gen.continuing || gen.move != nil && !gen.move.mayRepeat.Load() || !gen.movable() || !leaves(gen.target) {
		return nil, nil, false
	}
	next := &move{done: make(chan struct{}), streamEnded: make(chan struct{})}
	if last := gen.move; last != nil {
		next.copy, next.copiesAsked, next.retryRefused, next.waitsSince = last.copy, last.copiesAsked, last.retryRefused, last.waitsSince
	}
	gen.move = next
	return gen.target, gen.move, true
}
