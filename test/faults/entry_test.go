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

var simulationEpoch = time.Unix(1_800_000_000, 0)

// keyRing is shared by all entries, as in a deployment.
var keyRing, _ = handle.NewKeyRing(handle.RandomSecret())

// receiveRequest handles a request that arrives at the entry and sends a
// keep-alive to the caller every second until it is finished.
func (h *host) receiveRequest(att *attempt) {
	h.inProgress++
	att.host = h
	att.call.faultPoint.host = h
	h.sim.runEvery(h.process, time.Second, func() {
		if !att.finished {
			att.conn.send(0, func() { att.call.noteActivity(att) })
		}
	})
	h.sim.reachStep(att.call, stepAccepted, h.process, func() {
		if att.call.kind.isBooking() {
			h.handleBooking(att, idempotency.Call{}, att.finish)
		} else {
			h.startGeneration(att)
		}
	})
}

// finish ends an attempt at its entry and sends the outcome to the caller.
func (att *attempt) finish(err *failure.Error) {
	if att.finished {
		return
	}
	att.finished = true
	att.host.inProgress--
	att.conn.send(0, func() { att.call.finish(att, err) })
	att.host.sim.reachStep(att.call, stepAnswer, att.host.process, func() {})
}

// generationRun is a generation in progress at an entry.
type generationRun struct {
	host         *host
	attempt      *attempt
	delivery     delivery.Sequencer
	conn         *conn
	lease        *lease
	target       *engine
	avoidTargets []string
	attempts     int
	started      bool
	buffered     []token
	lastFrame    time.Duration
}

func (h *host) startGeneration(att *attempt) {
	mode := delivery.Stream
	if att.call.kind == kindWhole {
		mode = delivery.Buffered
	}
	r := &generationRun{host: h, attempt: att, delivery: delivery.New(mode, h.newGenerationID(att))}
	att.conn.onLost[1] = r.callerLeft
	if att.resumeHandle == "" {
		r.requestLease()
		return
	}
	resumePoint, err := keyRing.Open(att.resumeHandle, att.call.account, simulationEpoch.Add(h.sim.now))
	if err != nil {
		att.finish(failure.FromError(err))
		return
	}
	r.delivery = delivery.Resume(mode, resumePoint.Generation, resumePoint.Offset)
	if resumePoint.Finished {
		r.delivery = delivery.ResumeFinished(mode, resumePoint.Generation, resumePoint.Offset)
	}
	r.target, r.started = h.sim.targetByAddress(resumePoint.Target), true
	if r.delivery.MarkComplete() {
		r.complete()
		return
	}
	r.reconnect()
}

func (h *host) newGenerationID(att *attempt) string {
	h.sim.lastID++
	return fmt.Sprint(att.call.name, "-", h.sim.lastID)
}

func (r *generationRun) requestLease() {
	r.attempts++
	r.host.admit(r.attempt, "reports", r.avoidTargets, func(l *lease, d admission.Decision) {
		switch {
		case r.attempt.finished:
			r.host.settle(l, admission.OutcomeNotRun)
		case l == nil:
			r.fail(refusalError(d))
		case r.host.sim.now >= l.deadline: // frozen until the lease expired
			r.host.settle(l, admission.OutcomeNotRun)
			r.retry(failure.New(failure.KindLeaseLost, "the lease expired before the request was sent"))
		default:
			r.start(l)
		}
	})
}

func refusalError(d admission.Decision) *failure.Error {
	kind := failure.KindOverloaded
	if d.Reason == admission.RefusedPoison {
		kind = failure.KindPoison
	}
	return failure.New(kind, "refused with reason %d", d.Reason).WithRetryAfter(d.RetryAfter)
}

func (r *generationRun) start(l *lease) {
	r.lease, r.target = l, l.target
	r.attempt.call.faultPoint.target = l.target
	r.connect(func(c *conn) {
		id := r.delivery.Generation()
		c.send(1, func() {
			r.target.startGeneration(r.attempt, id, c, func() { r.targetLost(c) })
		})
		r.started = true
		r.host.sim.reachStep(r.attempt.call, stepSent, r.host.process, func() {})
	})
}

// connect opens a connection to the target. If that fails the generation is
// lost.
func (r *generationRun) connect(onConnected func(*conn)) {
	var c *conn
	c = r.host.sim.dial(r.host.process, r.target.process, func() { r.targetLost(c) })
	if c == nil {
		r.generationLost(admission.OutcomeTargetCrashed)
		return
	}
	r.conn, r.lastFrame = c, r.host.sim.now
	r.attempt.call.faultPoint.conn = c
	c.onFrame = func(f delivery.Frame, text string) { r.handleFrame(c, f, text) }
	onConnected(c)
	r.watchSilence(c)
}

// watchSilence treats a connection without traffic for silenceTimeout as lost.
func (r *generationRun) watchSilence(c *conn) {
	r.host.sim.runAfter(r.host.process, silenceTimeout, func() {
		switch {
		case r.attempt.finished || r.conn != c:
		case r.host.sim.now-r.lastFrame >= silenceTimeout:
			r.targetLost(c)
		default:
			r.watchSilence(c)
		}
	})
}

func (r *generationRun) reconnect() {
	r.connect(func(c *conn) {
		id, offset := r.delivery.Generation(), r.delivery.NextOffset()
		c.send(1, func() {
			r.target.resume(id, offset, c, func() {
				if r.conn == c { // the target is up but does not know the generation
					c.close(0)
					r.generationLost(admission.OutcomeTargetFailed)
				}
			})
		})
	})
}

func (r *generationRun) targetLost(c *conn) {
	if r.attempt.finished || r.conn != c {
		return
	}
	c.close(0)
	r.conn = nil
	if r.delivery.MarkComplete() {
		r.complete()
		return
	}
	if r.host.sim.mutation.restartAfterDelivery { // treat a lost connection as a failed request and run it again
		r.host.settle(r.lease, admission.OutcomeTargetFailed)
		r.retry(r.delivery.LostError(nil))
		return
	}
	if !r.delivery.TryResume() {
		r.generationLost(admission.OutcomeTargetCrashed)
		return
	}
	r.host.sim.runAfter(r.host.process, 100*time.Millisecond, func() {
		if !r.attempt.finished {
			r.reconnect()
		}
	})
}

func (r *generationRun) generationLost(outcome admission.Outcome) {
	if r.attempt.finished {
		return
	}
	r.conn = nil
	if !r.started {
		outcome = admission.OutcomeNotRun
	}
	r.host.settle(r.lease, outcome)
	r.avoidTargets = append(r.avoidTargets, r.target.name)
	r.retry(r.delivery.LostError(nil))
}

// retry starts a new generation if that is allowed, and fails otherwise.
func (r *generationRun) retry(err *failure.Error) {
	allowed := r.attempts < 3 && r.delivery.Restart(r.host.newGenerationID(r.attempt))
	if r.host.sim.mutation.restartAfterDelivery && r.attempts < 3 {
		r.delivery, allowed = delivery.New(delivery.Stream, r.host.newGenerationID(r.attempt)), true
	}
	if allowed {
		r.buffered = nil
		r.requestLease()
		return
	}
	r.fail(err)
}

// fail reports an error to the caller. Once a target may have started the
// generation the error must not say that it was not executed.
func (r *generationRun) fail(err *failure.Error) {
	if r.started && err.Executed == failure.ExecutedNo && !r.host.sim.mutation.alwaysReportNotRun {
		err = err.WithExecutionUnknown()
	}
	if r.host.sim.mutation.alwaysReportNotRun {
		err.Executed = failure.ExecutedNo
	}
	r.attempt.finish(err)
}

func (r *generationRun) handleFrame(c *conn, f delivery.Frame, text string) {
	if r.attempt.finished || r.conn != c {
		return
	}
	r.lastFrame = r.host.sim.now
	verdict := r.delivery.Check(f)
	if r.host.sim.mutation.skipFrameChecks {
		verdict = delivery.Pass
		if f.Done {
			verdict = delivery.Complete
		}
	}
	switch verdict {
	case delivery.Pass:
		r.deliverToken(f, text)
	case delivery.Gap, delivery.Mismatched:
		r.targetLost(c)
	case delivery.Complete:
		c.close(0)
		r.complete()
	}
}

func (r *generationRun) complete() {
	r.delivery.MarkReleased()
	r.host.settle(r.lease, admission.OutcomeDone)
	if len(r.buffered) > 0 {
		tokens := r.buffered
		r.attempt.conn.send(0, func() { r.attempt.call.receiveTokens(r.attempt, "", tokens...) })
	}
	r.attempt.finish(nil)
}

func (r *generationRun) deliverToken(f delivery.Frame, text string) {
	if r.lease != nil {
		r.lease.produced = int(r.delivery.NextOffset())
	}
	t := token{f.Generation, f.Offset, text}
	if r.attempt.call.kind == kindWhole {
		r.buffered = append(r.buffered, t)
	} else {
		id := string(keyRing.AppendSealed(nil, handle.Handle{
			Account: r.attempt.call.account, Service: "reports", Target: r.target.name, Generation: r.delivery.Generation(),
			Offset: r.delivery.NextOffset(), Finished: r.delivery.Finished(), Expires: simulationEpoch.Add(r.host.sim.now + time.Minute),
		}))
		r.attempt.conn.send(0, func() { r.attempt.call.receiveTokens(r.attempt, id, t) })
	}
	for at, s := range map[int]step{0: stepFirst, r.attempt.call.length / 2: stepMiddle, r.attempt.call.length - 1: stepLast} {
		if int(f.Offset) == at {
			r.host.sim.reachStep(r.attempt.call, s, r.host.process, func() {})
		}
	}
}

func (r *generationRun) callerLeft() {
	if r.attempt.finished {
		return
	}
	r.attempt.finished = true
	r.host.inProgress--
	r.conn.close(0)
	r.host.settle(r.lease, admission.OutcomeCallerLeft)
	if r.started && r.delivery.DeliveredTokens() == 0 {
		target, id := r.target, r.delivery.Generation()
		r.host.sim.sendMessage(r.host.process, target.process, func() { target.cancel(id) }, nil)
	}
}

// handleBooking executes a run-once call, replays its stored answer or forwards
// it to the owner of its key.
func (h *host) handleBooking(att *attempt, call idempotency.Call, onReply func(*failure.Error)) {
	key, err := att.call.parsedKey()
	if err != nil {
		onReply(failure.FromError(err))
		return
	}
	call.Account, call.Key, call.Fingerprint, call.WallTime = att.call.account, key, 1, simulationEpoch.Add(h.sim.now)
	if h.sim.mutation.skipOwnership {
		h.executeBooking(att, key, onReply)
		return
	}
	switch d := h.register.Begin(h.sim.now, call); d.Action {
	case idempotency.Run:
		h.executeBooking(att, key, onReply)
	case idempotency.Replay:
		onReply(nil)
	case idempotency.Forward:
		h.forwardBooking(att, d.Owner, onReply)
	default:
		onReply(d.Err)
	}
}

const forwardTimeout = 8 * time.Second

func (h *host) forwardBooking(att *attempt, to idempotency.Process, onReply func(*failure.Error)) {
	owner := h.sim.hostByName(to.Address)
	answered := false
	answer := func(err *failure.Error) {
		if !answered {
			answered = true
			onReply(err)
		}
	}
	onLost := func() {
		answer(idempotency.OwnerUnreachable(failure.New(failure.KindOwnerLost, "the owner did not answer")))
	}
	c := h.sim.dial(h.process, owner.process, onLost)
	if c == nil {
		onLost()
		return
	}
	revision := h.hosts.Revision
	c.send(1, func() {
		call := idempotency.Call{Forwarded: true, Incarnation: to.Incarnation, HostsRevision: revision}
		owner.handleBooking(att, call, func(err *failure.Error) { c.send(0, func() { answer(err) }) })
	})
	h.sim.runAfter(h.process, forwardTimeout, onLost)
}

func (h *host) executeBooking(att *attempt, key idempotency.Key, onReply func(*failure.Error)) {
	sim, account := h.sim, att.call.account
	h.admit(att, "orders", nil, func(l *lease, d admission.Decision) {
		notRun := func(err *failure.Error) {
			h.settle(l, admission.OutcomeNotRun)
			h.register.MarkNotRun(account, key)
			onReply(err)
		}
		if l == nil {
			notRun(refusalError(d))
			return
		}
		if sim.now >= l.deadline {
			notRun(failure.New(failure.KindLeaseLost, "the lease expired before the request was sent").WithRetryAfter(time.Second))
			return
		}
		finished := false
		onLost := func() {
			if finished {
				return
			}
			finished = true
			h.settle(l, admission.OutcomeTargetFailed)
			h.register.MarkLost(account, key)
			err := failure.New(failure.KindOutcomeUnknown, "the target did not answer").WithExecutionUnknown()
			if sim.mutation.alwaysReportNotRun {
				err.Executed = failure.ExecutedNo
			}
			onReply(err)
		}
		c := sim.dial(h.process, l.target.process, onLost)
		if c == nil {
			notRun(failure.New(failure.KindTargetFailed, "cannot connect to the target").WithRetryAfter(time.Second))
			return
		}
		if !sim.mutation.skipOwnership {
			if _, err := h.register.Check(sim.now, account, key); err != nil {
				c.close(0)
				notRun(err)
				return
			}
		}
		att.call.faultPoint.target, att.call.faultPoint.conn = l.target, c
		c.send(1, func() {
			l.target.runBooking(att, c, func() {
				if finished {
					return
				}
				finished = true
				c.close(0)
				h.settle(l, admission.OutcomeDone)
				h.register.MarkFinished(account, key, &idempotency.Answer{Status: 200})
				sim.reachStep(att.call, stepLast, h.process, func() { onReply(nil) })
			})
		})
		sim.reachStep(att.call, stepSent, h.process, func() {})
		sim.runAfter(h.process, silenceTimeout, onLost)
	})
}
