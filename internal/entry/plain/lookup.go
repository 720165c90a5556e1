package plain

import (
	"context"
	"net/http"
	"time"

	"filbertdeck/internal/accounting"
	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/decide/once"
	"filbertdeck/internal/entry/admit"
	"filbertdeck/internal/failure"
)

const (
	// lookupAttempts bounds the targets that one idempotent call is sent to.
	lookupAttempts = 3
	// lookupLimit bounds one attempt.
	lookupLimit = 5 * time.Second
)

// Picker chooses the pool that is asked for admission.
type Picker func(service string, avoid []string) (pool string, err error)

// Doer sends a request once.
type Doer interface {
	Do(req *http.Request) (*http.Response, error)
}

// Lookups relays idempotent calls.
type Lookups struct {
	Admission *admit.Client
	Client    Doer
	Pick      Picker
}

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
func (l *Lookups) run(ctx context.Context, call Call) (*once.Answer, error) {
	var avoid []string
	var sent bool
	for attempt := 1; ; attempt++ {
		answer, target, err := l.attempt(ctx, call, avoid)
		if err == nil {
			return answer, nil
		}
		f := failure.From(err)
		sent = sent || f.Executed != failure.ExecutedNo
		if target == "" || attempt == lookupAttempts || ctx.Err() != nil {
			if sent && f.Executed == failure.ExecutedNo {
				_ = f.Unknown()
			}
			return nil, f
		}
		avoid = append(avoid, target)
		call.Books.Update(func(c *accounting.Counts) { c.Retries++ })
	}
}

func (l *Lookups) attempt(ctx context.Context, call Call, avoid []string) (*once.Answer, string, error) {
	lease, err := acquire(ctx, l.Admission, l.Pick, call, avoid)
	if err != nil {
		return nil, "", err
	}
	started := time.Now()
	answer, err := l.send(ctx, call, lease)
	elapsed := time.Since(started)
	lease.Settle(outcome(ctx, err), elapsed, elapsed)
	return answer, lease.Target, err
}

func (l *Lookups) send(ctx context.Context, call Call, lease *admit.Lease) (*once.Answer, error) {
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
	pool, err := pick(call.Service.Name, avoid)
	if err != nil {
		return nil, err
	}
	lease, err := client.Acquire(ctx, &filbertv1.Ask{
		Pool: pool, Account: call.Account.Name, Fingerprint: call.fingerprint(),
		WaitMs: uint32(call.Service.MaxWait.Milliseconds()), Avoid: avoid,
	})
	if err != nil {
		return nil, err
	}
	call.Books.Update(func(c *accounting.Counts) { c.WaitUS += uint64(lease.Waited.Microseconds()) })
	return lease, nil
}

func outcome(ctx context.Context, err error) filbertv1.Outcome {
	switch f := failure.From(err); {
	case err == nil:
		return filbertv1.Outcome_OUTCOME_DONE
	case f.Executed == failure.ExecutedNo:
		return filbertv1.Outcome_OUTCOME_NOT_RUN
	case ctx.Err() != nil:
		return filbertv1.Outcome_OUTCOME_CALLER_LEFT
	}
	return filbertv1.Outcome_OUTCOME_TARGET_FAILED
}
