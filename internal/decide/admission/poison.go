package admission

import (
	"cmp"
	"slices"
	"time"

	"filbertdeck/internal/decide/fairqueue"
	"filbertdeck/internal/decide/poison"
)

// poisonRestriction is how the crash evidence restricts one request.
type poisonRestriction struct {
	// rejected requests are refused; wait is the time until the restriction
	// ends.
	rejected bool
	wait     time.Duration
	// mustWait is set while the request must not run yet.
	mustWait bool
	// exclusive requests run on a target without any other request, separate
	// ones on a target without other suspects.
	exclusive, separate bool
}

func (r poisonRestriction) restricted() bool { return r.mustWait || r.exclusive || r.separate }

// allows reports whether the restriction lets a request run on the target.
func (t *target) allows(restriction poisonRestriction) bool {
	switch {
	case t.exclusiveLeases > 0:
		return false
	case restriction.exclusive:
		return len(t.leases)+t.unknownRequests == 0
	case t.reserved:
		return false
	case restriction.separate:
		return t.suspectLeases == 0
	}
	return true
}

// poisonGuard applies the crash evidence to this pool. It also reserves a
// target, which takes no new requests, for a request that must run exclusively:
// on a busy pool there would otherwise never be an empty target, and an
// innocent request could never run.
type poisonGuard struct {
	detector *poison.Detector
	// runningByFingerprint counts the leases of each fingerprint.
	runningByFingerprint map[uint64]int
	reservedFor          *fairqueue.Request[Ask]
	reservedTarget       *target
}

func newPoisonGuard() poisonGuard {
	return poisonGuard{detector: poison.New(poison.Config{}), runningByFingerprint: map[uint64]int{}}
}

// restrictionFor returns how a request may run now. A request with fingerprint
// 0 is not restricted.
func (g *poisonGuard) restrictionFor(now time.Duration, fingerprint uint64) poisonRestriction {
	if fingerprint == 0 {
		return poisonRestriction{}
	}
	r := g.detector.Assess(now, poison.Request{Fingerprint: fingerprint})
	suspected := r.Verdict == poison.Isolated || r.Verdict == poison.Exclusive
	// Identical suspects run one at a time: run on two targets at once they
	// could crash both before the first crash is known.
	duplicateRunning := suspected && g.runningByFingerprint[fingerprint] > 0
	return poisonRestriction{
		rejected: r.Verdict == poison.Blocked, wait: r.Delay, mustWait: r.Delay > 0 || duplicateRunning,
		exclusive: r.Verdict == poison.Exclusive, separate: r.Verdict == poison.Isolated,
	}
}

// leaseStarted and leaseEnded count the leases of a fingerprint.
func (g *poisonGuard) leaseStarted(fingerprint uint64) {
	if fingerprint != 0 {
		g.runningByFingerprint[fingerprint]++
	}
}

func (g *poisonGuard) leaseEnded(fingerprint uint64) {
	if fingerprint == 0 {
		return
	}
	if g.runningByFingerprint[fingerprint]--; g.runningByFingerprint[fingerprint] == 0 {
		delete(g.runningByFingerprint, fingerprint)
	}
}

func (g *poisonGuard) requestFinished(now time.Duration, fingerprint uint64) {
	if fingerprint != 0 {
		g.detector.AddCompletion(now, poison.Request{Fingerprint: fingerprint})
	}
}

// targetCrashed records the crash of a target with all requests that ran there,
// the latest start first. It is called for each lease of the target; the first
// call records all of them, and later calls have the same crash ID.
func (g *poisonGuard) targetCrashed(now time.Duration, t *target) {
	running := slices.Clone(t.leases)
	slices.SortFunc(running, func(a, b *lease) int { return cmp.Compare(b.grantedAt, a.grantedAt) })
	var fingerprints []uint64
	for _, l := range running {
		if l.fingerprint != 0 {
			fingerprints = append(fingerprints, l.fingerprint)
		}
	}
	g.detector.AddCrash(now, poison.CrashID(t.address, t.report.Incarnation), poison.Requests(fingerprints))
}

// PoisonEvidence returns the latest crashes for gossip, at most limit of them.
func (a *Allocator) PoisonEvidence(now time.Duration, limit int) []poison.Crash {
	return a.poison.detector.Export(now, limit)
}

// MergePoisonEvidence adds crash evidence of other allocators. It reports whether any
// was new and should be passed on at once.
func (a *Allocator) MergePoisonEvidence(now time.Duration, crashes []poison.Crash) bool {
	return a.poison.detector.Merge(now, crashes)
}

// reserveTarget reserves the least loaded target for the request. At most one
// reservation exists at a time.
func (g *poisonGuard) reserveTarget(targets []*target, r *fairqueue.Request[Ask]) {
	if g.reservedFor != nil {
		return
	}
	for _, t := range targets {
		if !t.leaving && (g.reservedTarget == nil || len(t.leases) < len(g.reservedTarget.leases)) {
			g.reservedTarget = t
		}
	}
	if g.reservedTarget != nil {
		g.reservedFor, g.reservedTarget.reserved = r, true
	}
}

// releaseReservation ends the reservation of a request that no longer waits.
func (g *poisonGuard) releaseReservation(r *fairqueue.Request[Ask]) {
	if g.reservedFor != r {
		return
	}
	if g.reservedTarget != nil {
		g.reservedTarget.reserved = false
	}
	g.reservedFor, g.reservedTarget = nil, nil
}
