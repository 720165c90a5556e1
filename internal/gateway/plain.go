package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/targetclient"
)

// maxPlainAnswer bounds an answer that is held until it is whole, in bytes.
const maxPlainAnswer = 8 << 20

// whole is a target's complete answer.
type whole struct {
	call.Answer
	header http.Header
	body   []byte
}

// plain relays a request of a plain service. The answer is passed on once it
// is whole: one that breaks off must not look complete, and a repeatable
// request may be sent elsewhere instead.
func (g *Gateway) plain(ctx context.Context, x *exchange) {
	g.cfg.RetryBudget.RecordFirstAttempt(g.cfg.Now(), x.budgetKey())
	var avoid []string
	var last error
	var answer *whole
	var t tries
	var tried string
	var by *basis
	for {
		choice := g.basis()
		target, place, ok := g.cfg.Loads.Acquire(choice.view, plainWanted(x, avoid))
		if !ok {
			break
		}
		tried, by = target.ID, choice
		answer, last = g.try(ctx, x, target, by)
		place.Release()
		t.add(last)
		if !g.again(ctx, x, failed(answer, last), last, t) {
			break
		}
		avoid = append(avoid, target.ID)
	}
	switch {
	case answer != nil:
		g.meters.answered(x.route.Kind, time.Since(x.Arrived))
		g.cfg.Log.Info("request answered", "request", x.ID, "route", x.route.Name, "account", accountName(x.account),
			"config", x.view.Config.Version, "target", tried, "status", answer.Status, "sends", t.sent, "unreached", t.unsent,
			"basis", by, "took", time.Since(x.Arrived))
		g.answer(x, answer)
	case last != nil:
		g.refuse(x.w, x.Request, last)
	default:
		g.refuse(x.w, x.Request, g.noTarget(plainWanted(x, avoid)))
	}
}

// plainWanted is what a request of a plain service wants of a target.
func plainWanted(x *exchange, avoid []string) Wanted {
	return Wanted{Service: x.service.Name, Near: Anywhere, Avoid: avoid}
}

// noTarget is the failure of a request that no target may get.
func (g *Gateway) noTarget(w Wanted) error {
	if wait, limited := g.cfg.Loads.RoomIn(g.view(), w); limited {
		return failure.New(failure.KindOverloaded, "the targets of %s are at the rates that they named", w.Service).After(wait)
	}
	return failure.New(failure.KindNoTarget, "no target of %s may get work", w.Service).After(noTargetRetry)
}

// failed tells whether asking another target may bring a better answer.
func failed(answer *whole, err error) bool {
	return err != nil || answer.Status >= http.StatusInternalServerError
}

// unsentTries bounds the targets that are dialled in vain for one request: one
// that left, one that crashed and one that is cut off, and a spare.
const unsentTries = 4

// tries counts the targets that a request was tried at.
type tries struct {
	// sent counts those that it was sent to, unsent those that could not be
	// reached or whose address another target has by now.
	sent, unsent int
}

func (t *tries) add(err error) {
	if unsent(err) {
		t.unsent++
		return
	}
	t.sent++
}

// unsent tells whether a request never got to a target of its service.
func unsent(err error) bool {
	var f *failure.Error
	if !errors.As(err, &f) || f.Executed != failure.ExecutedNo {
		return false
	}
	switch f.Kind {
	case failure.KindTargetFailed, failure.KindTargetTimeout, failure.KindFenced, failure.KindTargetLeft:
		return true
	}
	return false
}

// again decides whether a request is tried at another target. One that never
// got to a target may always be; else it must certainly not have run or be
// repeatable, the route must allow another target, and the budget of such
// sends must have one left.
func (g *Gateway) again(ctx context.Context, x *exchange, failed bool, err error, t tries) bool {
	if !failed || ctx.Err() != nil {
		return false
	}
	if unsent(err) {
		return t.unsent < unsentTries
	}
	if t.sent >= x.route.MaxAttempts {
		return false
	}
	notRun := err != nil && failure.From(err).Executed == failure.ExecutedNo
	repeatable := x.route.Kind == directory.Repeatable || x.route.Resumable
	if !notRun && !repeatable {
		return false
	}
	if !g.cfg.RetryBudget.AllowRetry(g.cfg.Now(), x.budgetKey()) {
		return false
	}
	g.meters.sentAgain.Inc(1)
	return true
}

// try sends a request to one target. The error says whether it ran; an answer
// without error is the target's own, also when it is a failure.
func (g *Gateway) try(ctx context.Context, x *exchange, target *directory.ObservedTarget, by *basis) (*whole, error) {
	end := g.cfg.CrashEvidence.begin(target, x.fingerprint)
	answer, err := g.fetch(ctx, x, target, by)
	g.blame(ctx, target, err)
	end(err == nil)
	return answer, err
}

// fetch sends a request to one target and reads its whole answer.
func (g *Gateway) fetch(ctx context.Context, x *exchange, target *directory.ObservedTarget, by *basis) (*whole, error) {
	resp, answer, err := g.open(ctx, x.send(target), by)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPlainAnswer+1))
	if err != nil {
		err = failure.Wrap(err, failure.KindTargetLost, "the answer broke off").Unknown()
	} else if len(body) > maxPlainAnswer {
		err = failure.New(failure.KindTargetFailed, "the answer is longer than %d bytes", maxPlainAnswer).Unknown()
	}
	if err != nil {
		return nil, err
	}
	if answer.Status >= http.StatusInternalServerError {
		g.cfg.Loads.Failed(target.ID)
	}
	return &whole{Answer: answer, header: resp.Header, body: body}, nil
}

// open sends a request and checks the header of its answer. A target that says
// that it did not run the request gives a failure that says so.
func (g *Gateway) open(ctx context.Context, s *call.Send, by *basis) (*http.Response, call.Answer, error) {
	req, err := g.cfg.Dialect.WriteSend(ctx, s)
	if err != nil {
		return nil, call.Answer{}, err
	}
	resp, err := g.cfg.Client.Do(req, func() error {
		by.sent()
		if !takesNew(g.view(), s.Target) {
			return failure.New(failure.KindTargetLeft, "target %s left before the request was sent", s.Target.ID)
		}
		return ctx.Err()
	})
	if err != nil {
		return nil, call.Answer{}, err
	}
	answer := g.cfg.Dialect.ReadAnswer(resp)
	g.noteRate(s, answer)
	if err := check(s, answer); err != nil {
		_ = resp.Body.Close()
		return nil, answer, err
	}
	return resp, answer, nil
}

// noteRate takes what a target's answer says of the rate that it takes.
func (g *Gateway) noteRate(s *call.Send, a call.Answer) {
	if a.OtherTarget || a.Echo != s.ID {
		return
	}
	if g.cfg.Loads.ObserveRate(s.Target.ID, a.Rate) {
		g.cfg.Log.Info("target's rate changed", "target", s.Target.ID, "request", s.ID, "limited", a.Rate != nil, "per_second", a.Rate)
	}
}

// check tells what is wrong with an answer's header, nil when it is the
// target's answer to this request.
func check(s *call.Send, a call.Answer) error {
	switch {
	case a.OtherTarget:
		return failure.New(failure.KindFenced, "another target has the address of %s", s.Target.ID)
	case a.NotRun && a.Status >= http.StatusBadRequest:
		return failure.New(failure.KindOverloaded, "target %s did not run the request (status %d)", s.Target.ID, a.Status).After(max(a.RetryAfter, fullRetry))
	case a.Echo != s.ID:
		return failure.New(failure.KindFrameOutOfPlace, "target %s answered another request", s.Target.ID).Unknown()
	case a.Status < http.StatusMultipleChoices && !a.Sealed:
		return failure.New(failure.KindTargetFailed, "target %s answered without its mark", s.Target.ID).Unknown()
	}
	return nil
}

// blame counts a failure against a target, unless the caller's leaving or
// deadline caused it.
func (g *Gateway) blame(ctx context.Context, target *directory.ObservedTarget, err error) {
	if err == nil || ctx.Err() != nil || failure.KindOf(err) == failure.KindTargetLeft {
		return
	}
	if unsent(err) {
		g.cfg.Loads.Unreachable(target.ID)
	}
	if failure.KindOf(err) == failure.KindTargetLost && g.stays(target) {
		g.cfg.CrashEvidence.broke(target, g.dial)
	}
	g.cfg.Loads.Broke(target.ID)
	g.cfg.Log.Debug("target failed", "target", target.ID, "cause", err)
}

// stays tells whether a target is not known to be stopping by plan: the end of
// one that is says nothing of its requests.
func (g *Gateway) stays(target *directory.ObservedTarget) bool {
	return takesNew(g.view(), target.Target) && !g.cfg.Loads.Leaving(target.ID)
}

// dial tells whether somebody listens at an address.
func (g *Gateway) dial(ctx context.Context, address string) error {
	conn, err := targetclient.Dial(ctx, "tcp", address, crashDial)
	if err == nil {
		return conn.Close()
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return failure.Wrap(err, failure.KindTargetFailed, "nobody listens at %s", address)
	}
	return failure.Wrap(err, failure.KindTargetTimeout, "%s does not answer", address)
}

// answer passes a target's answer on.
func (g *Gateway) answer(x *exchange, a *whole) {
	h := x.w.Header()
	g.cfg.Dialect.CopyHeader(h, a.header)
	if mayHaveBody(x.Method, a.Status) {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	x.w.WriteHeader(a.Status)
	if _, err := x.w.Write(a.body); err != nil && len(a.body) > 0 {
		g.cfg.Log.Debug("answer not taken", "request", x.ID, "error", err)
	}
}

// mayHaveBody tells whether an answer's length stands in its header (RFC 9110,
// section 8.6): it does not where no body can follow.
func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
