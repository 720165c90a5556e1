package gateway

import (
	"context"
	"io"
	"time"

	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
)

// switchTo sends the request to an engine that holds a copy and, with the first event of
// the answer, ends the stream from the previous engine: closing the connection makes an
// engine drop the run. No event is delivered meanwhile. Without that event nothing changes,
// and the previous engine goes on. Both must not work for long, so the event must come
// within switchTimeout.
func (gen *generation) switchTo(c *memoryCopy, reservation *Reservation) error {
	gen.deliveryMu.Lock()
	defer gen.deliveryMu.Unlock()
	if gen.closed {
		reservation.Release()
		return errStreamEnded
	}
	sentAt := time.Now()
	from, old := gen.current()
	stream, err := gen.resumeWithin(switchTimeout, c, reservation, gen.g.selectionState(gen.exchange))
	gen.recordSwitch(from, c.target, sentAt, stream, err)
	if err != nil {
		return err
	}
	if old != nil {
		old.cancel(errGenerationMoved)
	}
	gen.nextStream = stream
	gen.setTarget(c.target, stream)
	return nil
}

// resumeWithin sends the request to an engine that holds a copy, to continue after the last
// event that the caller has, and waits for the first event of its answer: a header alone does
// not show that the engine goes on. The event must come within a time limit; 0 means none.
func (gen *generation) resumeWithin(limit time.Duration, c *memoryCopy, reservation *Reservation, selection *selectionState) (*engineStream, error) {
	ctx, cancel := context.WithCancelCause(gen.ctx)
	endLimit := func() (inTime bool) { return true }
	if limit > 0 {
		endLimit = time.AfterFunc(limit, func() { cancel(errSwitchTimeout) }).Stop
	}
	stream, err := gen.resume(ctx, cancel, c, reservation, selection)
	if err == nil {
		err = gen.awaitFirstEventOf(stream)
	}
	if inTime := endLimit(); !inTime {
		// The timer has ended the stream, or is about to.
		if err == nil {
			cancel(errSwitchTimeout)
			gen.closeUnused(stream, errSwitchTimeout)
		}
		err = errSwitchTimeout
	}
	if err != nil {
		return nil, err
	}
	gen.moves++
	return stream, nil
}

// awaitFirstEventOf waits for the first event of a stream. If there is none, it closes the
// stream.
func (gen *generation) awaitFirstEventOf(stream *engineStream) error {
	err := stream.readAhead()
	if err == io.EOF {
		err = errNoEvent
	}
	if err != nil {
		gen.closeUnused(stream, err)
	}
	return err
}

// errNoEvent marks an answer to a switch that ended without an event. The previous engine
// knows whether the generation has more.
var errNoEvent = failure.New(failure.KindTargetLost, "the stream ended before its first event").WithExecutionUnknown()

// closeUnused closes a stream that is not relayed, because of err.
func (gen *generation) closeUnused(stream *engineStream, err error) {
	gen.g.failRun(stream.ctx, stream.target, stream.run, err)
	stream.close(err)
}

// resume sends the request to an engine that holds a copy and waits for the header of its
// answer. cancel ends the context.
func (gen *generation) resume(ctx context.Context, cancel context.CancelCauseFunc, c *memoryCopy, reservation *Reservation, selection *selectionState) (*engineStream, error) {
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
	stream, err := gen.openStreamIn(ctx, cancel, s, c.target, reservation, selection)
	if requestUnsent(err) {
		c.unclaim()
	}
	return stream, err
}

// acceptsNewWork reports whether a target taken from an earlier view still
// accepts work; false when it has restarted since.
func acceptsNewWork(view *directory.View, t directory.Target) bool {
	now, known := view.Target(t.ID)
	return known && now.StartedUnixMilli == t.StartedUnixMilli && view.AcceptsNewRequests(now)
}
