package faults_test

import (
	"fmt"
	"time"

	"filbertdeck/internal/decide/admission"
	"filbertdeck/internal/decide/delivery"
	"filbertdeck/internal/decide/idempotency"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/handle"
)

var epoch = time.Unix(1_800_000_000, 0)

// ring is shared by all entries, as in a deployment.
var ring, _ = handle.NewKeyRing(handle.RandomSecret())

// receive takes a caller's request at the entry.
func (h *host) receive(s *sending) {
	h.serving++
	s.host = h
	s.call.where.host = h
	h.w.every(h.proc, time.Second, func() {
		if !s.over {
			s.conn.send(0, func() { s.call.alive(s) })
		}
	})
	h.w.step(s.call, stepAccepted, h.proc, func() {
		if s.call.kind.booking() {
			h.booking(s, idempotency.Call{}, s.finish)
		} else {
			h.generate(s)
		}
	})
}

// finish ends a sending at its entry.
func (s *sending) finish(err *failure.Error) {
	if s.over {
		return
	}
	s.over = true
	s.host.serving--
	s.conn.send(0, func() { s.call.end(s, err) })
	s.host.w.step(s.call, stepAnswer, s.host.proc, func() {})
}

// run is a generation in progress at an entry.
type run struct {
	h        *host
	s        *sending
	order    delivery.Sequencer
	conn     *conn
	lease    *lease
	target   *engine
	avoid    []string
	attempts int
	begun    bool
	held     []token
	last     time.Duration
}

func (h *host) generate(s *sending) {
	mode := delivery.Stream
	if s.call.kind == kindWhole {
		mode = delivery.Buffered
	}
	r := &run{h: h, s: s, order: delivery.New(mode, h.newID(s))}
	s.conn.lost[1] = r.callerLeft
	if s.resume == "" {
		r.attempt()
		return
	}
	at, err := ring.Open(s.resume, s.call.account, epoch.Add(h.w.now))
	if err != nil {
		s.finish(failure.FromError(err))
		return
	}
	r.order = delivery.Resume(mode, at.Generation, at.Offset)
	if at.Finished {
		r.order = delivery.ResumeFinished(mode, at.Generation, at.Offset)
	}
	r.target, r.begun = h.w.target(at.Target), true
	if r.order.MarkComplete() {
		r.complete()
		return
	}
	r.reconnect()
}

func (h *host) newID(s *sending) string {
	h.w.ids++
	return fmt.Sprint(s.call.name, "-", h.w.ids)
}

func (r *run) attempt() {
	r.attempts++
	r.h.admit(r.s, "reports", r.avoid, func(l *lease, d admission.Decision) {
		switch {
		case r.s.over:
			r.h.settle(l, admission.OutcomeNotRun)
		case l == nil:
			r.end(refusal(d))
		case r.h.w.now >= l.deadline: // slept past its right
			r.h.settle(l, admission.OutcomeNotRun)
			r.again(failure.New(failure.KindLeaseLost, "slept"))
		default:
			r.start(l)
		}
	})
}

func refusal(d admission.Decision) *failure.Error {
	kind := failure.KindOverloaded
	if d.Reason == admission.RefusedPoison {
		kind = failure.KindPoison
	}
	return failure.New(kind, "reason %d", d.Reason).WithRetryAfter(d.RetryAfter)
}

func (r *run) start(l *lease) {
	r.lease, r.target = l, l.target
	r.s.call.where.target = l.target
	r.connect(func(c *conn) {
		id := r.order.Generation()
		c.send(1, func() {
			r.target.start(r.s, id, c, func() { r.targetLost(c) })
		})
		r.begun = true
		r.h.w.step(r.s.call, stepSent, r.h.proc, func() {})
	})
}

// connect opens a connection to the target; when there is none the generation
// is lost.
func (r *run) connect(then func(*conn)) {
	var c *conn
	c = r.h.w.dial(r.h.proc, r.target.proc, func() { r.targetLost(c) })
	if c == nil {
		r.generationLost(admission.OutcomeTargetCrashed)
		return
	}
	r.conn, r.last = c, r.h.w.now
	r.s.call.where.conn = c
	c.frame = func(f delivery.Frame, text string) { r.frame(c, f, text) }
	then(c)
	r.watch(c)
}

// watch doubts a connection that stays silent.
func (r *run) watch(c *conn) {
	r.h.w.after(r.h.proc, doubtTime, func() {
		switch {
		case r.s.over || r.conn != c:
		case r.h.w.now-r.last >= doubtTime:
			r.targetLost(c)
		default:
			r.watch(c)
		}
	})
}

func (r *run) reconnect() {
	r.connect(func(c *conn) {
		id, offset := r.order.Generation(), r.order.NextOffset()
		c.send(1, func() {
			r.target.resume(id, offset, c, func() {
				if r.conn == c { // the target lives and knows nothing of it
					c.close(0)
					r.generationLost(admission.OutcomeTargetFailed)
				}
			})
		})
	})
}

func (r *run) targetLost(c *conn) {
	if r.s.over || r.conn != c {
		return
	}
	c.close(0)
	r.conn = nil
	if r.order.MarkComplete() {
		r.complete()
		return
	}
	if r.h.w.naive.restart { // a broken connection is a failed request: run it again
		r.h.settle(r.lease, admission.OutcomeTargetFailed)
		r.again(r.order.LostError(nil))
		return
	}
	if !r.order.TryResume() {
		r.generationLost(admission.OutcomeTargetCrashed)
		return
	}
	r.h.w.after(r.h.proc, 100*time.Millisecond, func() {
		if !r.s.over {
			r.reconnect()
		}
	})
}

func (r *run) generationLost(outcome admission.Outcome) {
	if r.s.over {
		return
	}
	r.conn = nil
	if !r.begun {
		outcome = admission.OutcomeNotRun
	}
	r.h.settle(r.lease, outcome)
	r.avoid = append(r.avoid, r.target.name)
	r.again(r.order.LostError(nil))
}

// again starts another generation where that is allowed.
func (r *run) again(err *failure.Error) {
	allowed := r.attempts < 3 && r.order.Restart(r.h.newID(r.s))
	if r.h.w.naive.restart && r.attempts < 3 {
		r.order, allowed = delivery.New(delivery.Stream, r.h.newID(r.s)), true
	}
	if allowed {
		r.held = nil
		r.attempt()
		return
	}
	r.end(err)
}

// end tells the caller; once a target may have begun nobody says "no".
func (r *run) end(err *failure.Error) {
	if r.begun && err.Executed == failure.ExecutedNo && !r.h.w.naive.sayNo {
		err = err.WithExecutionUnknown()
	}
	if r.h.w.naive.sayNo {
		err.Executed = failure.ExecutedNo
	}
	r.s.finish(err)
}

func (r *run) frame(c *conn, f delivery.Frame, text string) {
	if r.s.over || r.conn != c {
		return
	}
	r.last = r.h.w.now
	verdict := r.order.Check(f)
	if r.h.w.naive.unchecked {
		verdict = delivery.Pass
		if f.Done {
			verdict = delivery.Complete
		}
	}
	switch verdict {
	case delivery.Pass:
		r.pass(f, text)
	case delivery.Gap, delivery.Mismatched:
		r.targetLost(c)
	case delivery.Complete:
		c.close(0)
		r.complete()
	}
}

func (r *run) complete() {
	r.order.MarkReleased()
	r.h.settle(r.lease, admission.OutcomeDone)
	if len(r.held) > 0 {
		tokens := r.held
		r.s.conn.send(0, func() { r.s.call.take(r.s, "", tokens...) })
	}
	r.s.finish(nil)
}

func (r *run) pass(f delivery.Frame, text string) {
	if r.lease != nil {
		r.lease.produced = int(r.order.NextOffset())
	}
	t := token{f.Generation, f.Offset, text}
	if r.s.call.kind == kindWhole {
		r.held = append(r.held, t)
	} else {
		id := string(ring.AppendSealed(nil, handle.Handle{
			Account: r.s.call.account, Service: "reports", Target: r.target.name, Generation: r.order.Generation(),
			Offset: r.order.NextOffset(), Finished: r.order.Finished(), Expires: epoch.Add(r.h.w.now + time.Minute),
		}))
		r.s.conn.send(0, func() { r.s.call.take(r.s, id, t) })
	}
	for at, s := range map[int]step{0: stepFirst, r.s.call.length / 2: stepMiddle, r.s.call.length - 1: stepLast} {
		if int(f.Offset) == at {
			r.h.w.step(r.s.call, s, r.h.proc, func() {})
		}
	}
}

func (r *run) callerLeft() {
	if r.s.over {
		return
	}
	r.s.over = true
	r.h.serving--
	r.conn.close(0)
	r.h.settle(r.lease, admission.OutcomeCallerLeft)
	if r.begun && r.order.DeliveredTokens() == 0 {
		target, id := r.target, r.order.Generation()
		r.h.w.message(r.h.proc, target.proc, func() { target.cancel(id) }, nil)
	}
}

// booking decides who runs a call that may run once, and has it run.
func (h *host) booking(s *sending, call idempotency.Call, reply func(*failure.Error)) {
	key, err := s.call.parsedKey()
	if err != nil {
		reply(failure.FromError(err))
		return
	}
	call.Account, call.Key, call.Fingerprint, call.WallTime = s.call.account, key, 1, epoch.Add(h.w.now)
	if h.w.naive.runAnywhere {
		h.execute(s, key, reply)
		return
	}
	switch d := h.register.Begin(h.w.now, call); d.Action {
	case idempotency.Run:
		h.execute(s, key, reply)
	case idempotency.Replay:
		reply(nil)
	case idempotency.Forward:
		h.forward(s, d.Owner, reply)
	default:
		reply(d.Err)
	}
}

const forwardLimit = 8 * time.Second

func (h *host) forward(s *sending, to idempotency.Process, reply func(*failure.Error)) {
	owner := h.w.host(to.Address)
	answered := false
	answer := func(err *failure.Error) {
		if !answered {
			answered = true
			reply(err)
		}
	}
	lost := func() { answer(idempotency.OwnerUnreachable(failure.New(failure.KindOwnerLost, "no answer"))) }
	c := h.w.dial(h.proc, owner.proc, lost)
	if c == nil {
		lost()
		return
	}
	revision := h.hosts.Revision
	c.send(1, func() {
		call := idempotency.Call{Forwarded: true, Incarnation: to.Incarnation, HostsRevision: revision}
		owner.booking(s, call, func(err *failure.Error) { c.send(0, func() { answer(err) }) })
	})
	h.w.after(h.proc, forwardLimit, lost)
}

func (h *host) execute(s *sending, key idempotency.Key, reply func(*failure.Error)) {
	w, account := h.w, s.call.account
	h.admit(s, "orders", nil, func(l *lease, d admission.Decision) {
		notRun := func(err *failure.Error) {
			h.settle(l, admission.OutcomeNotRun)
			h.register.MarkNotRun(account, key)
			reply(err)
		}
		if l == nil {
			notRun(refusal(d))
			return
		}
		if w.now >= l.deadline {
			notRun(failure.New(failure.KindLeaseLost, "slept").WithRetryAfter(time.Second))
			return
		}
		over := false
		lost := func() {
			if over {
				return
			}
			over = true
			h.settle(l, admission.OutcomeTargetFailed)
			h.register.MarkLost(account, key)
			err := failure.New(failure.KindOutcomeUnknown, "no answer").WithExecutionUnknown()
			if w.naive.sayNo {
				err.Executed = failure.ExecutedNo
			}
			reply(err)
		}
		c := w.dial(h.proc, l.target.proc, lost)
		if c == nil {
			notRun(failure.New(failure.KindTargetFailed, "not reached").WithRetryAfter(time.Second))
			return
		}
		if !w.naive.runAnywhere {
			if _, err := h.register.Check(w.now, account, key); err != nil {
				c.close(0)
				notRun(err)
				return
			}
		}
		s.call.where.target, s.call.where.conn = l.target, c
		c.send(1, func() {
			l.target.book(s, c, func() {
				if over {
					return
				}
				over = true
				c.close(0)
				h.settle(l, admission.OutcomeDone)
				h.register.MarkFinished(account, key, &idempotency.Answer{Status: 200})
				w.step(s.call, stepLast, h.proc, func() { reply(nil) })
			})
		})
		w.step(s.call, stepSent, h.proc, func() {})
		w.after(h.proc, doubtTime, lost)
	})
}
