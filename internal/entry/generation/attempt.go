package generation

import (
	"context"
	"time"

	"github.com/google/uuid"

	"filbertdeck/internal/accounting"
	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/decide/retrybudget"
	"filbertdeck/internal/entry/admit"
	"filbertdeck/internal/entry/state"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/prefix"
)

func (x *run) serve(ctx context.Context) error {
	switch {
	case x.order.MarkComplete():
		return x.out.finish()
	case x.Resume != nil:
		return x.adopt(ctx)
	}
	key := retrybudget.Key{Account: x.Account.Name, Service: x.Service.Name}
	x.budget.RecordFirstAttempt(time.Since(x.start), key)
	for attempt := 1; ; attempt++ {
		err := x.attempt(ctx)
		if err == nil {
			return nil
		}
		again := attempt < maxAttempts && x.retryable(ctx, err) && x.order.MayRestart()
		if !again || !x.budget.AllowRetry(time.Since(x.start), key) {
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
	case x.order.DeliveredTokens() > 0:
		f = x.order.LostError(err)
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
		Pool: choice.Pool, Account: x.Account.Name, Service: x.Service.Name,
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
	x.progressed = started
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
		lease.SetProduced(int(x.order.NextOffset()))
	}
	err = x.follow(ctx, s, err, lease.Target, progress)
	x.release(ctx, lease.Target, generation, err)
	return err
}

// release cancels a generation that nobody can come back to: its tokens would
// take room from others.
func (x *run) release(ctx context.Context, target, generation string, err error) {
	abandoned := ctx.Err() != nil && x.order.DeliveredTokens() == 0
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
			lease.SetProduced(int(x.order.NextOffset()))
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
		Pool: pool, Account: x.Account.Name, Service: x.Service.Name, AdoptTarget: x.Resume.Target,
		AdoptTokens: uint32(x.Resume.Offset), MaxTokens: uint32(x.MaxTokens),
	})
	if err != nil {
		return nil
	}
	return lease
}
