package gateway

import (
	"time"

	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
)

// switchToBackup switches to the generation's backup if it has one, at an
// engine that is not leaving.
func (gen *generation) switchToBackup() bool {
	gen.mu.Lock()
	b := gen.backup
	gen.mu.Unlock()
	if b == nil || !b.available() {
		return false
	}
	target := b.target
	if gen.g.cfg.Loads.IsLeaving(target.Target) {
		return false
	}
	reservation, ok := gen.g.cfg.Loads.ReserveWithinRate(target.ID, gen.Prompt)
	if !ok {
		return false
	}
	start := time.Now()
	err := gen.switchTo(b.memoryCopy, reservation)
	gen.g.cfg.Log.Info("generation goes on at its backup", "request", gen.ID, "to", target.ID, "to_version", target.Version, "took", time.Since(start), "silent_for", gen.sinceLastEvent(), "error", err)
	if err == nil {
		gen.g.metrics.movedToBackup.Inc(1)
	}
	return err == nil
}

// switchTo sends the request to an engine that holds a copy and, when that
// engine accepts it, ends the stream from the previous engine: closing the
// connection makes an engine drop the run. No event is delivered meanwhile. A
// refusal changes nothing. The previous engine still runs, so the answer must come
// within switchTimeout.
func (gen *generation) switchTo(c *memoryCopy, reservation *Reservation) error {
	gen.deliveryMu.Lock()
	defer gen.deliveryMu.Unlock()
	if gen.closed {
		reservation.Release()
		return errStreamEnded
	}
	sentAt := time.Now()
	stream, err := gen.resume(switchTimeout, c, reservation, gen.g.selectionState(gen.exchange))
	gen.mu.Lock()
	from, cancelOld := gen.target, gen.cancelStream
	gen.mu.Unlock()
	gen.recordSwitch(from, c.target, sentAt, stream, err)
	if err != nil {
		return err
	}
	if cancelOld != nil {
		cancelOld(errGenerationMoved)
	}
	gen.nextStream = stream
	gen.setTarget(c.target, stream.cancel, stream.backup)
	return nil
}

// resume sends the request to an engine that holds a copy, to continue after
// the last event that the caller has. The header of the answer must come within a time
// limit; 0 means none.
func (gen *generation) resume(limit time.Duration, c *memoryCopy, reservation *Reservation, selection *selectionState) (*engineStream, error) {
	if !acceptsNewWork(selection.view, c.target.Target) {
		reservation.Release()
		return nil, failure.New(failure.KindNoTarget, "engine %s accepts no new work", c.target.ID)
	}
	if idle := gen.sinceLastEvent(); idle > gen.copyRetention() {
		reservation.Release()
		return nil, failure.New(failure.KindNoTarget, "the copy at engine %s expired after %s without an event", c.target.ID, idle)
	}
	if !c.claim() {
		reservation.Release()
		return nil, failure.New(failure.KindNoTarget, "the copy was already offered to engine %s", c.target.ID)
	}
	s := gen.newSend(c.target)
	s.Resume, s.LastEventID = &c.handoff, gen.lastEventID
	stream, err := gen.openStreamWithin(limit, s, c.target, reservation, selection)
	if requestUnsent(err) {
		c.unclaim()
	}
	if err == nil {
		gen.moves++
	}
	return stream, err
}

// acceptsNewWork reports whether a target taken from an earlier view still
// accepts work; false when it has restarted since.
func acceptsNewWork(view *directory.View, t directory.Target) bool {
	now, known := view.Target(t.ID)
	return known && now.StartedUnixMilli == t.StartedUnixMilli && view.AcceptsNewRequests(now)
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
	m, b, from := gen.move, gen.backup, gen.target
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
	stream := gen.nextStream
	gen.nextStream = nil
	gen.deliveryMu.Unlock()
	if stream != nil {
		stream.close(errGenerationMoved)
	}
}

// resumeFromCopy continues from a copy after the previous engine has ended;
// false when there is none to offer, or its engine refuses it or does not answer within a
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
	stream, err := gen.resume(limit, c, reservation, selection)
	gen.g.cfg.Log.Info("generation comes back from a copy", "request", gen.ID, "to", c.target.ID, "to_version", c.target.Version, "events", gen.times.events,
		"silent_for", gen.sinceLastEvent(), "error", err)
	if err != nil {
		return nil, false
	}
	gen.g.metrics.resumedAfterLoss.Inc(1)
	gen.setTarget(c.target, stream.cancel, stream.backup)
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
	gen.setTarget(target, stream.cancel, stream.backup)
	gen.moves++
	gen.attempts++
	gen.g.metrics.newRuns.Inc(1)
	gen.g.cfg.Log.Info("generation continued by a new run", "request", gen.ID, "from", from.ID, "from_version", from.Version, "to", target.ID, "to_version", target.Version, "events", gen.times.events)
	return stream, nil
}
