package gateway

import (
	"context"
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/migration"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/wake"
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
	// healthLimit bounds the question after an engine's health, which waits for
	// a place there.
	healthLimit = 300 * time.Millisecond
	// askEvery is how often targets are asked whether they are about to stop:
	// copies need most of a notice.
	askEvery = 200 * time.Millisecond
	// lookEvery is how often a host looks whether it has become blind.
	lookEvery = 50 * time.Millisecond
	// switchLimit bounds the wait for the engine that a generation goes over
	// to: a few hops and the reading of some ten tokens take a few hundredths
	// of a second; both engines must not work on it for 0.4 s.
	switchLimit = 300 * time.Millisecond
	// moveTries bounds the destinations that a move asks in a row, roomPause is
	// the time between two such rows: a generation ends at an engine every few
	// hundred milliseconds.
	moveTries = 3
	roomPause = 50 * time.Millisecond
)

// move is one move of a generation away from a target.
type move struct {
	// done is closed when nothing more will come of it.
	done chan struct{}
	// copy is the last copy that was made, nil when there is none. It is set
	// before done is closed.
	copy *copied
}

// leave lets the generation go on at another engine: where its backup lies, or
// where its memory was copied while it ran on.
func (gen *generation) leave(ctx context.Context, from *directory.ObservedTarget, m *move) {
	defer close(m.done)
	ctx, cancel := context.WithTimeout(ctx, copyLimit)
	defer cancel()
	if !gen.started(ctx) || !gen.runsAt(from) || gen.useBackup() {
		return
	}
	stops := time.Now().Add(gen.leavesIn(ctx, from))
	if gen.stays(time.Until(stops)) {
		gen.g.cfg.Log.Info("generation stays", "request", gen.ID, "target", from.ID, "leaves_in", time.Until(stops))
		return
	}
	e := gen.service.Engine
	wake.Sleep(ctx, gen.g.cfg.Migration.CopyDelay(migration.CopyTime(gen.Prompt.Tokens, e.BytesPerToken, e.LinkMbps)))
	avoid := []string{from.ID}
	for gen.started(ctx) && gen.runsAt(from) {
		var over bool
		if avoid, over = gen.copyAway(ctx, from, m, stops, avoid); over {
			return
		}
		wake.Sleep(ctx, roomPause)
	}
}

// copyOutcome says what came of copying a generation to one engine.
type copyOutcome int

const (
	// copyMade: the generation goes on at the other engine.
	copyMade copyOutcome = iota
	// copyRefused: that engine didn't take it; another one may.
	copyRefused
	// copyLater: there is no run to copy by now, or it is being copied.
	copyLater
	// copyOver: the engine that leaves is gone, or the generation has ended.
	copyOver
)

// copyAway tries some destinations one after the other that are not among those
// to avoid. It gives the latter with those that refused, and tells whether
// nothing more is to be tried.
//
// Load pattern: a third of a data centre's engines leave at once, and the others
// there are full. Engines that refused are not asked again while there are
// others, so that one with room is found in another data centre within the
// notice, though copies to there take twice as long.
func (gen *generation) copyAway(ctx context.Context, from *directory.ObservedTarget, m *move, stops time.Time, avoid []string) ([]string, bool) {
	for range moveTries {
		to, place, ok := gen.g.cfg.Loads.Acquire(gen.g.view(), Wanted{Service: from.Service, Prompt: gen.Prompt, Near: Near(from.DataCentre), Avoid: avoid})
		if !ok {
			// All have refused; by now one may have room.
			return []string{from.ID}, false
		}
		outcome := gen.copyTo(ctx, from, to, place, m, stops)
		if outcome != copyMade {
			place.Release()
		}
		switch outcome {
		case copyMade, copyOver:
			return avoid, true
		case copyLater:
			return avoid, false
		}
		avoid = append(avoid, to.ID)
	}
	return avoid, false
}

// copyTo copies the generation's memory to another engine and goes over to it.
func (gen *generation) copyTo(ctx context.Context, from, to *directory.ObservedTarget, place *Place, m *move, stops time.Time) copyOutcome {
	begun := time.Now()
	result, err := gen.g.cfg.Engines.Move(ctx, from.Address, gen.ID, to.Address, false)
	gen.g.cfg.Log.Info("generation copied", "request", gen.ID, "from", from.ID, "to", to.ID, "took", time.Since(begun),
		"remote", to.DataCentre != from.DataCentre, "leaves_in", time.Until(stops), "events", result.Events, "error", err)
	if err != nil {
		gen.g.meters.copyFailed.Inc(1)
		return notCopied(err)
	}
	m.copy = &copied{at: to, handoff: call.Handoff{From: from.Address, Handle: result.Handle}}
	err = gen.switchTo(m.copy, place)
	if err == nil {
		gen.g.meters.movedCopy.Inc(1)
		return copyMade
	}
	gen.g.cfg.Log.Info("copy not taken", "request", gen.ID, "to", to.ID, "error", err)
	gen.dropCopy(from, m)
	if err == errEnded {
		return copyOver
	}
	return copyRefused
}

// notCopied reads why an engine made no copy.
func notCopied(err error) copyOutcome {
	switch failure.KindOf(err) {
	case failure.KindNotFound, failure.KindInProgress:
		return copyLater
	case failure.KindOverloaded:
		return copyRefused
	}
	return copyOver
}

// dropCopy frees a copy that the generation won't go over to any more, since
// it has ended: the copy would hold memory at an engine for seconds.
func (gen *generation) dropCopy(from *directory.ObservedTarget, m *move) {
	select {
	case <-gen.ended:
	default:
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportLimit)
	defer cancel()
	if err := gen.g.cfg.Engines.Drop(ctx, from.Address, m.copy.handoff.Handle); err != nil {
		gen.g.cfg.Log.Debug("copy not dropped", "request", gen.ID, "error", err)
	}
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

// leavesIn asks the engine when it stops.
func (gen *generation) leavesIn(ctx context.Context, from *directory.ObservedTarget) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	report, err := gen.g.cfg.Engines.Report(ctx, from.Address)
	if err != nil || report.LeavesIn <= 0 {
		return gen.g.cfg.Migration.Notice
	}
	return report.LeavesIn
}

// stays tells whether the generation will have ended by itself in time.
func (gen *generation) stays(leavesIn time.Duration) bool {
	p := gen.progress.Load()
	if p == nil {
		return false
	}
	most := gen.Prompt.MaxOutput / max(gen.service.Engine.TokensPerEvent, 1)
	return gen.g.cfg.Migration.CompletesInTime(migration.MaxRemaining(most, p.events, p.last-p.first), leavesIn)
}
