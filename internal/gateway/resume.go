package gateway

import (
	"context"
	"time"

	"filbertdeck/internal/directory"
)

// switchToBackup switches to the generation's backup if it has one, at an
// engine that is not leaving.
func (gen *generation) switchToBackup(m *move) bool {
	from, stream := gen.current()
	if stream == nil || stream.backup == nil || !stream.backup.available() {
		return false
	}
	b := stream.backup
	target := b.target
	if gen.g.cfg.Loads.IsLeaving(target.Target) {
		return false
	}
	reservation, ok := gen.g.cfg.Loads.ReserveWithinRate(target.ID, gen.Prompt)
	if !ok {
		return false
	}
	start := time.Now()
	err := gen.switchTo(from, b.memoryCopy, reservation, m.hasLostStream)
	gen.g.cfg.Log.Info("generation goes on at its backup", "request", gen.ID, "to", target.ID, "to_version", target.Version, "took", time.Since(start), "silent_for", gen.sinceLastEvent(), "error", err)
	if err == nil {
		gen.g.metrics.movedToBackup.Inc(1)
	}
	return err == nil
}

// continueElsewhere finds where a generation continues whose stream ended early
// because of cause: at the engine that it has switched to, from a copy or a
// backup, or, where the route allows a new run to continue it, at any other
// engine.
func (gen *generation) continueElsewhere(cause error) (*engineStream, error) {
	if stream := gen.takeNextStream(); stream != nil {
		return stream, nil
	}
	gen.mu.Lock()
	m, b, from := gen.move, gen.stream.backup, gen.target
	gen.mu.Unlock()
	if m != nil {
		m.endWaits()
		select {
		case <-m.done:
		case <-gen.ctx.Done():
			return nil, cause
		}
		if stream := gen.takeNextStream(); stream != nil {
			return stream, nil
		}
		// Without another way the engine's answer is worth waiting for: the previous one no
		// longer runs the generation.
		var limit time.Duration
		if b != nil && b.available() || gen.route.Resumable {
			limit = switchTimeout
		}
		if stream, ok := gen.resumeFromCopy(limit, m.copy); ok {
			return stream, nil
		}
	}
	if b != nil {
		if stream, ok := gen.resumeFromCopy(0, b.memoryCopy); ok {
			return stream, nil
		}
	}
	// A move that began meanwhile may have offered the backup first.
	if stream := gen.takeNextStream(); stream != nil {
		return stream, nil
	}
	if gen.route.Resumable {
		return gen.startNewRun(from, cause)
	}
	return nil, cause
}

// takeNextStream returns the stream that the generation has switched to, nil
// when there is none.
func (gen *generation) takeNextStream() *engineStream {
	gen.deliveryMu.Lock()
	defer gen.deliveryMu.Unlock()
	gen.awaitSwitchLocked()
	stream := gen.nextStream
	gen.nextStream = nil
	return stream
}

// closeNextStream records that no further stream will be relayed, and closes
// one that the generation switched to in the meantime. Otherwise a move that
// completes just after the stream ended would leave its reservation counted
// permanently, and every host would see that engine as more loaded than it is.
func (gen *generation) closeNextStream() {
	gen.deliveryMu.Lock()
	gen.closed = true
	gen.awaitSwitchLocked()
	stream := gen.nextStream
	gen.nextStream = nil
	gen.deliveryMu.Unlock()
	if stream != nil {
		stream.close(errGenerationMoved)
	}
}

// resumeFromCopy continues from a copy after the previous engine has ended;
// false when there is none to offer, or its engine refuses it or does not go on within a
// time limit; 0 means none.
func (gen *generation) resumeFromCopy(limit time.Duration, c *memoryCopy) (*engineStream, bool) {
	if !c.available() {
		return nil, false
	}
	reservation, ok := gen.g.cfg.Loads.ReserveWithinRate(c.target.ID, gen.Prompt)
	if !ok {
		return nil, false
	}
	selection := gen.g.selectionState(gen.exchange)
	selection.lastResort = true
	ctx, cancel := context.WithCancelCause(gen.ctx)
	stream, err := gen.resumeWithin(ctx, cancel, &switchLimit{timeout: limit}, c, reservation, selection)
	gen.g.cfg.Log.Info("generation comes back from a copy", "request", gen.ID, "to", c.target.ID, "to_version", c.target.Version, "events", gen.times.events,
		"silent_for", gen.sinceLastEvent(), "error", err)
	if err != nil {
		return nil, false
	}
	gen.moves++
	gen.g.metrics.resumedAfterLoss.Inc(1)
	gen.setTarget(c.target, stream)
	return stream, true
}

// sinceLastEvent returns the time since the last event, or since the request
// arrived if there is none.
func (gen *generation) sinceLastEvent() time.Duration {
	since := time.Since(gen.ArrivedAt)
	if progress := gen.progress.Load(); progress != nil {
		since -= progress.last
	}
	return since
}

// startNewRun has another engine continue a generation, on a route that allows
// it, after the last event that the caller has. A request that crashes engines
// is not continued, since it would crash one after the other.
func (gen *generation) startNewRun(from *directory.ObservedTarget, cause error) (*engineStream, error) {
	if gen.attempts >= gen.route.MaxAttempts || gen.g.checkVerdict(gen.exchange) != nil {
		return nil, cause
	}
	if !gen.g.cfg.RetryBudget.AllowRetry(gen.g.cfg.Now(), gen.budgetKey()) {
		return nil, cause
	}
	selection := gen.g.selectionState(gen.exchange)
	target, reservation, ok := gen.g.cfg.Loads.Acquire(selection.view, gen.placementRequest([]string{from.ID}))
	if !ok {
		return nil, cause
	}
	s := gen.newSend(target)
	s.LastEventID, s.ConfirmStart = gen.lastEventID, gen.confirmsStart(target)
	stream, err := gen.openStream(s, target, reservation, selection)
	if err != nil {
		return nil, cause
	}
	gen.setTarget(target, stream)
	gen.moves++
	gen.attempts++
	gen.g.metrics.newRuns.Inc(1)
	gen.g.cfg.Log.Info("generation continued by a new run", "request", gen.ID, "from", from.ID, "from_version", from.Version, "to", target.ID, "to_version", target.Version, "events", gen.times.events)
	return stream, nil
}
