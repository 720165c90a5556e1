package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/sse"
)

// fullRetry is told when an engine is full: a generation ends there every few
// hundred milliseconds.
const fullRetry = 300 * time.Millisecond

// generation is one stream on its way from an engine to its caller.
type generation struct {
	*exchange
	g *Gateway
	// begun is set once the caller has the header of the answer.
	begun bool
	// lastID is the id of the last whole event that the caller got.
	lastID string
	pauses pauses
	// progress is a copy of pauses for the mover.
	progress atomic.Pointer[pauses]
	// moves counts the engines that the generation went on at.
	moves int
	// failed is an engine's own failure, nil when there is none.
	failed *whole

	// ended is closed when the caller has its answer.
	ended chan struct{}

	mu sync.Mutex
	// cancelLeg ends the stream from the engine where the generation runs.
	cancelLeg context.CancelFunc
	// at is the target where the generation runs.
	at *directory.Seen
	// move is the move away from there, in progress or done; nil when there is
	// none.
	move *move
}

// leg is one engine's part of a stream.
type leg struct {
	target *directory.Seen
	resp   *http.Response
	place  *Place
	cancel context.CancelFunc
}

// errEnded marks the regular end of a stream.
var errEnded = failure.New(failure.KindInternal, "the stream has ended")

// generate relays a generation.
func (g *Gateway) generate(ctx context.Context, x *exchange) {
	gen := &generation{exchange: x, g: g, ended: make(chan struct{})}
	defer close(gen.ended)
	g.cfg.Budget.First(g.cfg.Now(), x.budgetKey())
	g.runs.add(gen)
	defer g.runs.remove(gen)
	l, err := gen.start(ctx)
	for l != nil {
		err = gen.relay(l)
		l.close()
		if err == errEnded || ctx.Err() != nil {
			break
		}
		l, err = gen.goOn(ctx, err)
	}
	gen.finish(ctx, err)
}

func (l *leg) close() {
	l.cancel()
	_ = l.resp.Body.Close()
	l.place.Release()
}

// start sends the request to an engine, to another one when the first did not
// run it and the route allows that.
func (gen *generation) start(ctx context.Context) (*leg, error) {
	var avoid []string
	var last error
	var t tries
	for {
		target, place, ok := gen.g.cfg.Loads.Acquire(gen.view, gen.service.Name, gen.Prompt, Anywhere, avoid)
		if !ok {
			break
		}
		l, err := gen.open(ctx, gen.send(target), target, place)
		if err == nil {
			return l, nil
		}
		if moved, moveErr := gen.goOn(ctx, err); moved != nil {
			return moved, moveErr
		}
		last = err
		t.add(err)
		if !gen.g.again(ctx, gen.exchange, true, err, t) {
			break
		}
		avoid = append(avoid, target.ID)
	}
	if last == nil {
		last = failure.New(failure.KindNoTarget, "no engine of %s may get work", gen.service.Name).After(noTargetRetry)
	}
	return nil, last
}

// open sends the request to an engine and waits for the answer's header.
func (gen *generation) open(ctx context.Context, s *call.Send, target *directory.Seen, place *Place) (*leg, error) {
	ctx, cancel := context.WithCancel(ctx)
	gen.mu.Lock()
	gen.at, gen.move, gen.cancelLeg = target, nil, cancel
	gen.mu.Unlock()
	resp, answer, err := gen.g.open(ctx, s)
	if err == nil && answer.Status != http.StatusOK {
		err = gen.failedAnswer(resp, answer)
	}
	if err != nil {
		gen.g.blame(ctx, target.ID, err)
		cancel()
		place.Release()
		return nil, err
	}
	return &leg{target: target, resp: resp, place: place, cancel: cancel}, nil
}

// errAnswered says that the engine's own failure is the answer.
var errAnswered = failure.New(failure.KindTargetFailed, "the engine answered with a failure").Ran()

// failedAnswer reads an engine's own failure, to be handed to the caller when
// no other engine makes it good. Once a caller has events, no other answer can
// follow them.
func (gen *generation) failedAnswer(resp *http.Response, answer call.Answer) error {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPlainAnswer))
	if err != nil {
		return failure.Wrap(err, failure.KindTargetLost, "the engine's answer broke off").Unknown()
	}
	if gen.begun {
		return failure.New(failure.KindTargetFailed, "the engine answered %d in place of going on", resp.StatusCode).Unknown()
	}
	gen.failed = &whole{Answer: answer, header: resp.Header, body: body}
	return errAnswered
}

// relay passes events on, whole ones only, until the engine's part ends.
func (gen *generation) relay(l *leg) error {
	gen.begin(l.resp)
	split := sse.NewSplitter(l.resp.Body, 0)
	var block sse.Block
	for {
		if err := split.Next(&block); err != nil {
			if errors.Is(err, io.EOF) {
				return errEnded
			}
			return err
		}
		l.place.Started()
		if _, err := gen.w.Write(block.Raw); err != nil {
			return failure.Wrap(err, failure.KindTargetLost, "the caller is gone")
		}
		if f, ok := gen.w.(http.Flusher); ok {
			f.Flush()
		}
		gen.pauses.event(time.Since(gen.Arrived))
		now := gen.pauses
		gen.progress.Store(&now)
		if block.ID != nil {
			gen.lastID = string(block.ID)
		}
	}
}

// begin gives the caller the header of the first engine's answer.
func (gen *generation) begin(resp *http.Response) {
	if gen.begun {
		return
	}
	gen.begun = true
	h := gen.w.Header()
	gen.g.cfg.Dialect.CopyHeader(h, resp.Header)
	h.Del("Content-Length")
	gen.w.WriteHeader(resp.StatusCode)
}

// finish ends the answer: whole, or so that it can't be taken for whole.
func (gen *generation) finish(ctx context.Context, err error) {
	switch {
	case err == errEnded:
		gen.g.pace.add(gen.pauses)
		gen.g.cfg.Log.Info("generation served", "request", gen.ID, "target", gen.at.ID, "route", gen.route.Name, "events", gen.pauses.events,
			"moves", gen.moves, "first", gen.pauses.first, "longest_pause", gen.pauses.longest, "pause_at", gen.pauses.longestAt, "took", gen.pauses.last)
		return
	case !gen.begun && gen.failed != nil:
		gen.g.answer(gen.exchange, gen.failed)
		return
	case !gen.begun:
		gen.g.refuse(gen.w, gen.ID, err)
		return
	}
	gen.g.cfg.Log.Info("generation broke", "request", gen.ID, "target", gen.at.ID, "events", gen.pauses.events, "caller_left", ctx.Err() != nil, "cause", err)
	panic(http.ErrAbortHandler)
}
