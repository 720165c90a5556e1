package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"filbertdeck/internal/decide/poison"
	"filbertdeck/internal/decide/sampling"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/wake"
)

// Parameters of telling a target's failure from a partition of this host.
const (
	// verifyDelay is the time from a failure to its verification: a crashed process
	// is gone by then and not back for some seconds, and other requests have often
	// reached another target.
	verifyDelay = 60 * time.Millisecond
	// probeTimeout bounds a connection that is made only to see whether it stands. A
	// target that does not answer may be partitioned from this host.
	probeTimeout = 300 * time.Millisecond
	// confirmInterval is the time between two looks at the published records for the end of a
	// target whose crash this host could not verify, confirmTime the time for which it looks.
	// A record expires after three heartbeats.
	confirmInterval = 200 * time.Millisecond
	confirmTime     = 10 * time.Second
	// maxVerifyProbes is the number of other targets of a service that are probed to see
	// whether this host reaches any.
	maxVerifyProbes = 2
	// probeInterval is the time between two probes of a lost service.
	probeInterval = 200 * time.Millisecond
	// suspiciousSilence is the silence of a generation after which its target is
	// probed, again after each silentProbeInterval. Events come some ten milliseconds
	// apart, but an engine that preempts a generation is silent for longer.
	suspiciousSilence   = 700 * time.Millisecond
	silentProbeInterval = time.Second
	// silentAfter is the silence after which a generation of a lost service continues
	// elsewhere. Its connection may live on while new ones fail, and a sound target may
	// be silent for a second.
	silentAfter = 1500 * time.Millisecond
)

// failureChecks holds the verifications of targets' failures that are pending. It is
// safe for concurrent use.
type failureChecks struct {
	mu      sync.Mutex
	pending map[directory.Lifetime]*failureCheck
}

// failureCheck is the pending verification of a target's failures.
type failureCheck struct {
	// mayHaveCrashed is set once a connection to the target broke, suspects are the
	// requests that ran there when connections broke.
	mayHaveCrashed bool
	suspects       []poison.Request
}

func newFailureChecks() *failureChecks {
	return &failureChecks{pending: map[directory.Lifetime]*failureCheck{}}
}

// add adds a failure to the target's pending verification. It reports whether that
// begins with this failure.
func (f *failureChecks) add(t directory.Target, mayHaveCrashed bool, suspects []poison.Request) (begins bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	check := f.pending[t.Lifetime()]
	if check == nil {
		check, begins = &failureCheck{}, true
		f.pending[t.Lifetime()] = check
	}
	if mayHaveCrashed {
		check.mayHaveCrashed = true
		check.suspects = append(check.suspects, suspects...)
	}
	return begins
}

// take ends the target's pending verification and returns it.
func (f *failureChecks) take(t directory.Target) failureCheck {
	f.mu.Lock()
	defer f.mu.Unlock()
	check := *f.pending[t.Lifetime()]
	delete(f.pending, t.Lifetime())
	return check
}

// reportFailure tells other hosts that a target failed, once it is certain that this
// host is not partitioned from the targets. mayHaveCrashed says that the failure was a
// broken connection: if the target refuses new ones it has crashed.
func (g *Gateway) reportFailure(t *directory.ObservedTarget, mayHaveCrashed bool) {
	if !g.checks.add(t.Target, mayHaveCrashed, g.cfg.CrashEvidence.suspects(t.Lifetime())) {
		return
	}
	failedAt := g.cfg.Now()
	time.AfterFunc(verifyDelay, func() {
		check := g.checks.take(t.Target)
		crashed := check.mayHaveCrashed && g.refusesConnections(t.Target)
		reaches := !g.paths.isLost(t.Service) && g.reachesOthers(t, failedAt)
		if reaches {
			g.cfg.Loads.ReportFailure(t.ID)
			g.metrics.failuresReported.Inc(1)
		} else {
			g.cfg.Log.Debug("failure not reported: this host may be partitioned", "target", t.ID)
		}
		switch {
		case !check.mayHaveCrashed:
		case !crashed:
			g.cfg.CrashEvidence.recordUnverified(t, len(check.suspects), "it accepts connections or does not answer")
		case reaches || g.reachesOtherServices(t.Service):
			g.cfg.CrashEvidence.recordCrash(t, failedAt, check.suspects)
		default:
			g.awaitEnd(t, failedAt, check.suspects)
		}
	})
}

// awaitEnd records a crash once the published records say that the target has ended. A host
// that reaches no other target can't tell a crash from a partition that resets connections;
// the records can, though later.
func (g *Gateway) awaitEnd(t *directory.ObservedTarget, failedAt time.Duration, suspects []poison.Request) {
	switch {
	case hasEnded(g.view(), t):
		g.cfg.CrashEvidence.recordCrash(t, failedAt, suspects)
	case g.cfg.Now()-failedAt >= confirmTime:
		g.cfg.CrashEvidence.recordUnverified(t, len(suspects), "this host may be partitioned")
	default:
		time.AfterFunc(confirmInterval, func() { g.awaitEnd(t, failedAt, suspects) })
	}
}

// hasEnded reports whether the published records say that a target ended without having
// announced that it leaves: its record is gone, or another lifetime has its id or address.
func hasEnded(view *directory.View, t *directory.ObservedTarget) bool {
	if t.Leaving {
		return false
	}
	current, listed := view.Target(t.ID)
	if !listed || !current.Published || current.Lifetime() != t.Lifetime() {
		return !listed || !current.Leaving
	}
	return slices.ContainsFunc(view.ServiceTargets(t.Service), func(o *directory.ObservedTarget) bool {
		return o.Published && o.Address == t.Address && o.Lifetime() != t.Lifetime() && o.StartedUnixMilli > t.StartedUnixMilli
	})
}

// refusesConnections reports whether no process listens at a target's address.
func (g *Gateway) refusesConnections(t directory.Target) bool {
	return failure.KindOf(g.probe(t)) == failure.KindTargetFailed
}

// reachesOthers reports whether this host has reached a target of the failed one's
// service since a time, or reaches another target now. If there is no other target,
// nothing tells whether the failure is the target's.
func (g *Gateway) reachesOthers(failed *directory.ObservedTarget, since time.Duration) bool {
	if g.paths.reachedSince(failed.Service, since) {
		return true
	}
	others := g.otherTargets(failed)
	return len(others) == 0 || g.reachesAny(others)
}

// reachesOtherServices reports whether this host reaches a target of another service. All
// targets of a service may be down at the same time.
func (g *Gateway) reachesOtherServices(service string) bool {
	view := g.view()
	for _, s := range view.Config.Services {
		if s.Name != service && g.reachesAny(someTargets(view, s.Name, "", maxVerifyProbes)) {
			return true
		}
	}
	return false
}

// reachesAny reports whether this host reaches one of some targets.
func (g *Gateway) reachesAny(targets []*directory.ObservedTarget) bool {
	return slices.ContainsFunc(targets, func(t *directory.ObservedTarget) bool { return g.probe(t.Target) == nil })
}

// otherTargets returns some other targets of a target's service, or of any service if
// it is the only one.
func (g *Gateway) otherTargets(failed *directory.ObservedTarget) []*directory.ObservedTarget {
	view := g.view()
	others := someTargets(view, failed.Service, failed.ID, maxVerifyProbes)
	for _, s := range view.Config.Services {
		if len(others) == 0 {
			others = someTargets(view, s.Name, failed.ID, maxVerifyProbes)
		}
	}
	return others
}

// someTargets returns up to count of a service's targets that accept new requests, at
// random, without the one with the given id.
func someTargets(view *directory.View, service, without string, count int) []*directory.ObservedTarget {
	targets := view.ServiceTargets(service)
	order := sampling.New(len(targets), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	var some []*directory.ObservedTarget
	for len(some) < count {
		i, ok := order.Next()
		if !ok {
			break
		}
		if t := targets[i]; t.ID != without && view.AcceptsNewRequests(t) {
			some = append(some, t)
		}
	}
	return some
}

// recordUnreached records that a target could not be reached, and what follows if this
// host has lost the service by that.
func (g *Gateway) recordUnreached(t directory.Target, cause error) {
	if g.paths.recordUnreached(g.view(), t, cause) {
		g.cfg.Loads.ForgetUnreachable(g.view(), t.Service)
	}
}

// probe connects to a target and records whether that succeeds.
func (g *Gateway) probe(t directory.Target) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := g.cfg.Client.Probe(ctx, t.Address, probeTimeout)
	if err == nil {
		g.paths.recordReached(t)
	}
	return err
}

// WatchPaths probes the targets of silent generations, and those of lost services,
// until ctx is done, and has the silent generations of lost services continue
// elsewhere.
func (g *Gateway) WatchPaths(ctx context.Context) {
	probedAt := map[string]time.Duration{}
	for ctx.Err() == nil {
		g.probeSilentTargets(probedAt)
		for _, service := range g.paths.lostServices() {
			go g.probeService(service)
			g.leaveSilentStreams(ctx, service)
		}
		wake.Sleep(ctx, probeInterval/2+rand.N(probeInterval))
	}
}

// probeSilentTargets probes the targets from which generations hear nothing, so that a
// partition is noticed before the next request. probedAt holds the times of the last
// probes by target.
func (g *Gateway) probeSilentTargets(probedAt map[string]time.Duration) {
	now := g.cfg.Now()
	maps.DeleteFunc(probedAt, func(_ string, at time.Duration) bool { return now-at >= silentProbeInterval })
	for _, gen := range g.generations.list() {
		t := gen.currentTarget()
		if t == nil || gen.progress.Load() == nil || gen.awaitsEngine.Load() || gen.sinceLastEvent() < suspiciousSilence {
			continue
		}
		if _, probed := probedAt[t.ID]; probed || g.paths.isLost(t.Service) {
			continue
		}
		probedAt[t.ID] = now
		go g.probeSilent(t.Target)
	}
}

// probeSilent probes a target and records it as unreachable if it does not answer.
func (g *Gateway) probeSilent(t directory.Target) {
	if err := g.probe(t); err != nil {
		g.recordUnreached(t, err)
	}
}

// probeService probes a random target of a service.
func (g *Gateway) probeService(service string) {
	for _, t := range someTargets(g.view(), service, "", 1) {
		if err := g.probe(t.Target); err != nil {
			g.cfg.Log.Debug("target of a lost service not reached", "target", t.ID, "cause", err)
		}
	}
}

// leaveSilentStreams has the generations of a lost service continue elsewhere whose
// streams are silent: by a move where engines can copy them, by a new run where the
// route allows it.
func (g *Gateway) leaveSilentStreams(ctx context.Context, service string) {
	always := func(*directory.ObservedTarget) bool { return true }
	for _, gen := range g.generations.list() {
		if gen.service.Name != service || gen.progress.Load() == nil || gen.sinceLastEvent() < silentAfter {
			continue
		}
		if target, m, ok := gen.beginMoveIf(always); ok {
			go gen.moveFromLost(ctx, target, m)
		} else if !gen.movable() && gen.route.Resumable {
			gen.endStream()
		}
	}
}

// endStream ends the stream from the generation's present target.
func (gen *generation) endStream() {
	if _, stream := gen.current(); stream != nil {
		stream.cancel(errStreamSilent)
	}
}
