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
	"filbertdeck/internal/decide/enginespeed"
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
	g   *Gateway
	ctx context.Context
	// begun is set once the caller has the header of the answer.
	begun bool
	// moves counts the engines that the generation went on at, runs those that
	// it was sent to anew; the route bounds the latter.
	moves, runs int
	// failed is an engine's own failure, nil when there is none.
	failed *whole
	// progress is a copy of pauses for the mover.
	progress atomic.Pointer[pauses]
	// ended is closed when the caller has its answer.
	ended chan struct{}

	// flow is held while an event is delivered, and while the generation goes
	// over to another engine: no event of the old one may follow.
	flow   sync.Mutex
	pauses pauses
	// lastID is the id of the last whole event that the caller got.
	lastID string
	// next is where the generation goes on once the current leg ends.
	next *leg
	// over is set once no leg will be relayed any more.
	over bool

	mu sync.Mutex
	// at is the target where the generation runs.
	at *directory.ObservedTarget
	// cancelLeg ends the stream from there.
	cancelLeg context.CancelFunc
	// backup keeps a copy of the generation's memory, nil when none does.
	backup *backup
	// move is the move away from there, in progress or done; nil when there is
	// none.
	move *move
}

// leg is one engine's part of a stream.
type leg struct {
	target *directory.ObservedTarget
	resp   *http.Response
	place  *Place
	cancel context.CancelFunc
	backup *backup
	// end says whether the engine's part came to its end.
	end func(finished bool)
}

func (l *leg) close(finished bool) {
	l.end(finished)
	l.cancel()
	_ = l.resp.Body.Close()
	l.place.Release()
	l.backup.release()
}

// The ends of a leg that are no failures.
var (
	// errEnded marks the regular end of a stream.
	errEnded = failure.New(failure.KindInternal, "the stream has ended")
	// errMoved marks the end of a leg whose generation goes on elsewhere.
	errMoved = failure.New(failure.KindInternal, "the generation has moved")
	// errAnswered says that the engine's own failure is the answer.
	errAnswered = failure.New(failure.KindTargetFailed, "the engine answered with a failure").Ran()
)

// generate relays a generation.
func (g *Gateway) generate(ctx context.Context, x *exchange) {
	gen := &generation{exchange: x, g: g, ctx: ctx, ended: make(chan struct{})}
	defer close(gen.ended)
	g.cfg.RetryBudget.RecordFirstAttempt(g.cfg.Now(), x.budgetKey())
	g.runs.add(gen)
	defer g.runs.remove(gen)
	l, err := gen.start()
	for l != nil {
		err = gen.relay(l)
		if err != errEnded && err != errMoved {
			gen.g.blame(gen.ctx, l.target, err)
		}
		l.close(err == errEnded)
		if err == errEnded || ctx.Err() != nil {
			break
		}
		l, err = gen.goOn(err)
	}
	gen.end()
	gen.finish(err)
}

// start sends the request to an engine, to another one when the first did not
// run it and the route allows that.
func (gen *generation) start() (*leg, error) {
	var avoid []string
	var last error
	var t tries
	for {
		by := gen.g.basis()
		target, place, ok := gen.g.cfg.Loads.Acquire(by.view, gen.wanted(avoid))
		if !ok {
			break
		}
		gen.enter(target, nil, nil)
		gen.g.cfg.Log.Info("generation placed", "request", gen.ID, "route", gen.route.Name, "target", target.ID,
			"tokens", tokensOf(gen.Prompt), "prompt", gen.Prompt.Tokens, "max", gen.Prompt.MaxOutput, "hint", gen.Prompt.LengthHint, "basis", by, "tries", t.sent+t.unsent+1,
			"running", place.chosen.Running, "promised", place.chosen.ReservedTokens, "unread", place.chosen.UnreadTokens, "step", place.chosen.TimePerToken)
		l, err := gen.open(gen.send(target), target, place, by)
		if err == nil {
			gen.opened(l)
			gen.runs++
			return l, nil
		}
		last = err
		t.add(err)
		gen.runs = t.sent
		if !gen.g.again(gen.ctx, gen.exchange, true, err, t) {
			break
		}
		avoid = append(avoid, target.ID)
	}
	if last == nil {
		last = gen.g.noTarget(gen.wanted(avoid))
	}
	return nil, last
}

// wanted is what a new run of the generation wants of an engine.
func (gen *generation) wanted(avoid []string) Wanted {
	return Wanted{Service: gen.service.Name, Prompt: gen.Prompt, Within: gen.route.LatencyObjective, Near: Anywhere, Avoid: avoid}
}

// enter notes where the generation runs; a move away from there is not begun.
func (gen *generation) enter(target *directory.ObservedTarget, cancel context.CancelFunc, b *backup) {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	gen.at, gen.cancelLeg, gen.backup, gen.move = target, cancel, b, nil
}

// opened notes the stream from where the generation runs. A move away from
// there may have begun while the prompt was read, and stays the only one.
func (gen *generation) opened(l *leg) {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	gen.cancelLeg, gen.backup = l.cancel, l.backup
}

// runsAt tells whether the generation still runs at a target.
func (gen *generation) runsAt(target *directory.ObservedTarget) bool {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	return gen.at == target
}

// open sends the request to an engine and waits for the answer's header.
func (gen *generation) open(s *call.Send, target *directory.ObservedTarget, place *Place, by *basis) (*leg, error) {
	return gen.openWithin(0, s, target, place, by)
}

// openWithin is open that waits no longer than a limit; 0 means none.
func (gen *generation) openWithin(limit time.Duration, s *call.Send, target *directory.ObservedTarget, place *Place, by *basis) (*leg, error) {
	ctx, cancel := context.WithCancel(gen.ctx)
	if limit > 0 {
		timer := time.AfterFunc(limit, cancel)
		defer timer.Stop()
	}
	b := gen.cover(s, target)
	end := gen.g.cfg.CrashEvidence.begin(target, gen.fingerprint)
	resp, answer, err := gen.g.open(ctx, s, by)
	if answer.Leaving && gen.movable() {
		gen.g.checkLeaving(target)
	}
	if err == nil && answer.Status != http.StatusOK {
		err = gen.failedAnswer(resp, answer)
	}
	if err != nil {
		gen.g.blame(ctx, target, err)
		end(false)
		cancel()
		place.Release()
		b.release()
		return nil, err
	}
	return &leg{target: target, resp: resp, place: place, cancel: cancel, backup: b, end: end}, nil
}

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
	var window enginespeed.Window
	var block sse.Block
	for {
		if err := split.Next(&block); err != nil {
			if errors.Is(err, io.EOF) {
				return errEnded
			}
			return err
		}
		l.place.Started()
		if err := gen.deliver(&block); err != nil {
			return err
		}
		if mean, full := window.Add(gen.pauses.last); full && gen.service.Engine != nil {
			gen.g.cfg.Loads.Stepped(l.target.ID, mean/time.Duration(max(gen.service.Engine.TokensPerEvent, 1)))
		}
	}
}

// deliver hands one event to the caller, unless the generation went over to
// another engine, which makes the event again.
func (gen *generation) deliver(block *sse.Block) error {
	gen.flow.Lock()
	defer gen.flow.Unlock()
	if gen.next != nil {
		return errMoved
	}
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
	return nil
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
func (gen *generation) finish(err error) {
	switch {
	case err == errEnded:
		gen.g.pace.add(gen.pauses)
		gen.g.meters.answered(gen.route.Kind, gen.pauses.last)
		gen.g.meters.served(gen.pauses)
		gen.g.cfg.Log.Info("generation served", "request", gen.ID, "target", gen.at.ID, "route", gen.route.Name, "account", accountName(gen.account),
			"config", gen.view.Config.Version, "events", gen.pauses.events,
			"moves", gen.moves, "first", gen.pauses.first, "longest_pause", gen.pauses.longest, "pause_at", gen.pauses.longestAt, "took", gen.pauses.last)
		return
	case !gen.begun && gen.failed != nil:
		gen.g.answer(gen.exchange, gen.failed)
		return
	case !gen.begun:
		gen.g.refuse(gen.w, gen.Request, err)
		return
	}
	gen.g.meters.broke(gen.ctx.Err() != nil)
	gen.g.cfg.Log.Info("generation broke", "request", gen.ID, "target", gen.at.ID, "events", gen.pauses.events, "caller_left", gen.ctx.Err() != nil, "cause", err)
	panic(http.ErrAbortHandler)
}
