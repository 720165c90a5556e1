package servicecall

import (
	"context"
	"net/http"
	"time"

	"filbertdeck/internal/accounting"
	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/decide/hedge"
	"filbertdeck/internal/decide/idempotency"
	"filbertdeck/internal/decide/retrybudget"
	"filbertdeck/internal/entry/admit"
	"filbertdeck/internal/entry/state"
	"filbertdeck/internal/failure"
)

const (
	// maxIdempotentAttempts is the maximum number of attempts for an idempotent
	// call.
	maxIdempotentAttempts = 3
	// idempotentAttemptTimeout limits one attempt.
	idempotentAttemptTimeout = 5 * time.Second
)

// Picker selects the pool that is asked for admission.
type Picker interface {
	Pick(r state.Request) (state.Choice, error)
}

// Doer sends an HTTP request without retrying.
type Doer interface {
	Do(req *http.Request) (*http.Response, error)
}

// IdempotentRelay relays idempotent calls.
type IdempotentRelay struct {
	Admission   *admit.Client
	Client      Doer
	Picker      Picker
	RetryBudget *retrybudget.Budget
	Hedges      *hedge.Set
	Board       *state.Board
	StartTime   time.Time
}

func (r *IdempotentRelay) now() time.Duration { return time.Since(r.StartTime) }

// Serve relays the call. It has already written the error that it returns to the
// caller.
func (r *IdempotentRelay) Serve(ctx context.Context, w http.ResponseWriter, call Call) error {
	answer, err := r.sendWithRetries(ctx, call)
	call.Accounting.RecordLookup(time.Since(call.ArrivedAt))
	if err != nil {
		failure.Write(w, err)
		return err
	}
	writeAnswer(w, answer)
	return nil
}

// sendWithRetries tries targets until one answers. Repeating the call is safe:
// either the table declares the service's calls repeatable, or the method is
// safe.
func (r *IdempotentRelay) sendWithRetries(ctx context.Context, call Call) (*idempotency.Answer, error) {
	key := retrybudget.Key{Account: call.Account.Name, Service: call.Service.Name}
	r.RetryBudget.RecordFirstAttempt(r.now(), key)
	var failedTargets []string
	var mayHaveRun bool
	for attempt := 1; ; attempt++ {
		result := r.sendHedged(ctx, call, failedTargets, attempt == 1)
		if result.err == nil {
			return result.answer, nil
		}
		f := failure.FromError(result.err)
		mayHaveRun = mayHaveRun || f.Executed != failure.ExecutedNo
		final := result.target == "" || attempt == maxIdempotentAttempts || ctx.Err() != nil
		if final || !r.RetryBudget.AllowRetry(r.now(), key) {
			if mayHaveRun && f.Executed == failure.ExecutedNo {
				_ = f.WithExecutionUnknown()
			}
			return nil, f
		}
		failedTargets = append(failedTargets, result.target)
		call.Accounting.Update(func(c *accounting.Counts) { c.Retries++ })
	}
}

// attemptResult is the result of one attempt; target is empty if admission gave
// none.
type attemptResult struct {
	answer *idempotency.Answer
	target string
	err    error
}

// sendHedged sends the call, and again to another target if the answer is late
// and the hedging budget allows it. The first complete answer is returned.
func (r *IdempotentRelay) sendHedged(ctx context.Context, call Call, failedTargets []string, firstAttempt bool) attemptResult {
	hedger := r.Hedges.ForService(r.now(), call.Service.Name)
	delay, ok := hedger.StartCall(firstAttempt)
	if !ok {
		return r.sendObserved(ctx, call, failedTargets, hedger)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attemptResult, 2)
	startedAt := time.Now()
	chosenTarget := make(chan string, 1)
	go func() { results <- r.attempt(ctx, call, failedTargets, chosenTarget) }()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	pending := 1
	for {
		select {
		case result := <-results:
			pending--
			if result.err == nil || pending == 0 {
				hedger.Observe(r.now(), time.Since(startedAt))
				return result
			}
		case <-timer.C:
			if target, ok := r.mayHedge(hedger, call, chosenTarget); ok {
				pending++
				call.Accounting.Update(func(c *accounting.Counts) { c.Hedges++ })
				go func() {
					results <- r.attempt(ctx, call, append(failedTargets[:len(failedTargets):len(failedTargets)], target), nil)
				}()
			}
		}
	}
}

// sendObserved sends the call without a hedge and reports its latency to the
// hedger.
func (r *IdempotentRelay) sendObserved(ctx context.Context, call Call, failedTargets []string, hedger *hedge.Hedger) attemptResult {
	startedAt := time.Now()
	result := r.attempt(ctx, call, failedTargets, nil)
	if result.err == nil {
		hedger.Observe(r.now(), time.Since(startedAt))
	}
	return result
}

// mayHedge reports whether the call may be sent to a second target now. It may
// not while the first attempt still waits for admission: the pool is full, and a
// second attempt would wait as well.
func (r *IdempotentRelay) mayHedge(hedger *hedge.Hedger, call Call, chosenTarget <-chan string) (target string, ok bool) {
	select {
	case target = <-chosenTarget:
	default:
		return "", false
	}
	backlog, otherTargets := r.Board.HedgeInputs(call.Service.Name, target)
	refusal := hedger.AllowSecondCall(r.now(), hedge.Conditions{Repeatable: true, Backlog: backlog, OtherTargets: otherTargets})
	return target, refusal == hedge.NoRefusal
}

// attempt sends the call to one target and reports which on chosenTarget, if it
// is not nil.
func (r *IdempotentRelay) attempt(ctx context.Context, call Call, failedTargets []string, chosenTarget chan<- string) attemptResult {
	lease, err := acquireLease(ctx, r.Admission, r.Picker, call, failedTargets)
	if err != nil {
		return attemptResult{err: err}
	}
	if chosenTarget != nil {
		chosenTarget <- lease.Target
	}
	startedAt := time.Now()
	answer, err := r.send(ctx, call, lease)
	elapsed := time.Since(startedAt)
	lease.Settle(leaseOutcome(ctx, err), elapsed, elapsed)
	return attemptResult{answer: answer, target: lease.Target, err: err}
}

func (r *IdempotentRelay) send(ctx context.Context, call Call, lease *admit.Lease) (*idempotency.Answer, error) {
	req, err := call.newTargetRequest(lease.Target)
	if err != nil {
		return nil, err
	}
	if err := lease.Check(time.Now()); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, idempotentAttemptTimeout)
	defer cancel()
	resp, err := r.Client.Do(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	answer, err := readAnswer(resp)
	if err != nil {
		return nil, err
	}
	if answer.Status >= http.StatusInternalServerError {
		return nil, failure.New(failure.KindTargetFailed, "the target answered with status %d", answer.Status).WithExecuted()
	}
	return answer, nil
}

// acquireLease requests admission for a call to a plain service.
func acquireLease(ctx context.Context, client *admit.Client, picker Picker, call Call, failedTargets []string) (*admit.Lease, error) {
	fingerprint := call.fingerprint()
	choice, err := picker.Pick(state.Request{Service: call.Service.Name, AffinityKey: fingerprint, FailedTargets: failedTargets})
	if err != nil {
		return nil, err
	}
	lease, err := client.Acquire(ctx, &filbertv1.Ask{
		Pool: choice.Pool, Account: call.Account.Name, Service: call.Service.Name, Fingerprint: fingerprint,
		WaitMs: uint32(call.Service.MaxWait.Milliseconds()), Avoid: failedTargets,
	})
	choice.Done()
	if err != nil {
		return nil, err
	}
	call.Accounting.Update(func(c *accounting.Counts) { c.WaitUS += uint64(lease.WaitTime.Microseconds()) })
	return lease, nil
}

func leaseOutcome(ctx context.Context, err error) filbertv1.Outcome {
	if err == nil {
		return filbertv1.Outcome_OUTCOME_DONE
	}
	switch {
	case failure.FromError(err).Executed == failure.ExecutedNo:
		return filbertv1.Outcome_OUTCOME_NOT_RUN
	case ctx.Err() != nil:
		return filbertv1.Outcome_OUTCOME_CALLER_LEFT
	}
	return filbertv1.Outcome_OUTCOME_TARGET_FAILED
}
