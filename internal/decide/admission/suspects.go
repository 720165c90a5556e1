package admission

import (
	"cmp"
	"slices"
	"time"

	"filbertdeck/internal/decide/fairqueue"
	"filbertdeck/internal/decide/poison"
)

// ruling is what the poison rules say of one request.
type ruling struct {
	// guilty requests are refused; wait is when the verdict ends.
	guilty bool
	wait   time.Duration
	// held requests must not run yet.
	held bool
	// alone requests run on a target without any other; apart ones on a target
	// without other suspects.
	alone, apart bool
}

func (r ruling) constrained() bool { return r.held || r.alone || r.apart }

// allows tells whether the poison rules let a request onto the target.
func (t *target) allows(r ruling) bool {
	switch {
	case t.alone > 0:
		return false
	case r.alone:
		return len(t.leases)+t.strangers == 0
	case t.reserved:
		return false
	case r.apart:
		return t.suspects == 0
	}
	return true
}

// suspects applies the evidence of crashes to this pool. It also keeps the
// target that is being emptied for a request which must run alone: without
// that such a request would never see an empty target on a busy pool, and an
// innocent one would not get through.
type suspects struct {
	detector *poison.Detector
	// running counts the leases of each fingerprint.
	running map[uint64]int
	waiting *fairqueue.Request[Ask]
	held    *target
}

func newSuspects() suspects {
	return suspects{detector: poison.New(poison.Config{}), running: map[uint64]int{}}
}

// rule says how a request may run now; a fingerprint of 0 says nothing.
func (s *suspects) rule(now time.Duration, fingerprint uint64) ruling {
	if fingerprint == 0 {
		return ruling{}
	}
	r := s.detector.Assess(now, fingerprint)
	suspected := r.Verdict == poison.Isolated || r.Verdict == poison.Exclusive
	// Of equal suspects one runs at a time: two on two targets would cost both
	// before the first crash is known.
	twin := suspected && s.running[fingerprint] > 0
	return ruling{
		guilty: r.Verdict == poison.Blocked, wait: r.Wait, held: r.Wait > 0 || twin,
		alone: r.Verdict == poison.Exclusive, apart: r.Verdict == poison.Isolated,
	}
}

// began and ended count a lease's fingerprint.
func (s *suspects) began(fingerprint uint64) {
	if fingerprint != 0 {
		s.running[fingerprint]++
	}
}

func (s *suspects) ended(fingerprint uint64) {
	if fingerprint == 0 {
		return
	}
	if s.running[fingerprint]--; s.running[fingerprint] == 0 {
		delete(s.running, fingerprint)
	}
}

func (s *suspects) finished(now time.Duration, fingerprint uint64) {
	if fingerprint != 0 {
		s.detector.AddCompletion(now, fingerprint)
	}
}

// crashed notes the death of a target with all that ran there, the latest
// start first. Each lease of the target is settled so; the first tells all,
// and the others have the same crash's id.
func (s *suspects) crashed(now time.Duration, t *target) {
	running := slices.Clone(t.leases)
	slices.SortFunc(running, func(a, b *lease) int { return cmp.Compare(b.granted, a.granted) })
	var fingerprints []uint64
	for _, l := range running {
		if l.fingerprint != 0 {
			fingerprints = append(fingerprints, l.fingerprint)
		}
	}
	s.detector.AddCrash(now, poison.CrashID(t.address, t.report.Incarnation), fingerprints)
}

// PoisonEvidence gives the latest crashes for gossip, at most limit of them.
func (a *Allocator) PoisonEvidence(now time.Duration, limit int) []poison.Crash {
	return a.suspects.detector.Export(now, limit)
}

// MergePoisonEvidence takes evidence of other allocators. It tells whether any was
// new: then pass it on at once.
func (a *Allocator) MergePoisonEvidence(now time.Duration, crashes []poison.Crash) bool {
	return a.suspects.detector.Merge(now, crashes)
}

// reserve empties the least loaded target for the request, one at a time.
func (s *suspects) reserve(targets []*target, r *fairqueue.Request[Ask]) {
	if s.waiting != nil {
		return
	}
	for _, t := range targets {
		if !t.leaving && (s.held == nil || len(t.leases) < len(s.held.leases)) {
			s.held = t
		}
	}
	if s.held != nil {
		s.waiting, s.held.reserved = r, true
	}
}

// release ends the reservation for a request that no longer waits.
func (s *suspects) release(r *fairqueue.Request[Ask]) {
	if s.waiting != r {
		return
	}
	if s.held != nil {
		s.held.reserved = false
	}
	s.waiting, s.held = nil, nil
}
