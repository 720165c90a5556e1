package gateway

import (
	"time"

	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
)

// useBackup goes over to the generation's backup, if it has one at an engine
// that stays.
func (gen *generation) useBackup() bool {
	gen.mu.Lock()
	b := gen.backup
	gen.mu.Unlock()
	if b == nil || !b.open() {
		return false
	}
	keeper := b.at
	if gen.g.cfg.Loads.Leaving(keeper.ID) {
		return false
	}
	place, ok := gen.g.cfg.Loads.HoldWithinRate(keeper.ID, gen.Prompt)
	if !ok {
		return false
	}
	begun := time.Now()
	err := gen.switchTo(b.copied, place)
	gen.g.cfg.Log.Info("generation goes on at its backup", "request", gen.ID, "to", keeper.ID, "took", time.Since(begun), "silent_for", gen.silentFor(), "error", err)
	if err == nil {
		gen.g.meters.movedBackup.Inc(1)
	}
	return err == nil
}

// switchTo sends the request to an engine that holds a copy and, when that
// takes it, ends the stream from the engine before: closing the connection is
// what makes an engine drop the run. Meanwhile no event is delivered; a refusal
// leaves all as it was.
func (gen *generation) switchTo(c *copied, place *Place) error {
	gen.flow.Lock()
	defer gen.flow.Unlock()
	if gen.over {
		place.Release()
		return errEnded
	}
	l, err := gen.resume(c, place)
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
	gen.enter(c.at, l.cancel, l.backup)
	return nil
}

// resume sends the request to an engine that holds a copy, to go on behind the
// last event that the caller has. The engine before still runs, so the answer
// must come soon or not at all.
func (gen *generation) resume(c *copied, place *Place) (*leg, error) {
	by := gen.g.basis()
	if !takesNew(by.view, c.at.Target) {
		place.Release()
		return nil, failure.New(failure.KindNoTarget, "engine %s may get no more work", c.at.ID)
	}
	if silent := gen.silentFor(); silent > gen.copyKept() {
		place.Release()
		return nil, failure.New(failure.KindNoTarget, "the copy at engine %s is gone after %s of silence", c.at.ID, silent)
	}
	if !c.offer() {
		place.Release()
		return nil, failure.New(failure.KindNoTarget, "engine %s had the copy offered before", c.at.ID)
	}
	s := gen.send(c.at)
	s.Resume, s.After = &c.handoff, gen.lastID
	l, err := gen.openWithin(switchLimit, s, c.at, place, by)
	if unsent(err) {
		c.takeBack()
	}
	if err == nil {
		gen.moves++
	}
	return l, err
}

// takesNew tells whether a target of an earlier view may get work by now.
func takesNew(view *directory.View, t directory.Target) bool {
	now, known := view.Target(t.ID)
	return known && now.StartedUnixMilli == t.StartedUnixMilli && view.AcceptsNewRequests(now)
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
		if l, ok := gen.comeBack(m.copy); ok {
			return l, nil
		}
	}
	if b != nil {
		if l, ok := gen.comeBack(b.copied); ok {
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

// end says that no leg will be relayed any more, and closes one that the
// generation went over to in the meantime. Without it a move that ends just
// after the stream would keep its place at an engine counted for good, and that
// engine would look fuller than it is to every host.
func (gen *generation) end() {
	gen.flow.Lock()
	gen.over = true
	l := gen.next
	gen.next = nil
	gen.flow.Unlock()
	if l != nil {
		l.close(false)
	}
}

// comeBack goes on from a copy after the engine before has ended; false when
// there is none to offer or its engine doesn't take it.
func (gen *generation) comeBack(c *copied) (*leg, bool) {
	if !c.open() {
		return nil, false
	}
	place, ok := gen.g.cfg.Loads.HoldWithinRate(c.at.ID, gen.Prompt)
	if !ok {
		return nil, false
	}
	l, err := gen.resume(c, place)
	gen.g.cfg.Log.Info("generation comes back from a copy", "request", gen.ID, "to", c.at.ID, "events", gen.pauses.events,
		"silent_for", gen.silentFor(), "error", err)
	if err != nil {
		return nil, false
	}
	gen.g.meters.cameBack.Inc(1)
	gen.enter(c.at, l.cancel, l.backup)
	return l, true
}

// silentFor is the time since the last event, or since the request came.
func (gen *generation) silentFor() time.Duration {
	since := time.Since(gen.Arrived)
	if p := gen.progress.Load(); p != nil {
		since -= p.last
	}
	return since
}

// anew has another engine go on with a generation of a route that allows it,
// behind the last event that the caller has. One that crashes engines would
// else go from each to the next.
func (gen *generation) anew(from *directory.ObservedTarget, why error) (*leg, error) {
	if gen.runs >= gen.route.MaxAttempts || gen.g.cfg.CrashEvidence.guilty(gen.fingerprint) {
		return nil, why
	}
	if !gen.g.cfg.RetryBudget.AllowRetry(gen.g.cfg.Now(), gen.budgetKey()) {
		return nil, why
	}
	by := gen.g.basis()
	target, place, ok := gen.g.cfg.Loads.Acquire(by.view, gen.wanted([]string{from.ID}))
	if !ok {
		return nil, why
	}
	s := gen.send(target)
	s.After = gen.lastID
	l, err := gen.open(s, target, place, by)
	if err != nil {
		return nil, why
	}
	gen.enter(target, l.cancel, l.backup)
	gen.moves++
	gen.runs++
	gen.g.meters.movedAnew.Inc(1)
	gen.g.cfg.Log.Info("generation resumed by another run", "request", gen.ID, "from", from.ID, "to", target.ID, "events", gen.pauses.events)
	return l, nil
}
