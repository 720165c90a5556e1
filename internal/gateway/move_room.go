package gateway

import (
	"context"
	"time"

	"filbertdeck/internal/decide/migration"
	"filbertdeck/internal/directory"
)

// moveWithRoom is moveAway for a generation whose moves reserve room.
func (gen *generation) moveWithRoom(ctx context.Context, from *directory.ObservedTarget, m *move) {
	source := gen.g.moves.enter(from.Lifetime())
	defer gen.g.moves.leave(source)
	stopTime := func() time.Time {
		return source.stopsAt(func() (time.Duration, bool) { return gen.timeUntilStop(ctx, from) })
	}
	if !gen.awaitFirstEvent(ctx, from, m, source, stopTime) || !gen.isAt(from) || gen.switchToBackup(m) {
		return
	}
	untilStop := time.Until(stopTime())
	m.stopStated = source.stopStated
	if gen.endsWithin(untilStop) {
		gen.g.cfg.Log.Info("generation stays", "request", gen.ID, "target", from.ID, "leaves_in", untilStop)
		return
	}
	e := gen.service.Engine
	if !gen.pause(ctx, m, gen.g.cfg.Migration.CopyDelay(migration.CopyTime(gen.Prompt.Tokens, e.BytesPerToken, e.LinkMbps))) {
		return
	}
	gen.copyWithRoom(ctx, from, m, source)
}

// copyWithRoom reserves an engine with room and copies the generation there. While none has
// room it waits.
func (gen *generation) copyWithRoom(ctx context.Context, from *directory.ObservedTarget, m *move, source *moveSource) {
	exclude := []string{from.ID}
	for migration.MayAskForCopy(m.copiesAsked) {
		turn := gen.g.moves.join(source, source.stopTime, expectedTokens(gen.Prompt), true)
		to, result := gen.copyInTurn(ctx, from, m, turn, exclude)
		turn.end()
		switch result {
		case copySucceeded, copyAborted:
			return
		case copyRefused:
			exclude = append(exclude, to.ID)
		}
	}
	gen.g.cfg.Log.Info("generation stays, its copies were refused", "request", gen.ID, "target", from.ID, "copies", m.copiesAsked, "leaves_in", time.Until(source.stopTime))
}

// copyInTurn waits until an engine without those in exclude is reserved in the move's turn,
// and asks for one copy there. Without a copy the result is copyAborted.
func (gen *generation) copyInTurn(ctx context.Context, from *directory.ObservedTarget, m *move, turn *moveTurn, exclude []string) (*directory.ObservedTarget, copyOutcome) {
	stopTime := turn.stopTime
	for gen.awaitTurn(ctx, m, turn) && gen.isAt(from) && gen.g.checkVerdict(gen.exchange) == nil {
		reservation, outcome := gen.reserveForMove(from, gen.moveRequest(from, exclude), m, stopTime)
		if outcome != Placed {
			if outcome == NoTarget {
				gen.recordNoTarget(from, m, stopTime, exclude)
				exclude = []string{from.ID}
			}
			turn.again()
			continue
		}
		turn.endSearch()
		to := reservation.entry
		m.copiesAsked++
		result := gen.copyTo(ctx, from, to, reservation, m, stopTime)
		if result == copySucceeded {
			return to, result
		}
		reservation.Release()
		switch {
		case gen.g.hasLeft(to):
			m.copiesAsked--
			return to, copyRefused
		case result == copyRetryLater:
			// Nothing was copied.
			m.copiesAsked--
			turn.again()
			continue
		}
		return to, result
	}
	return nil, copyAborted
}

// hasLeft reports whether a target that was chosen before leaves or is gone.
func (g *Gateway) hasLeft(t *directory.ObservedTarget) bool {
	return !acceptsNewWork(g.view(), t.Target) || g.cfg.Loads.IsLeaving(t.Target)
}

// reserveForMove reserves an engine with room, the nearest data centre first. Shortly
// before stopTime it reserves the engine where the generation does the least harm.
func (gen *generation) reserveForMove(from *directory.ObservedTarget, req PlacementRequest, m *move, stopTime time.Time) (*Reservation, Outcome) {
	req.Priority, req.Move, req.RoomID = gen.priority(), true, gen.roomID
	takesAny := migration.TakesAnyEngine(time.Until(stopTime))
	req.AnyRoom, req.GrantsRoom = !takesAny, !takesAny
	if !takesAny {
		req.MemoryShare = migration.RoomShare
	}
	loads, view := gen.g.cfg.Loads, gen.g.view()
	_, reservation, outcome := loads.AcquireWithRoom(view, req)
	if outcome == NoRoom && req.Locality.preferred != "" {
		// In a large fleet only the engines of the preferred data centre were considered.
		req.Locality = PreferLocal
		_, reservation, outcome = loads.AcquireWithRoom(view, req)
	}
	switch {
	case outcome == NoRoom && m.waitsSince.IsZero():
		m.waitsSince = time.Now()
		gen.g.metrics.movesWaiting.Inc(1)
		gen.g.cfg.Log.Info("move waits for room", "request", gen.ID, "target", from.ID, "tokens", expectedTokens(gen.Prompt), "leaves_in", time.Until(stopTime))
	case outcome == Placed && !m.waitsSince.IsZero():
		gen.g.cfg.Log.Info("move ends its wait for room", "request", gen.ID, "from", from.ID, "to", reservation.entry.ID, "waited", time.Since(m.waitsSince), "takes_any", takesAny, "leaves_in", time.Until(stopTime))
	}
	return reservation, outcome
}

// awaitTurn waits for a turn; false if the move is over before.
func (gen *generation) awaitTurn(ctx context.Context, m *move, turn *moveTurn) bool {
	return gen.await(ctx, m, turn.granted)
}

// pause waits for d; false if the move is over before.
func (gen *generation) pause(ctx context.Context, m *move, d time.Duration) bool {
	elapsed := make(chan struct{})
	timer := time.AfterFunc(d, func() { close(elapsed) })
	defer timer.Stop()
	return gen.await(ctx, m, elapsed)
}

// await waits until a channel is closed. It returns false as soon as the move is over: the
// generation has ended, its caller has left, its stream has broken off or ctx is done.
func (gen *generation) await(ctx context.Context, m *move, closed <-chan struct{}) bool {
	select {
	case <-closed:
	case <-gen.ended:
	case <-gen.ctx.Done():
	case <-m.streamEnded:
	case <-ctx.Done():
	}
	select {
	case <-gen.ended:
	case <-gen.ctx.Done():
	case <-m.streamEnded:
	case <-ctx.Done():
	default:
		return true
	}
	return false
}
