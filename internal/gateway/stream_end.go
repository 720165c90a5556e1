package gateway

import (
	"context"
	"errors"
	"time"

	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
)

// streamEnder says who ended an engine's stream, for the logs.
type streamEnder string

const (
	endedByEngine      streamEnder = "engine"
	endedByCaller      streamEnder = "caller"
	endedByDeadline    streamEnder = "deadline"
	endedByExit        streamEnder = "exit"
	endedBySwitchLimit streamEnder = "switch-limit"
	endedByMove        streamEnder = "move"
	endedByWithdrawal  streamEnder = "withdrawal"
	endedByRefusal     streamEnder = "refusal"
	endedBySilence     streamEnder = "silence"
)

// errSwitchTimeout is the cause of the end of a switch that took longer than switchTimeout.
var errSwitchTimeout = failure.New(failure.KindTargetTimeout, "the switch to a copy took longer than %s", switchTimeout).WithExecutionUnknown()

// errStreamSilent is the cause of the end of a silent stream from a service that this host has
// lost, where another run goes on.
var errStreamSilent = failure.New(failure.KindTargetLost, "the stream was silent").WithExecutionUnknown()

// enderOf returns who ended the stream that belongs to a context: its engine, unless the
// context is done.
func enderOf(ctx context.Context) streamEnder {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return endedByEngine
	case cause == errCutOff:
		return endedByExit
	case cause == errSwitchTimeout:
		return endedBySwitchLimit
	case cause == errGenerationMoved:
		return endedByMove
	case cause == errGenerationWithdrawn:
		return endedByWithdrawal
	case cause == errRunRefused:
		return endedByRefusal
	case cause == errStreamSilent:
		return endedBySilence
	case errors.Is(cause, context.DeadlineExceeded):
		return endedByDeadline
	}
	return endedByCaller
}

// streamSwitch describes the switch by which a stream goes on with its generation, for the
// logs and metrics.
type streamSwitch struct {
	from *directory.ObservedTarget
	// sentAt is when the request to go on was sent, header and firstEvent are the times until
	// the header and the first event of its answer.
	sentAt             time.Time
	header, firstEvent time.Duration
}

// newStreamSwitch returns the description of a switch that was sent at sentAt and that opened a
// stream, nil for none, and records it in the stream.
func newStreamSwitch(from *directory.ObservedTarget, sentAt time.Time, stream *engineStream) *streamSwitch {
	s := &streamSwitch{from: from, sentAt: sentAt}
	if stream != nil {
		s.header, s.firstEvent = stream.headerAt.Sub(sentAt), time.Since(sentAt)
		stream.switched = s
	}
	return s
}

// recordSwitch records the outcome of a switch. handedOver is set if its time was over and the
// stream from the previous engine was ended.
func (gen *generation) recordSwitch(s *streamSwitch, to *directory.ObservedTarget, handedOver bool, err error) {
	m := gen.g.metrics
	if handedOver {
		m.switchesHandedOver.Inc(1)
		gen.g.cfg.Log.Info("generation was left to the engine of its copy", "request", gen.ID, "from", idOf(s.from), "to", to.ID, "took", time.Since(s.sentAt), "error", err)
	}
	switch err {
	case nil:
	case errSwitchAbandoned:
		return
	case errSwitchTimeout:
		m.switchesTimedOut.Inc(1)
		fallthrough
	default:
		m.switchesFailed.Inc(1)
		return
	}
	m.switchHeader.Update(s.header.Microseconds())
	m.switchFirstEvent.Update(s.firstEvent.Microseconds())
	gen.g.cfg.Log.Info("generation switched", "request", gen.ID, "from", idOf(s.from), "to", to.ID, "header_after", s.header, "event_after", s.firstEvent)
}

// recordStreamEnd records that a stream ended early.
func (gen *generation) recordStreamEnd(stream *engineStream) {
	gen.endedBy, gen.lastSwitch = enderOf(stream.ctx), stream.switched
}

// logBroken logs that the answer broke off because of err.
func (gen *generation) logBroken(err error) {
	left := gen.ctx.Err() != nil
	if left {
		gen.endedBy = enderOf(gen.ctx)
	}
	args := []any{
		"request", gen.ID, "route", gen.route.Name, "target", gen.target.ID, "version", gen.target.Version, "config", gen.view.Config.Version, "events", gen.times.events, "moves", gen.moves.Load(),
		"caller_left", left, "ended_by", gen.endedBy, "took", time.Since(gen.ArrivedAt), "deadline_in", time.Until(gen.deadline), "silent_for", gen.sinceLastEvent(), "cause", err,
	}
	if s := gen.lastSwitch; s != nil {
		args = append(args, "switched_from", idOf(s.from), "switched_ago", time.Since(s.sentAt), "switch_header_after", s.header, "switch_event_after", s.firstEvent)
	}
	switch gen.endedBy {
	case endedByCaller, endedByDeadline:
		gen.g.cfg.Log.Info("generation broke", args...)
	default:
		gen.g.cfg.Log.Warn("generation broke", args...)
	}
}

// idOf returns the id of a target, "" for nil.
func idOf(t *directory.ObservedTarget) string {
	if t == nil {
		return ""
	}
	return t.ID
}
