package admission

import (
	"time"

	"filbertdeck/internal/decide/fairqueue"
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

// suspects keeps the target that is being emptied for a request which must run
// alone. Without it such a request would never see an empty target on a busy
// pool, and an innocent one would not get through.
type suspects struct {
	waiting *fairqueue.Request[Ask]
	held    *target
}

func newSuspects() suspects { return suspects{} }

func (s *suspects) rule(_ time.Duration, _ uint64) ruling { return ruling{} }

func (s *suspects) finished(_ time.Duration, _ uint64) {}

func (s *suspects) crashed(_ time.Duration, _ *target) {}

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
