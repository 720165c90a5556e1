package gateway

import (
	"context"
	"slices"
	"time"

	"filbertdeck/internal/decide/migration"
	"filbertdeck/internal/decide/placement"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
)

// freshRun is a run of a generation that was started anew. A generation without a first
// event can be withdrawn from it. The run is guarded by the generation's deliveryMu, so
// that an event is either delivered before the generation is withdrawn or not at all; in
// the latter case the next run produces it again.
type freshRun struct {
	target *directory.ObservedTarget
	// attempts counts the engines that the generation was sent to, up to this one.
	attempts int
	// tried are the targets at which the generation is not tried again.
	tried triedTargets
	// cancel ends the run's stream, or the request for it, for a reason.
	cancel context.CancelCauseFunc
	// placedAt is when the run was placed, expected the time to its first event as it was
	// expected then.
	placedAt time.Time
	expected time.Duration
	// successor is the engine at which the generation starts again; nil unless it was
	// withdrawn from this run.
	successor *Reservation
}

// isWithdrawn reports whether the generation was withdrawn from the run; false for nil.
func (r *freshRun) isWithdrawn() bool { return r != nil && r.successor != nil }

// releaseSuccessor releases the engine at which the generation would have started again.
func (r *freshRun) releaseSuccessor() {
	if r != nil && r.successor != nil {
		r.successor.loads.abandon(r.successor)
	}
}

// beginFreshRun records that a run is started anew at a reserved target. cancel ends it.
func (gen *generation) beginFreshRun(reservation *Reservation, attempts int, tried triedTargets, cancel context.CancelCauseFunc) {
	gen.deliveryMu.Lock()
	defer gen.deliveryMu.Unlock()
	gen.fresh = &freshRun{
		target: reservation.entry, attempts: attempts, tried: tried, cancel: cancel, placedAt: time.Now(),
		expected: placement.PrefillTime(reservation.candidate, placement.Workload{PromptTokens: gen.Prompt.Tokens}),
	}
}

// endFreshRun records that the present run is over. It returns the run if the generation
// was withdrawn from it, nil otherwise. The caller then owns the successor.
func (gen *generation) endFreshRun() *freshRun {
	gen.deliveryMu.Lock()
	defer gen.deliveryMu.Unlock()
	run := gen.fresh
	gen.fresh = nil
	if !run.isWithdrawn() {
		return nil
	}
	run.tried.failed = slices.Concat(run.tried.failed, []string{run.target.ID})
	return run
}

// successorOrAcquire returns the engine at which a generation starts again that was
// withdrawn from a run; with withdrawn nil it acquires one.
func (gen *generation) successorOrAcquire(withdrawn *freshRun, tried triedTargets) (*selectionState, *Reservation, error) {
	switch {
	case withdrawn == nil:
		return gen.acquire(gen.g.exclude(gen.exchange, tried))
	case gen.ctx.Err() != nil:
		withdrawn.releaseSuccessor()
		return nil, nil, errGenerationWithdrawn
	}
	return gen.g.selectionState(gen.exchange), withdrawn.successor, nil
}

// asMaybeRun returns the failure of a generation that may have run at the engine from
// which it was withdrawn: no later engine's refusal proves that it has not.
func (gen *generation) asMaybeRun(err error) error {
	if f := failure.FromError(err); gen.wasWithdrawn() && f.Executed == failure.ExecutedNo {
		maybe := *f
		return maybe.WithExecutionUnknown()
	}
	return err
}

func (gen *generation) wasWithdrawn() bool {
	gen.deliveryMu.Lock()
	defer gen.deliveryMu.Unlock()
	return gen.withdrawn
}

// unstarted returns the generation as one without an event at an engine; false if it has
// one, or no longer waits for it there.
func (gen *generation) unstarted(at *directory.ObservedTarget) (u migration.Unstarted, tried triedTargets, ok bool) {
	gen.deliveryMu.Lock()
	defer gen.deliveryMu.Unlock()
	run := gen.fresh
	if run == nil || run.target != at || run.isWithdrawn() || gen.withdrawn || gen.times.events > 0 {
		return u, tried, false
	}
	return migration.Unstarted{
		Resumable: gen.route.Resumable, Attempts: run.attempts, MaxAttempts: gen.route.MaxAttempts,
		Expected: run.expected, Waited: time.Since(run.placedAt),
	}, run.tried, true
}

// awaitFirstEvent waits for the generation's first event, before which there is no run to
// copy. Where the generation may run again, it is withdrawn if its engine is not expected
// to run it in time. It returns false if there will be no event from this engine.
func (gen *generation) awaitFirstEvent(ctx context.Context, from *directory.ObservedTarget, m *move, source *moveSource, stopTime func() time.Time) bool {
	var turn *moveTurn
	endTurn := func() {
		if turn != nil {
			turn.end()
			turn = nil
		}
	}
	defer endTurn()
	for gen.progress.Load() == nil {
		tried, withdraw := gen.isToBeWithdrawn(from, m, stopTime)
		switch {
		case !withdraw:
			endTurn()
		case turn == nil:
			turn = gen.g.moves.join(source, source.stopTime, expectedTokens(gen.Prompt), false)
		}
		if turn != nil {
			select {
			case <-turn.granted:
				if gen.startElsewhere(from, m, source, tried) {
					return false
				}
				turn.again()
			default:
			}
		}
		if !gen.pauseForTurn(ctx, m, turn) || !gen.isAt(from) {
			return false
		}
	}
	return gen.pause(ctx, m, 0)
}

// pauseForTurn waits for a turn, if there is one, but not for longer than until the next
// check for a first event; false if the move is over before.
func (gen *generation) pauseForTurn(ctx context.Context, m *move, turn *moveTurn) bool {
	if turn == nil {
		return gen.pause(ctx, m, firstEventPollInterval)
	}
	polled, cancel := context.WithTimeout(ctx, firstEventPollInterval)
	defer cancel()
	return gen.awaitTurn(polled, m, turn) || gen.pause(ctx, m, 0)
}

// isToBeWithdrawn reports whether the generation is to be withdrawn from an engine now, and
// at which targets it is not tried again.
func (gen *generation) isToBeWithdrawn(from *directory.ObservedTarget, m *move, stopTime func() time.Time) (triedTargets, bool) {
	u, tried, waits := gen.unstarted(from)
	if !waits || m.retryRefused || !u.MayWithdraw() {
		return tried, false
	}
	u.UntilStop = time.Until(stopTime())
	return tried, gen.g.cfg.Migration.Withdraw(u)
}

// startElsewhere reserves an engine, in the move's turn, and withdraws the generation, which
// starts there. It returns false if the generation was not withdrawn.
func (gen *generation) startElsewhere(from *directory.ObservedTarget, m *move, source *moveSource, tried triedTargets) bool {
	if gen.g.checkVerdict(gen.exchange) != nil || gen.g.checkMayStart(gen.exchange) != nil {
		return false
	}
	req := gen.placementRequest(slices.Concat(gen.g.exclude(gen.exchange, tried), []string{from.ID}))
	req.FirstEventObjective = gen.remainingObjective()
	reservation, outcome := gen.reserveForMove(from, req, m, source.stopTime)
	if outcome != Placed {
		return false
	}
	if !gen.withdraw(from, reservation, m) {
		gen.g.cfg.Loads.abandon(reservation)
		return false
	}
	gen.g.metrics.withdrawn.Inc(1)
	gen.g.cfg.Log.Info("generation withdrawn", "request", gen.ID, "from", from.ID, "from_version", from.Version, "to", reservation.entry.ID, "to_version", reservation.entry.Version, "leaves_in", time.Until(source.stopTime))
	return true
}

// withdraw ends the run at an engine and has the generation start at the reserved one,
// unless an event was delivered, the run is over or the retry budget does not allow it.
func (gen *generation) withdraw(from *directory.ObservedTarget, successor *Reservation, m *move) bool {
	gen.deliveryMu.Lock()
	defer gen.deliveryMu.Unlock()
	run := gen.fresh
	if run == nil || run.target != from || run.isWithdrawn() || gen.times.events > 0 || gen.closed {
		return false
	}
	if !gen.g.cfg.RetryBudget.AllowRetry(gen.g.cfg.Now(), gen.budgetKey()) {
		m.retryRefused = true
		return false
	}
	gen.g.metrics.retries.Inc(1)
	gen.withdrawn, run.successor = true, successor
	run.cancel(errGenerationWithdrawn)
	return true
}
