package gateway

import (
	"context"
	"io"
	"time"

	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
)

// switchTo switches the generation from its engine: it sends the request to an engine that
// holds a copy and, with the first event of the answer, ends the stream from the previous
// engine: closing the connection makes an engine drop the run. Events are held meanwhile.
// Without that event the previous engine goes on.
//
// Both must not work for long. Without an event within switchTimeout, handsOver decides which
// stream ends.
func (gen *generation) switchTo(from *directory.ObservedTarget, c *memoryCopy, reservation *Reservation, handsOver func(old *engineStream) bool) error {
	ctx, cancel := context.WithCancelCause(gen.ctx)
	if !gen.beginSwitch(from, func() { cancel(errSwitchAbandoned) }) {
		cancel(errSwitchAbandoned)
		reservation.Release()
		return errStreamEnded
	}
	sentAt := time.Now()
	_, old := gen.current()
	limit := &switchLimit{timeout: switchTimeout, old: old, handsOver: handsOver}
	stream, err := gen.resumeWithin(ctx, cancel, limit, c, reservation, gen.g.selectionState(gen.exchange))
	sw := newStreamSwitch(from, sentAt, stream)
	if taken := gen.endSwitch(old, stream); err == nil && !taken {
		gen.closeUnused(stream, errSwitchAbandoned)
	}
	if context.Cause(ctx) == errSwitchAbandoned {
		err = errSwitchAbandoned
	}
	gen.recordSwitch(sw, c.target, limit.handedOver, err)
	return err
}

// errSwitchAbandoned marks a switch that was abandoned since the previous engine has completed the
// answer.
var errSwitchAbandoned = failure.New(failure.KindInternal, "the answer was complete before the switch").WithExecuted()

// switchLimit bounds the time in which two engines may work on a generation.
type switchLimit struct {
	// timeout is the limit; 0 means none.
	timeout time.Duration
	// old is the previous engine's stream, handsOver decides whether it is ended when the time
	// is over, and not the new one. Without them the new one is ended.
	old       *engineStream
	handsOver func(old *engineStream) bool

	startedAt time.Time
	timer     *time.Timer
	// answered is closed when the first event has arrived.
	answered chan struct{}
	// decided is closed when the time is over and it was decided which stream ends. newEnded
	// is then set if that was the new one, handedOver if it was the old one.
	decided              chan struct{}
	newEnded, handedOver bool
}

// lateBy is how much later than its limit a switch must end for this process to have been held
// up. What has arrived meanwhile is then read for as long, before one of the streams is ended.
const lateBy = 30 * time.Millisecond

// start starts the time. cancelNew ends the new stream.
func (l *switchLimit) start(cancelNew context.CancelCauseFunc) {
	if l.timeout == 0 {
		return
	}
	l.startedAt, l.answered, l.decided = time.Now(), make(chan struct{}), make(chan struct{})
	l.timer = time.AfterFunc(l.timeout, func() {
		defer close(l.decided)
		if l.answeredLate() {
			return
		}
		if l.handsOver != nil && l.handsOver(l.old) {
			l.handedOver = true
			l.old.cancel(errGenerationMoved)
			return
		}
		l.newEnded = true
		cancelNew(errSwitchTimeout)
	})
}

// answeredLate reports whether the first event had arrived when the limit ended late since this
// process was held up.
func (l *switchLimit) answeredLate() bool {
	if time.Since(l.startedAt) < l.timeout+lateBy {
		return false
	}
	select {
	case <-l.answered:
		return true
	case <-time.After(lateBy):
		return false
	}
}

// end ends the limit; answered is set if the first event has arrived. It reports whether the new
// stream was not ended.
func (l *switchLimit) end(answered bool) bool {
	if l.timer == nil {
		return true
	}
	if answered {
		close(l.answered)
	}
	if l.timer.Stop() {
		return true
	}
	<-l.decided
	return !l.newEnded
}

// resumeWithin sends the request to an engine that holds a copy, to continue after the last
// event that the caller has, and waits for the first event of its answer: a header alone does
// not show that the engine goes on. cancel ends the context, which is that of the stream.
func (gen *generation) resumeWithin(ctx context.Context, cancel context.CancelCauseFunc, limit *switchLimit, c *memoryCopy, reservation *Reservation, selection *selectionState) (*engineStream, error) {
	limit.start(cancel)
	gen.awaitsEngine.Store(true)
	defer gen.awaitsEngine.Store(false)
	stream, err := gen.resume(ctx, cancel, c, reservation, selection)
	if err == nil {
		err = gen.awaitFirstEventOf(stream, limit.old == nil)
	}
	if !limit.end(err == nil) {
		if err == nil {
			gen.closeUnused(stream, errSwitchTimeout)
		}
		err = errSwitchTimeout
	}
	if err != nil {
		cancel(err)
		return nil, err
	}
	return stream, nil
}

// awaitFirstEventOf waits for the first event of a stream. If there is none, it closes the
// stream. A stream that ends without one says that nothing is left of the answer, if it shows its
// end: after a loss that completes the answer, while the previous engine still knows better.
func (gen *generation) awaitFirstEventOf(stream *engineStream, afterLoss bool) error {
	err := stream.readAhead()
	gen.g.recordInvalidAnswer(stream.target.Target, err, requestAttr(gen.ID))
	switch {
	case err == nil, err == io.EOF && stream.isDelimited() && afterLoss:
		return nil
	case err == io.EOF && stream.isDelimited():
		stream.close(errGenerationMoved)
		return errNoEvent
	case err == io.EOF:
		err = errNoEvent
	}
	gen.closeUnused(stream, err)
	return err
}

// errNoEvent marks an answer to a switch that ended without an event.
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
