package generation

import (
	"context"
	"errors"
	"io"
	"time"

	"filbertdeck/internal/accounting"
	"filbertdeck/internal/decide/delivery"
	"filbertdeck/internal/failure"
)

// relayWithReconnects relays events until the generation is complete. It
// reconnects to the same generation as long as reconnecting makes progress.
func (a *activeRequest) relayWithReconnects(ctx context.Context, events *engineStream, err error, target string, progress func()) error {
	for {
		if err == nil {
			err = a.relayStream(events, progress)
			events.close()
		}
		if err == nil {
			return a.sink.finish()
		}
		if !a.canReconnect(ctx, err) || !a.order.TryResume() {
			return err
		}
		a.Accounting.Update(func(c *accounting.Counts) { c.Resumes++ })
		if !sleep(ctx, reconnectDelay) {
			return err
		}
		events, err = a.engine.resume(ctx, target, a.order.Generation(), a.order.NextOffset())
	}
}

// canReconnect reports whether the same generation may still be available.
func (a *activeRequest) canReconnect(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	switch failure.KindOf(err) {
	case failure.KindTargetLost, failure.KindFrameOutOfPlace:
		return true
	}
	return false
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// relayStream relays the events of one connection. It returns nil when the
// answer is complete.
func (a *activeRequest) relayStream(events *engineStream, progress func()) error {
	for {
		if err := events.next(&a.event); err != nil {
			if a.order.MarkComplete() {
				// Only the final event is missing; the answer is complete.
				a.order.MarkReleased()
				return nil
			}
			return streamError(err)
		}
		if a.event.Comment {
			if err := a.relayKeepAlive(); err != nil {
				return err
			}
			continue
		}
		done, err := a.relayEvent(progress)
		if done || err != nil {
			return err
		}
	}
}

// relayKeepAlive passes a keep-alive on. If the engine sends only keep-alives
// for longer than noTokenTimeout, it has lost the request; without this limit
// the lease would be renewed, and its slot kept, forever.
func (a *activeRequest) relayKeepAlive() error {
	if time.Since(a.lastProgressAt) > noTokenTimeout {
		return failure.New(failure.KindTargetTimeout, "the target produced no token for %v", noTokenTimeout).WithExecutionUnknown()
	}
	return a.sink.keepAlive()
}

// streamError returns the typed error for a connection that ended before the
// answer was complete.
func streamError(err error) error {
	if errors.Is(err, io.EOF) {
		return failure.New(failure.KindTargetLost, "the target closed the stream early").WithExecutionUnknown()
	}
	if f := failure.FromError(err); f.Kind != failure.KindInternal {
		return f.WithExecutionUnknown()
	}
	return failure.Wrap(err, failure.KindTargetLost, "the stream from the target failed").WithExecutionUnknown()
}

// relayEvent checks one event and relays its tokens.
func (a *activeRequest) relayEvent(progress func()) (done bool, err error) {
	f, err := a.parseEvent()
	if err != nil {
		return false, err
	}
	switch a.order.Check(f) {
	case delivery.Complete:
		a.order.MarkReleased()
		return true, nil
	case delivery.Duplicate:
		return false, nil
	case delivery.Pass:
	default:
		a.Accounting.Update(func(c *accounting.Counts) { c.MisplacedFrames++ })
		return false, failure.New(failure.KindFrameOutOfPlace, "the target sent a frame out of order").WithExecutionUnknown()
	}
	progress()
	a.countTokens(int(f.Tokens))
	return false, a.sink.writeFrame(&a.frame, a.order.NextOffset())
}

func (a *activeRequest) parseEvent() (delivery.Frame, error) {
	if string(a.event.Data) == string(doneData) {
		return delivery.Frame{Done: true}, nil
	}
	if err := a.frame.parse(a.event.Data); err != nil {
		return delivery.Frame{}, err
	}
	return a.frame.deliveryFrame(a.order.Generation(), a.quotedGeneration), nil
}

// countTokens accounts for the tokens and for the time since the previous ones.
func (a *activeRequest) countTokens(tokens int) {
	if tokens == 0 {
		return
	}
	now := time.Now()
	a.lastProgressAt = now
	if a.order.NextOffset() == uint64(tokens) {
		a.Accounting.RecordFirstToken(now.Sub(a.ArrivedAt))
	}
	a.Accounting.RecordTokens(tokens, now.Sub(a.lastTokenAt))
	a.lastTokenAt = now
}
