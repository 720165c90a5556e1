package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/migration"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/wake"
)

// Limits of moving generations between engines.
const (
	// copyTimeout limits one copy. The largest prompts take half a second on an
	// idle link, twice that across data centres, and wait behind the copies of
	// other generations.
	copyTimeout = 3 * time.Second
	// firstEventPollInterval is the time between two checks whether a run has
	// produced its first event; reading a prompt takes some hundred
	// milliseconds.
	firstEventPollInterval = 20 * time.Millisecond
	// reportTimeout limits the request for the time at which an engine stops,
	// and the request to drop a copy.
	reportTimeout = 100 * time.Millisecond
	// maxReportTries limits the requests for the time at which an engine stops: a process that
	// was held up for a moment finds the first one timed out.
	maxReportTries = 3
	// healthTimeout limits a health check, which waits for a free slot at the
	// engine.
	healthTimeout = 300 * time.Millisecond
	// healthCheckInterval is the time between two rounds of health checks:
	// copies need most of an engine's stop notice.
	healthCheckInterval = 200 * time.Millisecond
	// disconnectedCheckInterval is the time between two checks whether this
	// host has lost access to the published state.
	disconnectedCheckInterval = 50 * time.Millisecond
	// switchTimeout limits the wait for the engine that a generation switches
	// to. A few hops and reading some ten tokens take a few hundredths of a
	// second. The two engines must not both work on the generation for 0.4 s.
	switchTimeout = 300 * time.Millisecond
	// destinationsPerRound limits the destinations that a move tries in a row,
	// roundInterval is the time between two such rounds: a generation ends at
	// an engine every few hundred milliseconds.
	destinationsPerRound = 3
	roundInterval        = 50 * time.Millisecond
)

// move is one move of a generation away from a target.
type move struct {
	// done is closed when the move has ended, successfully or not.
	done chan struct{}
	// copy is the last copy that was made, nil when there is none. It is set
	// before done is closed.
	copy *memoryCopy
	// mayRepeat is set when another move may follow: no engine took the generation in
	// time, and the notice may last for longer than one move, or the target no longer
	// leaves.
	mayRepeat atomic.Bool
	// stopStated is set if the target has said when it stops.
	stopStated bool
	// lost is set when the target was lost after the first event, so that a run that
	// it does not know is over.
	lost bool
	// stays is set once it is logged that no engine may go on with the generation.
	stays bool

	// The fields below are used by moves that reserve room.

	// streamEnded is closed when the stream from the target has ended, so that a move which
	// waits for room has nothing left to copy.
	streamEnded chan struct{}
	endOnce     sync.Once
	// copiesAsked counts the copies asked for, without those whose destination
	// disappeared, in this move and those before it.
	copiesAsked int
	// retryRefused is set once the retry budget did not allow to withdraw the generation.
	retryRefused bool
	// waitsSince is when the move first found no room; zero while it did not.
	waitsSince time.Time
}

// isDone reports whether the move has ended.
func (m *move) isDone() bool {
	select {
	case <-m.done:
		return true
	default:
		return false
	}
}

// endWaits ends the move's waits for room.
func (m *move) endWaits() { m.endOnce.Do(func() { close(m.streamEnded) }) }

// isLeftToCopy reports whether a generation is left to the engine of its copy, which has not
// answered in time, and the stream from the previous one is ended. untilStop is the time until
// that one stops, copyTime what the copy took.
func (gen *generation) isLeftToCopy(m *move, old *engineStream, untilStop, copyTime time.Duration) bool {
	if m.lost || old.ended.Load() || gen.hasOtherWay(old) {
		return false
	}
	return old.isLost() || m.stopStated && migration.WaitsForCopy(untilStop, copyTime, switchTimeout) && !gen.endsWithin(untilStop)
}

// hasOtherWay reports whether the generation could go on without its copy if a stream broke off:
// from a backup or by a new run.
func (gen *generation) hasOtherWay(stream *engineStream) bool {
	return stream.backup != nil && stream.backup.available() || gen.route.Resumable
}

// hasLostStream reports whether the stream from the target that the generation leaves has broken
// off, so that the target no longer runs the generation. A target that this host has lost may
// still do so.
func (m *move) hasLostStream(stream *engineStream) bool { return !m.lost && stream.isLost() }

// moveAway continues the generation at another engine: at its backup, or from a
// copy of its memory that is made while it runs on.
func (gen *generation) moveAway(ctx context.Context, from *directory.ObservedTarget, m *move) {
	defer close(m.done)
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	defer func() { m.mayRepeat.Store(ctx.Err() != nil) }()
	if gen.grantsRoom() {
		gen.moveWithRoom(ctx, from, m)
		return
	}
	if !gen.waitForFirstEvent(ctx) || !gen.isAt(from) || gen.switchToBackup(m) {
		return
	}
	untilStop, stated := gen.timeUntilStop(ctx, from)
	stopTime := time.Now().Add(untilStop)
	m.stopStated = stated
	if gen.endsWithin(time.Until(stopTime)) {
		gen.g.cfg.Log.Info("generation stays", "request", gen.ID, "target", from.ID, "leaves_in", time.Until(stopTime))
		return
	}
	e := gen.service.Engine
	wake.Sleep(ctx, gen.g.cfg.Migration.CopyDelay(migration.CopyTime(gen.Prompt.Tokens, e.BytesPerToken, e.LinkMbps)))
	gen.copyAway(ctx, from, m, stopTime)
}

// moveFromLost continues a generation elsewhere whose target this host has lost, and
// whose connection is silent. The target still runs it, and is reached through other
// hosts.
func (gen *generation) moveFromLost(ctx context.Context, from *directory.ObservedTarget, m *move) {
	defer close(m.done)
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	defer func() { m.mayRepeat.Store(ctx.Err() != nil) }()
	m.lost = true
	if gen.isAt(from) && !gen.switchToBackup(m) {
		gen.copyAway(ctx, from, m, time.Now().Add(copyTimeout))
	}
}

// copyAway copies the generation to another engine and continues it there, until ctx
// is done.
func (gen *generation) copyAway(ctx context.Context, from *directory.ObservedTarget, m *move, stopTime time.Time) {
	exclude := []string{from.ID}
	for gen.waitForFirstEvent(ctx) && gen.isAt(from) {
		var done bool
		if exclude, done = gen.copyToSomeTarget(ctx, from, m, stopTime, exclude); done {
			return
		}
		wake.Sleep(ctx, roundInterval)
	}
}

// copyOutcome is the result of copying a generation to one engine.
type copyOutcome int

const (
	// copySucceeded means that the generation continues at the other engine.
	copySucceeded copyOutcome = iota
	// copyRefused means that the other engine refused it; another one may
	// accept it.
	copyRefused
	// copyRetryLater means that there is no run to copy yet, that it is being
	// copied, or that no host was found that reaches the leaving engine.
	copyRetryLater
	// copyAborted means that the leaving engine is gone or the generation has
	// ended.
	copyAborted
)

// copyToSomeTarget tries several destinations in sequence, leaving out those in
// exclude. It returns exclude extended by the engines that refused, and whether
// the move is over.
//
// When a third of a data centre's engines leave at once, the others there are
// full. Engines that refused are not tried again while there are others, so
// that an engine with room is found in another data centre within the stop
// notice, although copies to there take twice as long.
func (gen *generation) copyToSomeTarget(ctx context.Context, from *directory.ObservedTarget, m *move, stopTime time.Time, exclude []string) ([]string, bool) {
	for range destinationsPerRound {
		if gen.g.checkVerdict(gen.exchange) != nil {
			return exclude, true
		}
		to, reservation, ok := gen.g.cfg.Loads.Acquire(gen.g.view(), gen.moveRequest(from, exclude))
		if !ok {
			// All engines have refused. Starts over, since one may have room by
			// now.
			gen.recordNoTarget(from, m, stopTime, exclude)
			return []string{from.ID}, false
		}
		outcome := gen.copyTo(ctx, from, to, reservation, m, stopTime)
		if outcome != copySucceeded {
			reservation.Release()
		}
		switch outcome {
		case copySucceeded, copyAborted:
			return exclude, true
		case copyRetryLater:
			return exclude, false
		}
		exclude = append(exclude, to.ID)
	}
	return exclude, false
}

// moveRequest returns the requirements for an engine that goes on with the generation.
func (gen *generation) moveRequest(from *directory.ObservedTarget, exclude []string) PlacementRequest {
	return PlacementRequest{Service: from.Service, Origin: gen.origin.Load(), Prompt: gen.Prompt, Locality: PreferDataCentre(from.DataCentre), Exclude: exclude}
}

// recordNoTarget records that no engine but those in exclude accepts the generation.
func (gen *generation) recordNoTarget(from *directory.ObservedTarget, m *move, stopTime time.Time, exclude []string) {
	if m.stays || len(exclude) > 1 {
		return
	}
	m.stays = true
	gen.g.metrics.movesWithoutTarget.Inc(1)
	gen.g.cfg.Log.Info("no engine may go on with the generation", "request", gen.ID, "target", from.ID, "version", from.Version, "leaves_in", time.Until(stopTime))
}

// copyTo copies the generation's memory to another engine and switches to it.
func (gen *generation) copyTo(ctx context.Context, from, to *directory.ObservedTarget, reservation *Reservation, m *move, stopTime time.Time) copyOutcome {
	start := time.Now()
	result, err := gen.g.engineClient(from.Target).Move(ctx, from.Address, gen.ID, to.Address, false)
	gen.g.observeNotice(from.Target, result.TargetNotice, "move")
	gen.g.recordInvalidAnswer(from.Target, err, sourceAttr("move"))
	gen.g.cfg.Log.Info("generation copied", "request", gen.ID, "from", from.ID, "from_version", from.Version, "to", to.ID, "to_version", to.Version, "took", time.Since(start),
		"remote", to.DataCentre != from.DataCentre, "leaves_in", time.Until(stopTime), "events", result.Events, "error", err)
	if err != nil {
		gen.g.metrics.copiesFailed.Inc(1)
		if m.lost && failure.KindOf(err) == failure.KindNotFound {
			return copyAborted
		}
		return copyFailureOutcome(err)
	}
	copyTime := time.Since(start)
	m.copy = &memoryCopy{target: to, handoff: call.CacheCopy{Source: from.Address, Handle: result.Handle}}
	switchStart := time.Now()
	_, stream := gen.current()
	err = gen.switchTo(from, m.copy, reservation, func(old *engineStream) bool {
		return gen.isLeftToCopy(m, old, time.Until(stopTime), copyTime)
	})
	if err == nil {
		gen.g.metrics.movedByCopy.Inc(1)
		return copySucceeded
	}
	gen.g.cfg.Log.Info("switching to the copy failed", "request", gen.ID, "from", from.ID, "to", to.ID, "took", time.Since(switchStart), "error", err)
	gen.dropCopy(from, m)
	if err == errStreamEnded || err == errSwitchAbandoned || m.hasLostStream(stream) {
		return copyAborted
	}
	return copyRefused
}

// errNoHostFound matches the error of a call that was not made since this host reaches the
// engine neither itself nor through another host. The engine still runs the generation, and
// other hosts are asked again after a while.
var errNoHostFound = failure.New(failure.KindNoTarget, "no host was found")

// copyFailureOutcome maps the error of a failed copy to its outcome.
func copyFailureOutcome(err error) copyOutcome {
	if errors.Is(err, errNoHostFound) {
		return copyRetryLater
	}
	switch failure.KindOf(err) {
	case failure.KindNotFound, failure.KindInProgress:
		return copyRetryLater
	case failure.KindOverloaded:
		return copyRefused
	}
	return copyAborted
}

// dropCopy frees a copy whose generation has ended. Otherwise the copy would
// hold memory at an engine for seconds.
func (gen *generation) dropCopy(from *directory.ObservedTarget, m *move) {
	select {
	case <-gen.ended:
	default:
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	notice, err := gen.g.engineClient(from.Target).Drop(ctx, from.Address, m.copy.handoff.Handle)
	gen.g.observeNotice(from.Target, notice, "drop")
	gen.g.recordInvalidAnswer(from.Target, err, sourceAttr("drop"))
	if err != nil {
		gen.g.cfg.Log.Debug("dropping the copy failed", "request", gen.ID, "error", err)
	}
}

// waitForFirstEvent waits until the generation has produced its first event;
// before that the engine has no run to copy. It returns false if the generation
// or ctx ended first.
func (gen *generation) waitForFirstEvent(ctx context.Context) bool {
	for gen.progress.Load() == nil {
		select {
		case <-gen.ended:
			return false
		case <-ctx.Done():
			return false
		case <-time.After(firstEventPollInterval):
		}
	}
	select {
	case <-gen.ended:
		return false
	default:
		return ctx.Err() == nil
	}
}

// timeUntilStop returns the time until an engine stops, and whether the engine has stated it;
// else it is the configured stop notice. An engine that rests is not asked.
func (gen *generation) timeUntilStop(ctx context.Context, from *directory.ObservedTarget) (untilStop time.Duration, stated bool) {
	if gen.g.cfg.Loads.RestRemaining(from.Target) > 0 {
		return gen.g.cfg.Migration.Notice, false
	}
	for range maxReportTries {
		report, err := gen.g.requestReport(ctx, from)
		if err == nil && report.ShutdownIn > 0 {
			return report.ShutdownIn, true
		}
		if !errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
			break
		}
	}
	return gen.g.cfg.Migration.Notice, false
}

// requestReport asks an engine what it says of itself, within reportTimeout.
func (g *Gateway) requestReport(ctx context.Context, from *directory.ObservedTarget) (call.EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := g.engineClient(from.Target).Report(ctx, from.Address)
	g.observeNotice(from.Target, report.TargetNotice, "report")
	g.recordInvalidAnswer(from.Target, err, sourceAttr("report"))
	return report, err
}

// endsWithin reports whether the generation will end on its own before its
// engine stops, untilStop from now.
func (gen *generation) endsWithin(untilStop time.Duration) bool {
	progress := gen.progress.Load()
	if progress == nil {
		return false
	}
	maxEvents := gen.Prompt.MaxOutputTokens / max(gen.service.Engine.TokensPerEvent, 1)
	return gen.g.cfg.Migration.CompletesInTime(migration.MaxRemaining(maxEvents, progress.events, progress.last-progress.first), untilStop)
}
