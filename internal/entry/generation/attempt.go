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
	"filbertdeck/internal/promptprefix"
)

func (a *activeRequest) serve(ctx context.Context) error {
	switch {
	case a.order.MarkComplete():
		return a.sink.finish()
	case a.Resume != nil:
		return a.resumeGeneration(ctx)
	}
	key := retrybudget.Key{Account: a.Account.Name, Service: a.Service.Name}
	a.retryBudget.RecordFirstAttempt(time.Since(a.startTime), key)
	for attempt := 1; ; attempt++ {
		err := a.attempt(ctx)
		if err == nil {
			return nil
		}
		retry := attempt < maxAttempts && a.retryable(ctx, err) && a.order.MayRestart()
		if !retry || !a.retryBudget.AllowRetry(time.Since(a.startTime), key) {
			return a.finalError(ctx, err)
		}
		a.order.Restart(uuid.NewString())
		a.quotedGeneration = `"` + a.order.Generation() + `"`
		a.Accounting.Update(func(c *accounting.Counts) { c.Retries++ })
	}
}

// retryable reports whether the request may succeed on another target.
func (a *activeRequest) retryable(ctx context.Context, err error) bool {
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

// finalError returns the error to report, with what reached the caller and
// whether the request may have run.
func (a *activeRequest) finalError(ctx context.Context, err error) error {
	f := failure.FromError(err)
	if ctx.Err() != nil {
		f = failure.Wrap(err, failure.KindDeadline, "the caller left")
	}
	switch {
	case a.order.DeliveredTokens() > 0:
		f = a.order.LostError(err)
	case a.mayHaveStarted && f.Executed == failure.ExecutedNo && f.Kind != failure.KindPoison:
		_ = f.WithExecutionUnknown()
	}
	return f
}

// attempt runs one generation on one target.
func (a *activeRequest) attempt(ctx context.Context) error {
	chain := promptprefix.BlockHashes(a.Prompt)
	fingerprint := promptprefix.Fingerprint(a.Service.Name, a.Prompt, a.MaxTokens)
	choice, err := a.picker.Pick(a.poolRequest(chain, fingerprint))
	if err != nil {
		return err
	}
	lease, err := a.admission.Acquire(ctx, &filbertv1.Ask{
		Pool: choice.Pool, Account: a.Account.Name, Service: a.Service.Name,
		PromptTokens: uint32(a.PromptTokens), MaxTokens: uint32(a.MaxTokens),
		Fingerprint: fingerprint, Prefix: chain, WaitMs: uint32(a.Service.MaxWait.Milliseconds()), Avoid: a.failedTargets,
	})
	choice.Done()
	if err != nil {
		return err
	}
	a.Accounting.Update(func(c *accounting.Counts) { c.WaitUS += uint64(lease.WaitTime.Microseconds()) })
	startedAt := time.Now()
	a.timeToFirstToken = 0
	err = a.runOnTarget(ctx, lease, startedAt)
	lease.Settle(leaseOutcome(ctx, err), a.timeToFirstToken, time.Since(startedAt))
	if err != nil {
		a.failedTargets = append(a.failedTargets, lease.Target)
	}
	return err
}

// poolRequest returns the input of the pool selection. Requests with the same
// prompt prefix go to pools that have it cached. A prompt shorter than one block
// has no prefix to look up; equal requests of this kind go to the same pools.
func (a *activeRequest) poolRequest(chain []uint64, fingerprint uint64) state.Request {
	r := state.Request{Service: a.Service.Name, AffinityKey: fingerprint, FailedTargets: a.failedTargets}
	if n := min(len(chain), affinityPrefixBlocks); n > 0 {
		r.AffinityKey, r.PrefixAffinity = chain[n-1], true
	}
	return r
}

func leaseOutcome(ctx context.Context, err error) filbertv1.Outcome {
	if err == nil {
		return filbertv1.Outcome_OUTCOME_DONE
	}
	if ctx.Err() != nil {
		return filbertv1.Outcome_OUTCOME_CALLER_LEFT
	}
	f := failure.FromError(err)
	switch {
	case f.Kind == failure.KindTargetLost:
		return filbertv1.Outcome_OUTCOME_TARGET_CRASHED
	case f.Kind == failure.KindGenerationGone:
		// The target answered, so it is alive: the connection was cut before the
		// generation started. If this were reported as a crash, the request
		// would be suspected of causing crashes and be held back.
		return filbertv1.Outcome_OUTCOME_TARGET_FAILED
	case f.Executed == failure.ExecutedNo:
		return filbertv1.Outcome_OUTCOME_NOT_RUN
	case f.Kind == failure.KindDeadline:
		return filbertv1.Outcome_OUTCOME_CALLER_LEFT
	}
	return filbertv1.Outcome_OUTCOME_TARGET_FAILED
}

func (a *activeRequest) runOnTarget(ctx context.Context, lease *admit.Lease, startedAt time.Time) error {
	if err := lease.Check(time.Now()); err != nil {
		return err
	}
	generation := a.order.Generation()
	a.lastProgressAt = startedAt
	a.sink.restart(generation, lease.Target)
	events, err := a.engine.start(ctx, lease, generation, a.EngineBody)
	if err != nil && failure.FromError(err).Executed == failure.ExecutedNo {
		return err
	}
	a.mayHaveStarted = true
	progress := func() {
		if a.timeToFirstToken == 0 {
			a.timeToFirstToken = time.Since(startedAt)
		}
		lease.SetProduced(int(a.order.NextOffset()))
	}
	err = a.relayWithReconnects(ctx, events, err, lease.Target, progress)
	a.cancelAbandoned(ctx, lease.Target, generation, err)
	return err
}

// cancelAbandoned cancels a generation that nobody can resume, since its tokens
// would take capacity from other requests.
func (a *activeRequest) cancelAbandoned(ctx context.Context, target, generation string, err error) {
	abandoned := ctx.Err() != nil && a.order.DeliveredTokens() == 0
	if err != nil && (abandoned || a.order.MayRestart()) {
		go a.engine.cancelGeneration(target, generation)
	}
}

// resumeGeneration continues a generation that was started by another entry or
// over an earlier connection.
func (a *activeRequest) resumeGeneration(ctx context.Context) error {
	h := a.Resume
	a.Accounting.Update(func(c *accounting.Counts) { c.Resumes++ })
	lease := a.adoptLease(ctx)
	events, err := a.engine.resume(ctx, h.Target, h.Generation, h.Offset)
	progress := func() {
		if lease != nil {
			lease.SetProduced(int(a.order.NextOffset()))
		}
	}
	err = a.relayWithReconnects(ctx, events, err, h.Target, progress)
	if lease != nil {
		lease.Settle(leaseOutcome(ctx, err), 0, time.Since(a.ArrivedAt))
	}
	if err != nil {
		return a.finalError(ctx, err)
	}
	return nil
}

// adoptLease registers the generation with the target's allocator. If this
// fails, the generation continues without a lease: it is already running, and
// the target's own report counts it.
func (a *activeRequest) adoptLease(ctx context.Context) *admit.Lease {
	pool, ok := a.lookupPool(a.Service.Name, a.Resume.Target)
	if !ok {
		return nil
	}
	lease, err := a.admission.Acquire(ctx, &filbertv1.Ask{
		Pool: pool, Account: a.Account.Name, Service: a.Service.Name, AdoptTarget: a.Resume.Target,
		AdoptTokens: uint32(a.Resume.Offset), MaxTokens: uint32(a.MaxTokens),
	})
	if err != nil {
		return nil
	}
	return lease
}
