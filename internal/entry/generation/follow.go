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

// follow relays events until the generation is complete, with new connections
// to the same generation as long as they bring it forward.
func (x *run) follow(ctx context.Context, s *stream, err error, target string, progress func()) error {
	for {
		if err == nil {
			err = x.relay(s, progress)
			s.close()
		}
		if err == nil {
			return x.out.finish()
		}
		if !x.resumable(ctx, err) || !x.order.TryResume() {
			return err
		}
		x.Books.Update(func(c *accounting.Counts) { c.Resumes++ })
		if !pause(ctx, reopenPause) {
			return err
		}
		s, err = x.engines.resume(ctx, target, x.order.Generation(), x.order.NextOffset())
	}
}

// resumable tells whether the same generation may still be there.
func (x *run) resumable(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	switch failure.KindOf(err) {
	case failure.KindTargetLost, failure.KindFrameOutOfPlace:
		return true
	}
	return false
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// relay passes the events of one connection on. It returns nil when the answer
// is whole.
func (x *run) relay(s *stream, progress func()) error {
	for {
		if err := s.next(&x.event); err != nil {
			if x.order.MarkComplete() {
				// Only the closing event is missing: the answer is whole.
				x.order.MarkReleased()
				return nil
			}
			return lostStream(err)
		}
		if x.event.Comment {
			if err := x.stillAlive(); err != nil {
				return err
			}
			continue
		}
		done, err := x.take(progress)
		if done || err != nil {
			return err
		}
	}
}

// stillAlive passes a sign of life on. An engine that shows itself to be alive
// without a token for too long has lost the request: its lease would otherwise
// be renewed, and its place kept, for good.
func (x *run) stillAlive() error {
	if time.Since(x.progressed) > tokenLimit {
		return failure.New(failure.KindTargetTimeout, "the target produced no token for %v", tokenLimit).Unknown()
	}
	return x.out.alive()
}

// lostStream types the end of a connection before the end of its answer.
func lostStream(err error) error {
	if errors.Is(err, io.EOF) {
		return failure.New(failure.KindTargetLost, "the target closed the stream early").Unknown()
	}
	if f := failure.From(err); f.Kind != failure.KindInternal {
		return f.Unknown()
	}
	return failure.Wrap(err, failure.KindTargetLost, "the stream of the target broke").Unknown()
}

// take judges one event and passes its tokens on.
func (x *run) take(progress func()) (done bool, err error) {
	f, err := x.judged()
	if err != nil {
		return false, err
	}
	switch x.order.Check(f) {
	case delivery.Complete:
		x.order.MarkReleased()
		return true, nil
	case delivery.Duplicate:
		return false, nil
	case delivery.Pass:
	default:
		x.Books.Update(func(c *accounting.Counts) { c.OutOfPlace++ })
		return false, failure.New(failure.KindFrameOutOfPlace, "the target sent a frame out of its place").Unknown()
	}
	progress()
	x.count(int(f.Tokens))
	return false, x.out.token(&x.frame, x.order.NextOffset())
}

func (x *run) judged() (delivery.Frame, error) {
	if string(x.event.Data) == string(doneData) {
		return delivery.Frame{Done: true}, nil
	}
	if err := x.frame.parse(x.event.Data); err != nil {
		return delivery.Frame{}, err
	}
	return x.frame.frame(x.order.Generation(), x.quoted), nil
}

// count books the tokens and the gap before them.
func (x *run) count(tokens int) {
	if tokens == 0 {
		return
	}
	now := time.Now()
	x.progressed = now
	if x.order.NextOffset() == uint64(tokens) {
		x.Books.FirstToken(now.Sub(x.Begun))
	}
	x.Books.Tokens(tokens, now.Sub(x.lastToken))
	x.lastToken = now
}
