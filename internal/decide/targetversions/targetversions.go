// Package targetversions tells whether a service has had only one version of its
// software for long enough that a stream in progress can have begun at no other.
//
// The state is that of one host: the versions in its successive views of what is
// published. The package is not safe for concurrent use.
package targetversions

import (
	"slices"
	"time"
)

// History holds the versions that a host has seen of each service.
type History struct {
	services map[string]*serviceHistory
}

type serviceHistory struct {
	// since is the time of the first observation.
	since time.Duration
	// present are the versions of the last observation, sorted.
	present []string
	// goneAt holds the time at which a version was last present.
	goneAt map[string]time.Duration
}

// retention is how long a version that is gone is remembered. No stream lasts longer.
const retention = time.Hour

// New returns an empty history.
func New() *History { return &History{services: map[string]*serviceHistory{}} }

// Change is a change of the versions that a service has.
type Change struct{ Before, Now []string }

// Observe records the versions in the newest view of a service. It reports the change
// if these are others than before.
func (h *History) Observe(now time.Duration, service string, versions []string) (Change, bool) {
	sorted := slices.Sorted(slices.Values(versions))
	s := h.services[service]
	if s == nil {
		h.services[service] = &serviceHistory{since: now, present: sorted, goneAt: map[string]time.Duration{}}
		return Change{Now: sorted}, true
	}
	if slices.Equal(s.present, sorted) {
		return Change{}, false
	}
	for _, v := range s.present {
		s.goneAt[v] = now
	}
	for v, at := range s.goneAt {
		if now-at > retention {
			delete(s.goneAt, v)
		}
	}
	change := Change{Before: s.present, Now: sorted}
	s.present = sorted
	return change, true
}

// Only returns the one version that a service has had for a time; false if it had
// several, or was not observed for so long.
func (h *History) Only(now time.Duration, service string, atLeast time.Duration) (string, bool) {
	s := h.services[service]
	if s == nil || len(s.present) != 1 || now-s.since < atLeast || atLeast > retention {
		return "", false
	}
	for v, at := range s.goneAt {
		if v != s.present[0] && now-at < atLeast {
			return "", false
		}
	}
	return s.present[0], true
}

// Several reports whether a service has more than one version, or had within a time.
func (h *History) Several(now time.Duration, service string, within time.Duration) bool {
	s := h.services[service]
	if s == nil {
		return false
	}
	for v, at := range s.goneAt {
		if !slices.Contains(s.present, v) && now-at < within {
			return true
		}
	}
	return len(s.present) > 1
}
