package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/deferral"
	"filbertdeck/internal/decide/enginespeed"
	"filbertdeck/internal/decide/streamorigin"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/httpcheck"
	"filbertdeck/internal/sse"
	"filbertdeck/internal/wake"
)

// engineFullRetryAfter is returned when an engine is full: a generation ends
// there every few hundred milliseconds.
const engineFullRetryAfter = 300 * time.Millisecond

// generation is one event stream relayed from an engine to its caller.
type generation struct {
	*exchange
	g   *Gateway
	ctx context.Context
	// headerSent is set once the caller has the header of the answer.
	headerSent bool
	// moves counts the engines at which the generation was continued.
	moves atomic.Int32
	// attempts counts the engines that it was sent to as a new run, which the route limits.
	attempts int
	// roomID identifies the generation in its requests for room at engines.
	roomID uint64
	// failedAnswer is an engine's own failure answer, nil when there is none.
	failedAnswer *completeAnswer
	// progress is a copy of times that is read by the goroutine moving the
	// generation.
	progress atomic.Pointer[eventTimes]
	// awaitsEngine is set while an engine is asked to go on with the generation.
	awaitsEngine atomic.Bool
	// lastArrival is the time from the request's arrival to that of the last event, in
	// nanoseconds. The event may not have been passed on yet.
	lastArrival atomic.Int64
	// origin is where the generation's first event was made; nil before it.
	origin atomic.Pointer[streamorigin.Origin]
	// ended is closed when the caller has its answer.
	ended chan struct{}

	// deliveryMu is held while an event is delivered.
	deliveryMu sync.Mutex
	// held holds the events that arrive while the generation switches to another engine: no
	// event of the old engine may follow the switch.
	held  heldEvents
	times eventTimes
	// lastEventID is the id of the last whole event that the caller got.
	lastEventID string
	// nextStream is the stream that continues the generation once the current
	// one ends.
	nextStream *engineStream
	// closed is set once no further stream will be relayed.
	closed bool
	// fresh is the generation's present run if it was started anew; nil while there is
	// none, and while a copy goes on.
	fresh *freshRun
	// withdrawn is set once the generation was withdrawn from an engine.
	withdrawn bool

	// endedBy and lastSwitch describe the last stream that ended early. Only the goroutine
	// that relays the generation uses them.
	endedBy    streamEnder
	lastSwitch *streamSwitch

	mu sync.Mutex
	// target is the target where the generation runs.
	target *directory.ObservedTarget
	// stream is the stream from target, nil until the header of its answer has arrived.
	stream *engineStream
	// move is the move away from target, in progress or done; nil when there is
	// none.
	move *move
	// continuing is set while the generation is continued after the loss of its stream, so
	// that no move begins.
	continuing bool
}

// engineStream is the part of a generation's stream that one engine produces.
type engineStream struct {
	// ctx is the context of the stream, cancel ends it for a reason.
	ctx         context.Context
	cancel      context.CancelCauseFunc
	target      *directory.ObservedTarget
	resp        *http.Response
	reservation *Reservation
	// headerAt is when the header of the answer arrived.
	headerAt time.Time
	backup   *backup
	run      *targetRun
	// isRefused reports whether the stream was ended since its request is known to crash
	// targets.
	isRefused func() bool
	// events reads the stream's events. ahead is the first one if it was read before the
	// stream is relayed, with hasAhead set.
	events   *sse.Splitter
	ahead    sse.RawEvent
	hasAhead bool
	// hadEvent is set once an event was read.
	hadEvent bool
	// ended is set once the stream has ended between two events, broken once it has broken
	// off.
	ended, broken atomic.Bool
	// switched is the switch that opened the stream; nil for another one.
	switched *streamSwitch
}

// next reads the next event, unless it was read ahead.
func (s *engineStream) next(block *sse.RawEvent) error {
	if s.hasAhead {
		*block, s.hasAhead = s.ahead, false
		return nil
	}
	err := s.events.Next(block)
	switch err {
	case nil:
		s.hadEvent = true
	case io.EOF:
		s.ended.Store(true)
	default:
		s.broken.Store(true)
		var invalid *httpcheck.Error
		if errors.As(err, &invalid) {
			err = invalid.Failure()
		}
	}
	return err
}

// isDelimited reports whether the end of the stream shows that it is complete. Another one ends
// with its connection, and so does one that was broken off.
func (s *engineStream) isDelimited() bool {
	return s.resp.ContentLength >= 0 || len(s.resp.TransferEncoding) > 0
}

// isLost reports whether the stream has broken off or was ended.
func (s *engineStream) isLost() bool { return s.broken.Load() || s.ctx.Err() != nil }

// readAhead reads the first event of a stream that is not relayed yet.
func (s *engineStream) readAhead() error {
	if err := s.next(&s.ahead); err != nil {
		return err
	}
	s.hasAhead = true
	return nil
}

// close ends the stream. err is why it ended.
func (s *engineStream) close(err error) {
	switch err {
	case errStreamEnded:
		s.run.finish()
	case errGenerationMoved, errGenerationWithdrawn:
		s.run.drop()
	case errRunRefused:
		s.run.fail(err)
	}
	s.cancel(err)
	_ = s.resp.Body.Close()
	s.reservation.Release()
	s.backup.release()
}

// Reasons for the end of an engine's stream that are not failures of the
// stream.
var (
	// errStreamEnded marks the regular end of a stream.
	errStreamEnded = failure.New(failure.KindInternal, "the stream has ended")
	// errGenerationMoved marks the end of a stream whose generation continues
	// at another engine.
	errGenerationMoved = failure.New(failure.KindInternal, "the generation was moved")
	// errGenerationWithdrawn marks the end of a stream without an event whose generation
	// starts again at another engine.
	errGenerationWithdrawn = failure.New(failure.KindTargetLost, "the generation was withdrawn from its engine, which leaves").WithExecutionUnknown()
	// errRunRefused marks the end of a stream without an event whose request is known to
	// crash targets since it was sent.
	errRunRefused = failure.New(failure.KindTargetLost, "the run was ended since its request crashes targets").WithExecutionUnknown()
	// errEngineAnswered marks that the engine's own failure is the answer to
	// the caller.
	errEngineAnswered = failure.New(failure.KindTargetFailed, "the engine answered with a failure").WithExecuted()
)

// relayGeneration relays a generation.
func (g *Gateway) relayGeneration(ctx context.Context, x *exchange) {
	gen := &generation{exchange: x, g: g, ctx: ctx, ended: make(chan struct{}), roomID: rand.Uint64()}
	defer close(gen.ended)
	g.cfg.RetryBudget.RecordFirstAttempt(g.cfg.Now(), x.budgetKey())
	g.generations.add(gen)
	defer g.generations.remove(gen)
	gen.origin.Store(x.origin)
	gen.recordUrgentPrompt()
	stream, err := gen.start()
	for stream != nil {
		err = gen.relay(stream)
		withdrawn := gen.endFreshRun()
		if withdrawn != nil {
			err = errGenerationWithdrawn
		}
		if stream.isRefused() && err != errStreamEnded {
			err = errRunRefused
		}
		if err != errStreamEnded && err != errGenerationMoved && err != errGenerationWithdrawn && err != errRunRefused {
			gen.g.failRun(gen.ctx, stream.target, stream.run, err)
		}
		if err != errStreamEnded {
			gen.recordStreamEnd(stream)
		}
		stream.close(err)
		if err == errStreamEnded || err == errRunRefused || ctx.Err() != nil {
			withdrawn.releaseSuccessor()
			break
		}
		if withdrawn != nil {
			stream, err = gen.startFrom(withdrawn)
			continue
		}
		stream, err = gen.continueElsewhere(err)
	}
	gen.closeNextStream()
	if err == errStreamEnded && x.route.Resumable {
		g.origins.end(x.streamKey())
	}
	gen.finish(err)
}

// start sends the request to an engine, and to another one when the first did
// not run it and the route allows a retry.
func (gen *generation) start() (*engineStream, error) { return gen.startFrom(nil) }

// startFrom is start for a generation that was withdrawn from an engine, unless
// withdrawn is nil.
func (gen *generation) startFrom(withdrawn *freshRun) (*engineStream, error) {
	var tried triedTargets
	var lastErr error
	counts := attemptCounts{sent: gen.attempts}
	if withdrawn != nil {
		tried, lastErr = withdrawn.tried, errGenerationWithdrawn
	}
	for {
		selection, reservation, err := gen.successorOrAcquire(withdrawn, tried)
		withdrawn = nil
		if refusedAfterSend(err, counts) {
			break
		}
		if err != nil {
			lastErr = err
			break
		}
		if reservation == nil {
			break
		}
		selection.starts = true
		target := reservation.entry
		gen.setTarget(target, nil)
		gen.g.cfg.Log.Info("generation placed", "request", gen.ID, "route", gen.route.Name, "target", target.ID, "version", target.Version, "started", target.StartedUnixMilli,
			"tokens", expectedTokens(gen.Prompt), "prompt", gen.Prompt.Tokens, "max", gen.Prompt.MaxOutputTokens, "hint", gen.Prompt.LengthHint, "basis", selection, "tries", counts.sent+counts.unsent+1, "after", time.Since(gen.ArrivedAt),
			"running", reservation.candidate.Running, "promised", reservation.candidate.ReservedTokens, "unread", reservation.candidate.UnreadTokens, "step", reservation.candidate.TimePerToken, "room_granted", reservation.room.granted)
		s := gen.newSend(target)
		s.ConfirmStart = gen.confirmsStart(target)
		ctx, cancel := context.WithCancelCause(gen.ctx)
		gen.beginFreshRun(reservation, counts.sent+1, tried, cancel)
		stream, err := gen.openStreamIn(ctx, cancel, s, target, reservation, selection)
		if err == nil {
			gen.setStream(stream)
			gen.attempts++
			return stream, nil
		}
		if withdrawn = gen.endFreshRun(); withdrawn != nil {
			tried, lastErr = withdrawn.tried, err
			counts.sent++
			gen.attempts = counts.sent
			continue
		}
		if refusedAfterSend(err, counts) {
			break
		}
		lastErr = err
		counts.add(err)
		gen.attempts = counts.sent
		if !gen.g.shouldRetry(gen.ctx, gen.exchange, true, err, counts) {
			break
		}
		tried.add(target.ID, err)
	}
	if lastErr == nil {
		return nil, gen.g.noTargetError(gen.placementRequest(nil))
	}
	return nil, gen.asMaybeRun(gen.g.withTimeToRoom(lastErr, gen.placementRequest(nil)))
}

// acquire reserves an engine for a new run of the generation; nil when none accepts
// it. While no engine has room the generation waits. The error says why it must not wait
// here.
func (gen *generation) acquire(exclude []string) (_ *selectionState, reserved *Reservation, _ error) {
	req := gen.placementRequest(exclude)
	var hold promptHold
	defer func() { gen.recordHold(&hold, reserved != nil) }()
	turns := gen.newTurns()
	defer func() { turns.end(reserved != nil) }()
	for {
		if err := gen.g.checkVerdict(gen.exchange); err != nil {
			return nil, nil, err
		}
		search := gen.nextSearch()
		if gen.origin.Load() != nil {
			// The caller waits in the middle of a stream, which few engines may go on with.
			search.MemoryShare = 0
		}
		search, maySearch, err := turns.next(search)
		if err != nil {
			return nil, nil, err
		}
		if !maySearch {
			if err := gen.waitForRoom(search.Wait); err != nil {
				return nil, nil, err
			}
			continue
		}
		req.MemoryShare = search.MemoryShare
		req.FirstEventObjective = gen.remainingObjective()
		gen.limitPrompts(&req)
		selection := gen.g.selectionState(gen.exchange)
		_, reservation, outcome := gen.g.cfg.Loads.AcquireWithRoom(selection.view, req)
		if outcome != NoRoom {
			return selection, reservation, nil
		}
		gen.g.metrics.searchesWithoutRoom.Inc(1)
		hold.add(req.PromptLimit, time.Now())
		wait := search.Wait
		if search.MemoryShare == 0 {
			var waits bool
			if wait, waits = deferral.WaitForRoom(gen.deferred(), rand.Float64()); !waits {
				return nil, nil, failure.New(failure.KindOverloaded, "no engine has room for the generation").WithRetryAfter(engineFullRetryAfter)
			}
		}
		if err := gen.waitForRoom(wait); err != nil {
			return nil, nil, err
		}
	}
}

// waitForRoom waits until the next search. The error says why the generation must not wait
// here any longer.
func (gen *generation) waitForRoom(wait time.Duration) error {
	wake.Sleep(gen.ctx, wait)
	if err := gen.g.checkMayStart(gen.exchange); err != nil {
		return err
	}
	if gen.ctx.Err() != nil {
		return failure.New(failure.KindOverloaded, "the caller left or its deadline passed while no engine had memory")
	}
	return nil
}

// remainingObjective returns the time that is left of the route's objective for the
// first event; 0 when there is no objective, or none of it is left.
func (gen *generation) remainingObjective() time.Duration {
	return max(gen.route.LatencyObjective-time.Since(gen.ArrivedAt), 0)
}

// nextSearch returns how to search for an engine now.
func (gen *generation) nextSearch() deferral.Search {
	return deferral.Next(gen.deferred(), rand.Float64())
}

// deferred returns the generation as one that waits for an engine with room.
func (gen *generation) deferred() deferral.Generation {
	return deferral.Generation{
		Urgent: gen.mostUrgent(), Waited: time.Since(gen.ArrivedAt), Timeout: gen.deadline.Sub(gen.ArrivedAt),
		FirstTokenObjective: gen.route.LatencyObjective, TimeToFirstToken: gen.g.cfg.Loads.TimeToFirstToken(gen.Prompt),
	}
}

// mostUrgent reports whether no route of the service has generations that are more
// urgent. Accounts may have a lower priority of their own, which decides at the engine.
func (gen *generation) mostUrgent() bool {
	return gen.route.Priority <= gen.view.MostUrgentPriority(gen.service.Name)
}

// placementRequest returns the requirements for an engine that starts a new run
// of the generation.
func (gen *generation) placementRequest(exclude []string) PlacementRequest {
	return PlacementRequest{
		Service: gen.service.Name, Origin: gen.origin.Load(), Prompt: gen.Prompt, FirstEventObjective: gen.route.LatencyObjective, Locality: PreferLocal, Exclude: exclude,
		Priority: gen.priority(), GrantsRoom: gen.grantsRoom(), RoomID: gen.roomID,
	}
}

// grantsRoom reports whether the owners of engines' counts grant the generation's room.
func (gen *generation) grantsRoom() bool {
	return gen.g.cfg.Scheduling.RoomGrants.On(gen.contentionPolicy())
}

// setTarget records where the generation runs, and the stream from there if it has begun. No
// move away from there has begun.
func (gen *generation) setTarget(target *directory.ObservedTarget, stream *engineStream) {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	gen.target, gen.stream, gen.move = target, stream, nil
}

// setStream records the stream of the target where the generation runs. A move
// away from there may have begun while the prompt was read; it is kept, so that
// there is only one.
func (gen *generation) setStream(stream *engineStream) {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	gen.stream = stream
}

// current returns the target where the generation runs and the stream from there, nil before
// there are any.
func (gen *generation) current() (*directory.ObservedTarget, *engineStream) {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	return gen.target, gen.stream
}

// currentTarget returns the target where the generation runs, nil before there is one.
func (gen *generation) currentTarget() *directory.ObservedTarget {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	return gen.target
}

// isAt reports whether the generation still runs at a target.
func (gen *generation) isAt(target *directory.ObservedTarget) bool {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	return gen.target == target
}

// openStream sends the request to an engine and waits for the header of the
// answer.
func (gen *generation) openStream(s *call.Attempt, target *directory.ObservedTarget, reservation *Reservation, selection *selectionState) (*engineStream, error) {
	ctx, cancel := context.WithCancelCause(gen.ctx)
	return gen.openStreamIn(ctx, cancel, s, target, reservation, selection)
}

// openStreamIn is openStream with the context of the stream, which cancel ends.
func (gen *generation) openStreamIn(ctx context.Context, cancel context.CancelCauseFunc, s *call.Attempt, target *directory.ObservedTarget, reservation *Reservation, selection *selectionState) (*engineStream, error) {
	newBackup := gen.placeBackup(s, target)
	ctx, refuse := context.WithCancelCause(ctx)
	end := func(cause error) {
		refuse(cause)
		cancel(cause)
	}
	run := gen.g.cfg.CrashEvidence.begin(target, gen.identity)
	if !s.TestRun {
		run.endWhenRefused(func() {
			if gen.progress.Load() == nil {
				refuse(errRunRefused)
			}
		})
	}
	isRefused := func() bool { return context.Cause(ctx) == errRunRefused }
	selection.run = run
	resp, answer, err := gen.g.send(ctx, s, selection)
	if answer.ShuttingDown && gen.movable() {
		gen.g.checkClosingTarget(target)
	}
	if err == nil && answer.Status != http.StatusOK {
		err = gen.readFailedAnswer(resp, answer, target.Target)
	}
	if err != nil {
		switch {
		case context.Cause(ctx) == errGenerationWithdrawn:
			run.drop()
		case isRefused():
			err = errRunRefused
			run.fail(err)
		default:
			gen.g.failRun(ctx, target, run, err)
		}
		end(err)
		reservation.Release()
		newBackup.release()
		return nil, err
	}
	return &engineStream{ctx: ctx, cancel: end, target: target, resp: resp, headerAt: time.Now(), events: sse.NewSplitter(resp.Body, 0), reservation: reservation, backup: newBackup, run: run, isRefused: isRefused}, nil
}

// readFailedAnswer reads an engine's own failure answer, which is passed to the
// caller when no other engine serves the request. Once a caller has events, no
// other answer can follow them.
func (gen *generation) readFailedAnswer(resp *http.Response, answer call.ResponseHeader, target directory.Target) error {
	body, err := gen.g.answers.read(resp)
	if err != nil {
		gen.g.recordInvalidAnswer(target, err, requestAttr(gen.ID))
		return err
	}
	if gen.headerSent {
		body.release()
		return failure.New(failure.KindTargetFailed, "the engine answered with status %d instead of continuing the stream", resp.StatusCode).WithExecutionUnknown()
	}
	gen.failedAnswer.release()
	gen.failedAnswer = &completeAnswer{ResponseHeader: answer, header: resp.Header, body: body}
	return errEngineAnswered
}

// relay passes whole events on until the engine's stream ends.
func (gen *generation) relay(stream *engineStream) error {
	var window enginespeed.Window
	var block sse.RawEvent
	for {
		if err := stream.next(&block); err != nil {
			gen.g.recordInvalidAnswer(stream.target.Target, err, requestAttr(gen.ID))
			if gen.awaitSwitch(err == io.EOF && stream.isDelimited()) {
				return errGenerationMoved
			}
			if errors.Is(err, io.EOF) {
				err = gen.checkNotEmpty(stream)
			}
			if err == errStreamEnded {
				gen.writeHeader(stream.resp)
			} else if context.Cause(stream.ctx) == errGenerationMoved {
				return errGenerationMoved
			}
			return err
		}
		stream.reservation.MarkPromptRead()
		stream.run.recordEvent()
		arrivedAfter := time.Since(gen.ArrivedAt)
		if err := gen.deliver(&block, stream); err != nil {
			return err
		}
		if mean, full := window.Add(arrivedAfter); full && gen.service.Engine != nil {
			gen.g.cfg.Loads.RecordStep(stream.target.ID, mean/time.Duration(max(gen.service.Engine.TokensPerEvent, 1)))
		}
	}
}

// checkNotEmpty returns the end of a stream that ended between two events. One without an event
// was broken off, unless the generation has begun before and the stream shows its end:
// without a length or chunks nothing else does.
func (gen *generation) checkNotEmpty(stream *engineStream) error {
	begun := gen.times.events > 0
	if stream.hadEvent || begun && stream.isDelimited() || !begun && gen.takesUp() {
		return errStreamEnded
	}
	gen.g.metrics.emptyStreams.Inc(1)
	gen.g.cfg.Log.Info("stream ended without an event", "request", gen.ID, "target", stream.target.ID)
	return failure.New(failure.KindTargetLost, "the stream ended before its first event").WithExecutionUnknown()
}

// deliver passes one event of an engine to the caller, unless the generation has
// switched to another engine, which produces the event again. While it switches, the event
// is held.
func (gen *generation) deliver(block *sse.RawEvent, from *engineStream) error {
	gen.lastArrival.Store(int64(time.Since(gen.ArrivedAt)))
	gen.deliveryMu.Lock()
	defer gen.deliveryMu.Unlock()
	for gen.nextStream == nil && gen.held.switching() {
		if gen.held.add(block) {
			return nil
		}
		gen.awaitSwitchLocked()
	}
	if gen.nextStream != nil {
		return errGenerationMoved
	}
	if gen.fresh.isWithdrawn() {
		return errGenerationWithdrawn
	}
	if gen.held.err != nil {
		return gen.held.err
	}
	if gen.times.events == 0 {
		gen.begin(from.target)
	}
	gen.writeHeader(from.resp)
	return gen.write(block)
}

// write passes one event to the caller. The caller of write holds deliveryMu.
func (gen *generation) write(block *sse.RawEvent) error {
	if _, err := gen.w.Write(block.Bytes); err != nil {
		return failure.Wrap(err, failure.KindTargetLost, "writing to the caller failed")
	}
	if f, ok := gen.w.(http.Flusher); ok {
		f.Flush()
	}
	gen.times.record(time.Since(gen.ArrivedAt))
	times := gen.times
	gen.progress.Store(&times)
	if block.ID != nil {
		gen.lastEventID = string(block.ID)
	}
	return nil
}

// begin records where the generation began, before the caller gets its first event.
func (gen *generation) begin(at *directory.ObservedTarget) {
	origin := gen.origin.Load()
	if origin == nil {
		origin = streamorigin.Of(at.Target)
		gen.origin.Store(origin)
	}
	if gen.route.Resumable {
		gen.g.origins.begin(gen.exchange, *origin)
	}
}

// writeHeader passes the header of the first engine's answer to the caller, right before
// the first event. Until then the caller can still get another answer.
func (gen *generation) writeHeader(resp *http.Response) {
	if gen.headerSent {
		return
	}
	gen.headerSent = true
	h := gen.w.Header()
	gen.g.cfg.Dialect.CopyResponseHeader(h, resp.Header)
	h.Del("Content-Length")
	gen.w.WriteHeader(resp.StatusCode)
}

// finish ends the answer: regularly when it is complete, else in a way that the
// caller cannot take for a complete answer.
func (gen *generation) finish(err error) {
	defer gen.failedAnswer.release()
	switch {
	case err == errStreamEnded:
		gen.g.averageTimes.add(gen.times)
		gen.g.longestTimes.record(gen.route.Name, gen.times.last)
		gen.g.metrics.countAnswered(gen.route.Kind, gen.times.last)
		gen.g.metrics.recordServed(gen.times)
		gen.g.cfg.Log.Info("generation served", "request", gen.ID, "target", gen.target.ID, "version", gen.target.Version, "route", gen.route.Name, "account", accountName(gen.account),
			"config", gen.view.Config.Version, "events", gen.times.events,
			"moves", gen.moves.Load(), "first", gen.times.first, "longest_pause", gen.times.longestGap, "pause_at", gen.times.longestGapEnd, "took", gen.times.last)
		return
	case !gen.headerSent && gen.failedAnswer != nil:
		gen.g.writeAnswer(gen.exchange, gen.failedAnswer)
		return
	case !gen.headerSent:
		gen.g.refuse(gen.w, gen.Request, err)
		return
	}
	gen.g.metrics.countBroken(gen.ctx.Err() != nil)
	gen.logBroken(err)
	panic(http.ErrAbortHandler)
}
