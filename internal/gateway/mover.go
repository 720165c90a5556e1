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
	// switchLimit bounds the wait for the engine that a generation goes over
	// to: a few hops and the reading of some ten tokens take a few hundredths
	// of a second; both engines must not work on it for 0.4 s.
	switchLimit = 300 * time.Millisecond
	// moveTries bounds the destinations that one move asks.
	moveTries = 3
)

// move is one move of a generation away from a target.
type move struct {
	// done is closed when nothing more will come of it.
	done chan struct{}
	// to holds a copy that the generation did not go over to yet, nil when
	// there is none. It is set before done is closed.
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

// leave lets the generation go on at another engine: where its backup lies, or
// where its memory was copied while it ran on.
func (gen *generation) leave(ctx context.Context, view *directory.View, from *directory.Seen, m *move) {
	defer close(m.done)
	ctx, cancel := context.WithTimeout(ctx, copyLimit)
	defer cancel()
	if !gen.started(ctx) || gen.useBackup(view) {
		return
	}
	begun := time.Now()
	stops := begun.Add(gen.leavesIn(ctx, from))
	if gen.stays(time.Until(stops)) {
		gen.g.cfg.Log.Info("generation stays", "request", gen.ID, "target", from.ID, "leaves_in", time.Until(stops))
		return
	}
	avoid := []string{from.ID}
	for tries := 0; tries < moveTries && gen.started(ctx); {
		to, place, ok := gen.g.cfg.Loads.Acquire(view, from.Service, gen.Prompt, Near(from.DataCentre), avoid)
		if !ok {
			break
		}
		result, err := gen.g.cfg.Engines.Move(ctx, from.Address, gen.ID, to.Address, false)
		gen.g.cfg.Log.Info("generation copied", "request", gen.ID, "from", from.ID, "to", to.ID, "took", time.Since(begun),
			"leaves_in", time.Until(stops), "events", result.Events, "error", err)
		if err == nil {
			m.to, m.handoff = to, &call.Handoff{From: from.Address, Handle: result.Handle}
			err = gen.switchTo(to, m.handoff, place)
			if err == nil {
				return
			}
			gen.g.cfg.Log.Info("copy not taken", "request", gen.ID, "to", to.ID, "error", err)
			gen.dropCopy(from, m)
		}
		place.Release()
		if failure.KindOf(err) == failure.KindNotFound {
			// The run has not begun yet, or it has ended; both show soon.
			sleep(ctx, runPause)
			continue
		}
		avoid = append(avoid, to.ID)
		tries++
	}
}

// dropCopy frees a copy that the generation won't go over to any more, since
// it has ended: the copy would hold memory at an engine for seconds.
func (gen *generation) dropCopy(from *directory.Seen, m *move) {
	select {
	case <-gen.ended:
	default:
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportLimit)
	defer cancel()
	if err := gen.g.cfg.Engines.Drop(ctx, from.Address, m.handoff.Handle); err != nil {
		gen.g.cfg.Log.Debug("copy not dropped", "request", gen.ID, "error", err)
	}
}

// useBackup goes over to the generation's backup, if it has one at an engine
// that stays.
func (gen *generation) useBackup(view *directory.View) bool {
	gen.mu.Lock()
	b := gen.backup
	gen.mu.Unlock()
	if b == nil {
		return false
	}
	keeper, known := view.Target(b.target.ID)
	if !known || !view.TakesNew(keeper) || gen.g.cfg.Loads.Leaving(keeper.ID) {
		return false
	}
	begun := time.Now()
	err := gen.switchTo(keeper, b.handoff(gen.ID), gen.g.cfg.Loads.Hold(keeper.ID, gen.Prompt))
	gen.g.cfg.Log.Info("generation goes on at its backup", "request", gen.ID, "to", keeper.ID, "took", time.Since(begun), "error", err)
	return err == nil
}

// switchTo sends the request to an engine that holds a copy and, when that
// takes it, ends the stream from the engine before: closing the connection is
// what makes an engine drop the run. Meanwhile no event is delivered; a refusal
// leaves all as it was.
func (gen *generation) switchTo(to *directory.Seen, handoff *call.Handoff, place *Place) error {
	gen.flow.Lock()
	defer gen.flow.Unlock()
	l, err := gen.resume(to, handoff, place)
	if err != nil {
		return err
	}
	gen.mu.Lock()
	cancelOld := gen.cancelLeg
	gen.mu.Unlock()
	if cancelOld != nil {
		cancelOld()
	}
	gen.next = l
	gen.enter(to, l.cancel, l.backup)
	return nil
}

// resume sends the request to an engine that holds a copy, to go on behind the
// last event that the caller has. The engine before still runs, so the answer
// must come soon or not at all.
func (gen *generation) resume(to *directory.Seen, handoff *call.Handoff, place *Place) (*leg, error) {
	if view := gen.g.cfg.Board.View.Get(); !takesNew(view, to) {
		place.Release()
		return nil, failure.New(failure.KindNoTarget, "engine %s may get no more work", to.ID)
	}
	s := gen.send(to)
	s.Resume, s.After = handoff, gen.lastID
	l, err := gen.openWithin(switchLimit, s, to, place)
	if err == nil {
		gen.moves++
	}
	return l, err
}

// started waits until the generation has made its first event: before, the
// engine has no run to copy. False when it ended instead.
func (gen *generation) started(ctx context.Context) bool {
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

// takesNew tells whether a target of an earlier view may get work by now.
func takesNew(view *directory.View, t *directory.Seen) bool {
	now, known := view.Target(t.ID)
	return known && now.Started == t.Started && view.TakesNew(now)
}

// goOn finds where a generation goes on whose stream ended early with why: at
// the engine that it went over to, from a copy or a backup, or, where the route
// allows another run to go on, at any other engine.
func (gen *generation) goOn(why error) (*leg, error) {
	if l := gen.takeNext(); l != nil {
		return l, nil
	}
	gen.mu.Lock()
	m, b, from := gen.move, gen.backup, gen.at
	gen.mu.Unlock()
	if m != nil {
		select {
		case <-m.done:
		case <-gen.ctx.Done():
			return nil, why
		}
		if l := gen.takeNext(); l != nil {
			return l, nil
		}
		if m.handoff != nil {
			if l, err := gen.comeBack(m.to, m.handoff); err == nil {
				return l, nil
			}
		}
	}
	if b != nil {
		if l, err := gen.comeBack(b.target, b.handoff(gen.ID)); err == nil {
			return l, nil
		}
	}
	if gen.route.Resumable {
		return gen.anew(from, why)
	}
	return nil, why
}

// takeNext gives the leg that the generation went over to, nil when there is
// none.
func (gen *generation) takeNext() *leg {
	gen.flow.Lock()
	defer gen.flow.Unlock()
	l := gen.next
	gen.next = nil
	return l
}

// dropNext ends a leg that nobody will relay.
func (gen *generation) dropNext() {
	if l := gen.takeNext(); l != nil {
		l.close(false)
	}
}

// comeBack goes on from a copy after the engine before has ended.
func (gen *generation) comeBack(to *directory.Seen, handoff *call.Handoff) (*leg, error) {
	l, err := gen.resume(to, handoff, gen.g.cfg.Loads.Hold(to.ID, gen.Prompt))
	if err == nil {
		gen.enter(to, l.cancel, l.backup)
		gen.g.cfg.Log.Info("generation came back from a copy", "request", gen.ID, "to", to.ID, "events", gen.pauses.events)
	}
	return l, err
}

// anew has another engine go on with a generation of a route that allows it,
// behind the last event that the caller has.
func (gen *generation) anew(from *directory.Seen, why error) (*leg, error) {
	if !gen.g.cfg.Budget.Retry(gen.g.cfg.Now(), gen.budgetKey()) {
		return nil, why
	}
	target, place, ok := gen.g.cfg.Loads.Acquire(gen.view, gen.service.Name, gen.Prompt, Anywhere, []string{from.ID})
	if !ok {
		return nil, why
	}
	s := gen.send(target)
	s.After = gen.lastID
	l, err := gen.open(s, target, place)
	if err != nil {
		return nil, why
	}
	gen.enter(target, l.cancel, l.backup)
	gen.moves++
	gen.g.cfg.Log.Info("generation resumed by another run", "request", gen.ID, "from", from.ID, "to", target.ID, "events", gen.pauses.events)
	return l, nil
}
