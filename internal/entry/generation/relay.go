// Package generation relays one generation from an engine to a caller: it asks
// for admission, starts the generation, checks each frame's place, resumes the
// same generation over a new connection when a link breaks or goes silent, and
// starts another one only while nothing has reached the caller.
package generation

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"filbertdeck/internal/accounting"
	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/decide/delivery"
	"filbertdeck/internal/decide/retrybudget"
	"filbertdeck/internal/entry/admit"
	"filbertdeck/internal/entry/state"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/handle"
	"filbertdeck/internal/prefix"
	"filbertdeck/internal/sse"
	"filbertdeck/internal/table"
)

const (
	// maxAttempts bounds the generations that are started for one request. A
	// third target that fails points at the request, not at the targets.
	maxAttempts = 3
	// handleLife is how long a caller may resume. Engines keep a generation
	// without a connection for seconds; the rest is for clocks that differ.
	handleLife = 2 * time.Minute
	// affinityBlocks is how many blocks of a prompt decide where it goes: the
	// length of a usual instruction before the part that differs.
	affinityBlocks = 4
	// reopenPause lies between two connections for one generation.
	reopenPause = 100 * time.Millisecond
)

// Picker chooses the pool that is asked for admission.
type Picker interface {
	Pick(r state.Request) (state.Choice, error)
}

// PoolOf finds the pool of a target.
type PoolOf func(service, target string) (pool string, ok bool)

// Relay serves generations; it is safe for concurrent use.
type Relay struct {
	admission *admit.Client
	engines   engineClient
	ring      *handle.Ring
	pick      Picker
	poolOf    PoolOf
	budget    *retrybudget.Budget
	start     time.Time
}

// NewRelay returns a relay.
func NewRelay(a *admit.Client, client Doer, ring *handle.Ring, pick Picker, poolOf PoolOf, budget *retrybudget.Budget) *Relay {
	return &Relay{
		admission: a, engines: engineClient{http: client}, ring: ring, pick: pick, poolOf: poolOf,
		budget: budget, start: time.Now(),
	}
}

// Request is one caller's request.
type Request struct {
	Account *table.Account
	Service *table.Service
	Prompt  string
	// PromptTokens and MaxTokens are in tokens.
	PromptTokens, MaxTokens int
	// Body is what the engine receives.
	Body []byte
	// Stream is set when the caller asked for events, Chat for the chat form.
	Stream, Chat bool
	// Resume is set when the caller goes on with a generation that runs.
	Resume *handle.Handle
	Books  *accounting.Entry
	// Begun is when the request arrived.
	Begun time.Time
}

// run is one request in progress; it belongs to one goroutine.
type run struct {
	*Relay
	Request
	out    sink
	order  delivery.Order
	quoted string
	frame  engineFrame
	event  sse.Event
	avoid  []string
	// begun tells whether any target may have started a generation.
	begun      bool
	lastToken  time.Time
	firstToken time.Duration
}

// Serve answers the request. The failure it returns was told to the caller
// already; it is for the accounting.
func (r *Relay) Serve(ctx context.Context, w http.ResponseWriter, req Request) error {
	x := &run{Relay: r, Request: req}
	x.prepare(w)
	defer x.out.close()
	err := x.serve(ctx)
	if req.Service.Type == table.ServiceGeneration {
		req.Books.Whole(err == nil)
	}
	if err != nil {
		x.out.fail(err)
	}
	return err
}

func (x *run) prepare(w http.ResponseWriter) {
	mode := delivery.Stream
	if x.Service.Delivery == table.DeliveryWhole || !x.Stream {
		mode = delivery.Whole
	}
	id := uuid.NewString()
	if x.Resume != nil {
		id = x.Resume.Generation
		x.order = delivery.Resume(mode, id, x.Resume.Offset)
		if x.Resume.Finished {
			x.order = delivery.ResumeFinished(mode, id, x.Resume.Offset)
		}
		x.begun = true
	} else {
		x.order = delivery.New(mode, id)
	}
	x.quoted = `"` + id + `"`
	x.out = x.newSink(w, mode, id)
	x.lastToken = x.Begun
}

func (x *run) newSink(w http.ResponseWriter, mode delivery.Mode, id string) sink {
	s := shape{id: "cmpl-" + id, model: x.Service.Name, chat: x.Chat, created: x.Begun.Unix()}
	h := handle.Handle{
		Account: x.Account.Name, Service: x.Service.Name, Generation: id,
		Issued: x.Begun, Expires: x.Begun.Add(x.life()),
	}
	if x.Resume != nil {
		h.Target = x.Resume.Target
	}
	whole := wholeSink{w: w, shape: s, prompt: x.PromptTokens}
	switch {
	case !x.Stream:
		return &whole
	case mode == delivery.Whole:
		return &heldStreamSink{wholeSink: whole, stream: newStreamSink(w, x.ring, h, s)}
	default:
		return newStreamSink(w, x.ring, h, s)
	}
}

// slowestToken bounds how long a generation may take for each token, for the
// life of its handles.
const slowestToken = 250 * time.Millisecond

// life is how long handles of this request are good: as long as the
// generation may run, and the time to come back.
func (x *run) life() time.Duration {
	return handleLife + time.Duration(x.MaxTokens)*slowestToken
}

func (x *run) serve(ctx context.Context) error {
	switch {
	case x.order.Conclude():
		return x.out.finish()
	case x.Resume != nil:
		return x.adopt(ctx)
	}
	key := retrybudget.Key{Account: x.Account.Name, Service: x.Service.Name}
	x.budget.First(time.Since(x.start), key)
	for attempt := 1; ; attempt++ {
		err := x.attempt(ctx)
		if err == nil {
			return nil
		}
		again := attempt < maxAttempts && x.retryable(ctx, err) && x.order.MayRestart()
		if !again || !x.budget.Retry(time.Since(x.start), key) {
			return x.ended(ctx, err)
		}
		x.order.Restart(uuid.NewString())
		x.quoted = `"` + x.order.Generation() + `"`
		x.Books.Update(func(c *accounting.Counts) { c.Retries++ })
	}
}

// retryable tells whether another target may do better.
func (x *run) retryable(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	switch failure.KindOf(err) {
	case failure.KindTargetLost, failure.KindTargetFailed, failure.KindTargetTimeout,
		failure.KindGenerationGone, failure.KindFrameOutOfPlace, failure.KindLeaseLost:
		return true
	}
	return false
}

// ended gives the typed end: what reached the caller, and whether it ran.
func (x *run) ended(ctx context.Context, err error) error {
	f := failure.From(err)
	if ctx.Err() != nil {
		f = failure.Wrap(err, failure.KindDeadline, "the caller left")
	}
	switch {
	case x.order.Reached() > 0:
		f = x.order.Lost(err)
	case x.begun && f.Executed == failure.ExecutedNo && f.Kind != failure.KindPoison:
		_ = f.Unknown()
	}
	return f
}

// attempt runs one generation on one target.
func (x *run) attempt(ctx context.Context) error {
	chain := prefix.Chain(x.Prompt)
	fingerprint := prefix.Fingerprint(x.Service.Name, x.Prompt, x.MaxTokens)
	choice, err := x.pick.Pick(x.choose(chain, fingerprint))
	if err != nil {
		return err
	}
	lease, err := x.admission.Acquire(ctx, &filbertv1.Ask{
		Pool: choice.Pool, Account: x.Account.Name,
		PromptTokens: uint32(x.PromptTokens), MaxTokens: uint32(x.MaxTokens),
		Fingerprint: fingerprint, Prefix: chain, WaitMs: uint32(x.Service.MaxWait.Milliseconds()), Avoid: x.avoid,
	})
	choice.Decided()
	if err != nil {
		return err
	}
	x.Books.Update(func(c *accounting.Counts) { c.WaitUS += uint64(lease.Waited.Microseconds()) })
	started := time.Now()
	x.firstToken = 0
	err = x.runOn(ctx, lease, started)
	lease.Settle(outcome(ctx, err), x.firstToken, time.Since(started))
	if err != nil {
		x.avoid = append(x.avoid, lease.Target)
	}
	return err
}

// choose gives what the choice of a pool depends on: requests with the same
// beginning go where it is cached, equal ones without a beginning of a block's
// length to the same pools.
func (x *run) choose(chain []uint64, fingerprint uint64) state.Request {
	r := state.Request{Service: x.Service.Name, Affinity: fingerprint, Avoid: x.avoid}
	if n := min(len(chain), affinityBlocks); n > 0 {
		r.Affinity, r.Cached = chain[n-1], true
	}
	return r
}

func outcome(ctx context.Context, err error) filbertv1.Outcome {
	if err == nil {
		return filbertv1.Outcome_OUTCOME_DONE
	}
	if ctx.Err() != nil {
		return filbertv1.Outcome_OUTCOME_CALLER_LEFT
	}
	f := failure.From(err)
	switch {
	case f.Kind == failure.KindTargetLost:
		return filbertv1.Outcome_OUTCOME_TARGET_CRASHED
	case f.Kind == failure.KindGenerationGone:
		// The target answers, so it lives: the link was cut before it began.
		// Called a crash this would hold the request back as a suspect.
		return filbertv1.Outcome_OUTCOME_TARGET_FAILED
	case f.Executed == failure.ExecutedNo:
		return filbertv1.Outcome_OUTCOME_NOT_RUN
	case f.Kind == failure.KindDeadline:
		return filbertv1.Outcome_OUTCOME_CALLER_LEFT
	}
	return filbertv1.Outcome_OUTCOME_TARGET_FAILED
}

func (x *run) runOn(ctx context.Context, lease *admit.Lease, started time.Time) error {
	if err := lease.Check(time.Now()); err != nil {
		return err
	}
	generation := x.order.Generation()
	x.out.restart(generation, lease.Target)
	s, err := x.engines.start(ctx, lease, generation, x.Body)
	if err != nil && failure.From(err).Executed == failure.ExecutedNo {
		return err
	}
	x.begun = true
	progress := func() {
		if x.firstToken == 0 {
			x.firstToken = time.Since(started)
		}
		lease.Produced(int(x.order.Next()))
	}
	err = x.follow(ctx, s, err, lease.Target, progress)
	x.release(ctx, lease.Target, generation, err)
	return err
}

// release cancels a generation that nobody can come back to: its tokens would
// take room from others.
func (x *run) release(ctx context.Context, target, generation string, err error) {
	abandoned := ctx.Err() != nil && x.order.Reached() == 0
	if err != nil && (abandoned || x.order.MayRestart()) {
		go x.engines.cancelGeneration(target, generation)
	}
}

// adopt goes on with a generation that another entry, or an earlier
// connection, began.
func (x *run) adopt(ctx context.Context) error {
	h := x.Resume
	x.Books.Update(func(c *accounting.Counts) { c.Resumes++ })
	lease := x.adoptLease(ctx)
	s, err := x.engines.resume(ctx, h.Target, h.Generation, h.Offset)
	progress := func() {
		if lease != nil {
			lease.Produced(int(x.order.Next()))
		}
	}
	err = x.follow(ctx, s, err, h.Target, progress)
	if lease != nil {
		lease.Settle(outcome(ctx, err), 0, time.Since(x.Begun))
	}
	if err != nil {
		return x.ended(ctx, err)
	}
	return nil
}

// adoptLease books the generation with the target's allocator. Without one
// the generation goes on all the same: it runs already, and the target's own
// report counts it.
func (x *run) adoptLease(ctx context.Context) *admit.Lease {
	pool, ok := x.poolOf(x.Service.Name, x.Resume.Target)
	if !ok {
		return nil
	}
	lease, err := x.admission.Acquire(ctx, &filbertv1.Ask{
		Pool: pool, Account: x.Account.Name, AdoptTarget: x.Resume.Target,
		AdoptTokens: uint32(x.Resume.Offset), MaxTokens: uint32(x.MaxTokens),
	})
	if err != nil {
		return nil
	}
	return lease
}

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
		if !x.resumable(ctx, err) || !x.order.Reopen() {
			return err
		}
		x.Books.Update(func(c *accounting.Counts) { c.Resumes++ })
		if !pause(ctx, reopenPause) {
			return err
		}
		s, err = x.engines.resume(ctx, target, x.order.Generation(), x.order.Next())
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
			if x.order.Conclude() {
				// Only the closing event is missing: the answer is whole.
				x.order.Release()
				return nil
			}
			return lostStream(err)
		}
		if x.event.Comment {
			if err := x.out.alive(); err != nil {
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
		x.order.Release()
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
	return false, x.out.token(&x.frame, x.order.Next())
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
	if x.order.Next() == uint64(tokens) {
		x.Books.FirstToken(now.Sub(x.Begun))
	}
	x.Books.Tokens(tokens, now.Sub(x.lastToken))
	x.lastToken = now
}
