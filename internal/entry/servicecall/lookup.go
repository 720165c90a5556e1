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
	// lookupAttempts bounds the targets that one idempotent call is sent to.
	lookupAttempts = 3
	// lookupLimit bounds one attempt.
	lookupLimit = 5 * time.Second
)

// Picker chooses the pool that is asked for admission.
type Picker interface {
	Pick(r state.Request) (state.Choice, error)
}

// Doer sends a request once.
type Doer interface {
	Do(req *http.Request) (*http.Response, error)
}

// Lookups relays idempotent calls.
type Lookups struct {
	Admission *admit.Client
	Client    Doer
	Pick      Picker
	Budget    *retrybudget.Budget
	Hedges    *hedge.Set
	Board     *state.Board
	Start     time.Time
}

func (l *Lookups) now() time.Duration { return time.Since(l.Start) }

// Serve answers the call; the failure it returns was told to the caller.
func (l *Lookups) Serve(ctx context.Context, w http.ResponseWriter, call Call) error {
	answer, err := l.run(ctx, call)
	call.Books.Lookup(time.Since(call.Arrived))
	if err != nil {
		failure.Write(w, err)
		return err
	}
	write(w, answer)
	return nil
}

// run tries targets until one answers. Sending the call again is safe here:
// the service's row says that its calls may be repeated.
func (l *Lookups) run(ctx context.Context, call Call) (*idempotency.Answer, error) {
	key := retrybudget.Key{Account: call.Account.Name, Service: call.Service.Name}
	l.Budget.RecordFirstAttempt(l.now(), key)
	var avoid []string
	var sent bool
	for attempt := 1; ; attempt++ {
		r := l.hedged(ctx, call, avoid, attempt == 1)
		if r.err == nil {
			return r.answer, nil
		}
		f := failure.From(r.err)
		sent = sent || f.Executed != failure.ExecutedNo
		over := r.target == "" || attempt == lookupAttempts || ctx.Err() != nil
		if over || !l.Budget.AllowRetry(l.now(), key) {
			if sent && f.Executed == failure.ExecutedNo {
				_ = f.Unknown()
			}
			return nil, f
		}
		avoid = append(avoid, r.target)
		call.Books.Update(func(c *accounting.Counts) { c.Retries++ })
	}
}

// result is one sending's end; target is empty when none was found.
type result struct {
	answer *idempotency.Answer
	target string
	err    error
}

// hedged sends the call, and a second time to another target when the answer
// is late and the budget allows it. The first whole answer counts.
func (l *Lookups) hedged(ctx context.Context, call Call, avoid []string, first bool) result {
	hedger := l.Hedges.ForService(l.now(), call.Service.Name)
	delay, ok := hedger.StartCall(first)
	if !ok {
		return l.observed(ctx, call, avoid, hedger)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 2)
	begun := time.Now()
	sentTo := make(chan string, 1)
	go func() { results <- l.attempt(ctx, call, avoid, sentTo) }()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	pending := 1
	for {
		select {
		case r := <-results:
			pending--
			if r.err == nil || pending == 0 {
				hedger.Observe(l.now(), time.Since(begun))
				return r
			}
		case <-timer.C:
			if target, ok := l.second(hedger, call, sentTo); ok {
				pending++
				call.Books.Update(func(c *accounting.Counts) { c.Hedges++ })
				go func() { results <- l.attempt(ctx, call, append(avoid[:len(avoid):len(avoid)], target), nil) }()
			}
		}
	}
}

// observed sends the call once and tells the hedger how long it took.
func (l *Lookups) observed(ctx context.Context, call Call, avoid []string, hedger *hedge.Hedger) result {
	begun := time.Now()
	r := l.attempt(ctx, call, avoid, nil)
	if r.err == nil {
		hedger.Observe(l.now(), time.Since(begun))
	}
	return r
}

// second asks whether the call may be sent again now. A call that still waits
// for admission is not: the pool is full, and a second one would wait as well.
func (l *Lookups) second(hedger *hedge.Hedger, call Call, sentTo <-chan string) (target string, ok bool) {
	select {
	case target = <-sentTo:
	default:
		return "", false
	}
	backlog, others := l.Board.Situation(call.Service.Name, target)
	refusal := hedger.AllowSecond(l.now(), hedge.Conditions{Repeatable: true, Backlog: backlog, OtherTargets: others})
	return target, refusal == hedge.None
}

// attempt sends the call to one target; sentTo, if given, learns which.
func (l *Lookups) attempt(ctx context.Context, call Call, avoid []string, sentTo chan<- string) result {
	lease, err := acquire(ctx, l.Admission, l.Pick, call, avoid)
	if err != nil {
		return result{err: err}
	}
	if sentTo != nil {
		sentTo <- lease.Target
	}
	started := time.Now()
	answer, err := l.send(ctx, call, lease)
	elapsed := time.Since(started)
	lease.Settle(outcome(ctx, err), elapsed, elapsed)
	return result{answer: answer, target: lease.Target, err: err}
}

func (l *Lookups) send(ctx context.Context, call Call, lease *admit.Lease) (*idempotency.Answer, error) {
	req, err := call.request(lease.Target)
	if err != nil {
		return nil, err
	}
	if err := lease.Check(time.Now()); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, lookupLimit)
	defer cancel()
	resp, err := l.Client.Do(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	answer, err := readAnswer(resp)
	if err != nil {
		return nil, err
	}
	if answer.Status >= http.StatusInternalServerError {
		return nil, failure.New(failure.KindTargetFailed, "the target answered with status %d", answer.Status).Ran()
	}
	return answer, nil
}

// acquire asks for admission for a call to a plain service.
func acquire(ctx context.Context, client *admit.Client, pick Picker, call Call, avoid []string) (*admit.Lease, error) {
	fingerprint := call.fingerprint()
	choice, err := pick.Pick(state.Request{Service: call.Service.Name, Affinity: fingerprint, Avoid: avoid})
	if err != nil {
		return nil, err
	}
	lease, err := client.Acquire(ctx, &filbertv1.Ask{
		Pool: choice.Pool, Account: call.Account.Name, Service: call.Service.Name, Fingerprint: fingerprint,
		WaitMs: uint32(call.Service.MaxWait.Milliseconds()), Avoid: avoid,
	})
	choice.Decided()
	if err != nil {
		return nil, err
	}
	call.Books.Update(func(c *accounting.Counts) { c.WaitUS += uint64(lease.Waited.Microseconds()) })
	return lease, nil
}

func outcome(ctx context.Context, err error) filbertv1.Outcome {
	if err == nil {
		return filbertv1.Outcome_OUTCOME_DONE
	}
	switch {
	case failure.From(err).Executed == failure.ExecutedNo:
		return filbertv1.Outcome_OUTCOME_NOT_RUN
	case ctx.Err() != nil:
		return filbertv1.Outcome_OUTCOME_CALLER_LEFT
	}
	return filbertv1.Outcome_OUTCOME_TARGET_FAILED
}
