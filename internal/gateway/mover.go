package gateway

import (
	"context"
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
	// reportLimit bounds the question when an engine stops.
	reportLimit = 100 * time.Millisecond
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
	// stopped is set when the generation was stopped at its target for good.
	stopped bool
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

// Run moves generations off leaving targets until ctx is done.
func (g *Gateway) Run(ctx context.Context) {
	for {
		changed := g.cfg.Board.View.Changed()
		if view := g.cfg.Board.View.Get(); view != nil {
			g.leaveTargets(ctx, view)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// leaveTargets begins to move each generation whose target leaves.
func (g *Gateway) leaveTargets(ctx context.Context, view *directory.View) {
	for _, gen := range g.runs.list() {
		gen.mu.Lock()
		at, moving := gen.at, gen.move != nil
		gen.mu.Unlock()
		if at == nil || moving {
			continue
		}
		now, known := view.Target(at.ID)
		if known && now.Listed && !now.Leaving {
			continue
		}
		if service, ok := view.Service(at.Service); !ok || service.Engine == nil || !service.Engine.Moves {
			continue
		}
		gen.mu.Lock()
		gen.move = &move{done: make(chan struct{})}
		m := gen.move
		gen.mu.Unlock()
		go gen.leave(ctx, view, at, m)
	}
}

// leave copies the generation's memory to another engine while it runs on, and
// then stops it and copies the rest, so that the pause is a few milliseconds.
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
	for range moveTries {
		to, release, ok := gen.g.cfg.Loads.Acquire(view, from.Service, gen.tokens, Near(from.DataCentre), avoid)
		if !ok {
			break
		}
		copies, err := gen.copyTo(ctx, from, to, stops, m)
		release()
		gen.g.cfg.Log.Info("generation moved", "request", gen.ID, "from", from.ID, "to", to.ID, "took", time.Since(begun),
			"leaves_in", time.Until(stops), "copies", copies, "stopped", m.stopped, "error", err)
		if m.stopped || failure.KindOf(err) == failure.KindNotFound {
			return
		}
		avoid = append(avoid, to.ID)
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
	if p == nil || gen.Prompt.LengthHint == 0 {
		return false
	}
	expected := gen.Prompt.LengthHint / max(gen.service.Engine.TokensPerEvent, 1)
	return gen.g.cfg.Migration.Stays(migration.TimeLeft(expected, p.events, p.last-p.first), leavesIn)
}

// copyTo copies until the link is free or time is short, then stops the
// generation. It gives the number of copies.
func (gen *generation) copyTo(ctx context.Context, from, to *directory.Seen, stops time.Time, m *move) (int, error) {
	for copies := 1; ; copies++ {
		begun := time.Now()
		result, err := gen.g.cfg.Engines.Move(ctx, from.Address, gen.ID, to.Address, false)
		if err != nil {
			return copies, err
		}
		m.to, m.handoff = to, &call.Handoff{From: from.Address, Handle: result.Handle}
		if gen.g.cfg.Migration.Next(time.Since(begun), time.Until(stops)) == migration.Stop {
			return copies + 1, gen.stop(ctx, from, to, m)
		}
	}
}

// stop stops the generation for good and copies the rest.
func (gen *generation) stop(ctx context.Context, from, to *directory.Seen, m *move) error {
	result, err := gen.g.cfg.Engines.Move(ctx, from.Address, gen.ID, to.Address, true)
	if result.Handle != "" {
		m.handoff = &call.Handoff{From: from.Address, Handle: result.Handle}
		m.stopped = true
	}
	return err
}

// goOn continues a generation whose stream ended early with why: from the copy
// of a move, else at another engine where the route allows it.
func (gen *generation) goOn(ctx context.Context, why error) (*leg, error) {
	gen.mu.Lock()
	m, from := gen.move, gen.at
	gen.mu.Unlock()
	if m != nil {
		select {
		case <-m.done:
		case <-ctx.Done():
			return nil, why
		}
		if l, err := gen.takeOver(ctx, m, from); err == nil {
			return l, nil
		} else if m.handoff != nil {
			why = err
		}
	}
	return nil, why
}

// takeOver sends the request to the engine that holds the copy and, when that
// does not take it, to the one that stopped.
func (gen *generation) takeOver(ctx context.Context, m *move, from *directory.Seen) (*leg, error) {
	if m.handoff == nil {
		return nil, failure.New(failure.KindGenerationGone, "no copy of the generation")
	}
	targets := []*directory.Seen{m.to}
	if m.stopped {
		targets = append(targets, from)
	}
	var last error
	for _, t := range targets {
		s := gen.send(t)
		s.Resume, s.After = m.handoff, gen.lastID
		l, err := gen.open(ctx, s, t, gen.g.cfg.Loads.Hold(t.ID, gen.tokens))
		if err == nil {
			gen.moves++
			return l, nil
		}
		last = err
	}
	return nil, last
}
