package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"filbertdeck/internal/decide/deferral"
	"filbertdeck/internal/decide/waitlist"
	"filbertdeck/internal/failure"
)

// WaitingOrder orders the generations that wait for an engine over all hosts.
type WaitingOrder interface {
	// Report tells the holder of the order that a generation waits, and returns its answer;
	// false if there is none in time.
	Report(ctx context.Context, e waitlist.Entry) (waitlist.Answer, bool)
	// Done tells the holder that a generation waits no longer; placed is set if it has an
	// engine. It waits for no answer.
	Done(e waitlist.Entry, placed bool)
	// OthersWait reports whether generations of a service were heard to wait that are at
	// least as urgent as a priority.
	OthersWait(service string, priority int) bool
}

// turns asks for a generation's turns to search for an engine while it waits. The nil value
// asks for none.
type turns struct {
	gen   *generation
	order WaitingOrder
	id    uint64
	// searched is set once the generation has searched, reported once the holder was told
	// of it, answered if the holder gave a sign of life since the report before.
	searched, reported, answered bool
	// taken, held and unanswered count the reports by their outcome.
	taken, held, unanswered int
	// firstAhead is the number of generations before it at the first answer, -1 before it.
	firstAhead int
}

// newTurns returns the turns of a generation; nil if those of its service wait without an
// order over all hosts. The most urgent ones go before all others and wait for as long as
// they can be in time at most, so that a wait for a turn would only make them late.
func (gen *generation) newTurns() *turns {
	g := gen.g
	if g.cfg.WaitingOrder == nil || !g.cfg.Loads.SendsToOwnersOnly() || !g.cfg.Scheduling.WaitingOrder.On(gen.view.ContentionPolicy(gen.service.Name)) {
		return nil
	}
	if gen.mostUrgent() {
		return nil
	}
	return &turns{gen: gen, order: g.cfg.WaitingOrder, id: rand.Uint64(), firstAhead: -1}
}

// entry returns the generation as one that waits.
func (t *turns) entry() waitlist.Entry {
	d := t.gen.deferred()
	return waitlist.Entry{
		ID: t.id, Service: t.gen.service.Name, Priority: t.gen.priority(), Account: accountName(t.gen.account),
		Waited: d.Waited, Objective: d.FirstTokenObjective, FirstToken: d.TimeToFirstToken, Tokens: expectedTokens(t.gen.Prompt),
	}
}

// next returns the generation's next search, and whether it may be made now. If not, the
// generation waits for the time of the search. The error refuses a generation that is
// expected to wait until its caller has gone.
func (t *turns) next(search deferral.Search) (s deferral.Search, now bool, err error) {
	if t == nil || search.MemoryShare == 0 {
		return search, true, nil
	}
	// Entries expire that are not reported again.
	search.Wait = min(search.Wait, waitlist.ReportInterval)
	entry := t.entry()
	if !t.reported && !t.searched {
		// A holder that announces that others wait is taken to have answered.
		if t.answered = t.order.OthersWait(entry.Service, entry.Priority); !t.answered {
			t.searched = true
			return search, true, nil
		}
	}
	answer, answered := t.report(entry)
	switch {
	case !answered && t.answered:
		// One lost datagram costs an interval: searching at once would go before others.
		t.answered = false
		return search, false, nil
	case !answered:
		return search, true, nil
	}
	t.answered = true
	if answer.Search {
		return search.InTurn(), true, nil
	}
	if left := t.gen.callerTimeLeft(); t.gen.attempts == 0 && answer.Hopeless(left, entry.FirstToken) {
		t.gen.g.metrics.waitingHopeless.Inc(1)
		t.gen.g.cfg.Log.Info("generation refused, as its wait would outlast its caller", "request", t.gen.ID, "ahead", answer.Ahead, "expected_wait", answer.ExpectedWait, "left", left)
		return search, false, failure.New(failure.KindOverloaded, "the wait for an engine is longer than the caller's time").WithRetryAfter(answer.RetryAfter(rand.Float64()))
	}
	return search, false, nil
}

// callerTimeLeft returns the time for which the caller still waits for a first event.
func (gen *generation) callerTimeLeft() time.Duration {
	left := time.Until(gen.deadline)
	if gap := gen.route.MaxEventGap; gap > 0 {
		left = min(left, gap-time.Since(gen.ArrivedAt))
	}
	return left
}

// report tells the holder that the generation waits.
func (t *turns) report(entry waitlist.Entry) (waitlist.Answer, bool) {
	t.reported = true
	answer, answered := t.order.Report(t.gen.ctx, entry)
	m := t.gen.g.metrics
	switch {
	case !answered:
		t.unanswered++
		m.waitingUnanswered.Inc(1)
		return answer, false
	case answer.Search:
		t.taken++
		m.waitingTurns.Inc(1)
	default:
		t.held++
		m.waitingHeld.Inc(1)
	}
	if t.firstAhead < 0 {
		t.firstAhead = answer.Ahead
	}
	return answer, true
}

// end tells the holder that the generation waits no longer; placed is set if it has an engine.
func (t *turns) end(placed bool) {
	if t == nil || !t.reported {
		return
	}
	t.order.Done(t.entry(), placed)
	t.gen.g.cfg.Log.Info("generation waited in the order of all hosts", "request", t.gen.ID, "placed", placed, "turns", t.taken, "held", t.held, "unanswered", t.unanswered,
		"ahead", t.firstAhead, "priority", t.gen.priority(), "account", accountName(t.gen.account), "waited", time.Since(t.gen.ArrivedAt))
}
