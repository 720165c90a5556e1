// Package relaypeers chooses the host through which a request goes to a target that
// this host can't reach.
//
// When hosts are partitioned from the targets, often most or all of a data centre are.
// A host does not know which of the others reach the targets until it asks them. It
// remembers who served it and who could not, keeps to a few that serve it, so that it
// holds few connections, and draws these at random, so that the partitioned hosts of a
// large fleet spread over the others.
//
// Types in this package are not safe for concurrent use. Times are on the monotonic
// clock.
package relaypeers

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"filbertdeck/internal/decide/sampling"
)

const (
	// retryAfter is how long a host that could not serve a request is not asked
	// again.
	retryAfter = 2 * time.Second
	// provenFor is how long a host that served a request is preferred.
	provenFor = 10 * time.Second
	// maxProven is the number of proven hosts with which no further ones are tried.
	maxProven = 3
	// minNearFailed is the number of hosts of this host's data centre that must have
	// failed for hosts of all data centres to be asked first.
	minNearFailed = 2
	// maxDraws limits the hosts that are looked at for one choice.
	maxDraws = 16
)

// key identifies a host's paths to a service.
type key struct{ host, service string }

// Selector holds what a host knows of the others' paths to targets.
type Selector struct {
	rng      *rand.Rand
	servedAt map[key]time.Duration
	failedAt map[key]time.Duration
}

// New returns a selector that knows nothing of other hosts.
func New(rng *rand.Rand) *Selector {
	return &Selector{rng: rng, servedAt: map[key]time.Duration{}, failedAt: map[key]time.Duration{}}
}

// RecordServed records that a host connected to a target of a service.
func (s *Selector) RecordServed(now time.Duration, host, service string) {
	s.servedAt[key{host, service}] = now
	delete(s.failedAt, key{host, service})
}

// RecordFailed records that a host did not answer or can't send to a service.
func (s *Selector) RecordFailed(now time.Duration, host, service string) {
	s.expire(now)
	s.failedAt[key{host, service}] = now
	delete(s.servedAt, key{host, service})
}

func (s *Selector) expire(now time.Duration) {
	maps.DeleteFunc(s.failedAt, func(_ key, at time.Duration) bool { return now-at >= retryAfter })
	maps.DeleteFunc(s.servedAt, func(_ key, at time.Duration) bool { return now-at >= provenFor })
}

// Choose returns a host for a request to a service; false when there is none. near
// are the live hosts of this host's data centre, all those of all data centres. The
// hosts in tried are left out. Once some of them failed hosts of all data centres are
// drawn, since a whole data centre may be partitioned.
func (s *Selector) Choose(now time.Duration, service string, near, all, tried []string) (string, bool) {
	s.expire(now)
	usable := func(host string) bool {
		_, failed := s.failedAt[key{host, service}]
		return !failed && !slices.Contains(tried, host)
	}
	proven := s.proven(service, all, usable)
	if len(proven) >= maxProven || len(proven) > 0 && len(tried) > 0 {
		return proven[s.rng.IntN(len(proven))], true
	}
	if len(tried) == 0 && s.nearFailed(service, near) < minNearFailed {
		if host, ok := s.draw(near, usable); ok {
			return host, true
		}
	}
	if host, ok := s.draw(all, usable); ok {
		return host, true
	}
	if len(proven) > 0 {
		return proven[0], true
	}
	return "", false
}

// nearFailed returns the number of hosts of this host's data centre that failed lately.
func (s *Selector) nearFailed(service string, near []string) int {
	n := 0
	for k := range s.failedAt {
		if k.service == service && slices.Contains(near, k.host) {
			n++
		}
	}
	return n
}

// proven returns the live hosts that served requests to a service, sorted.
func (s *Selector) proven(service string, all []string, usable func(string) bool) []string {
	var proven []string
	for k := range s.servedAt {
		if k.service == service && usable(k.host) && slices.Contains(all, k.host) {
			proven = append(proven, k.host)
		}
	}
	slices.Sort(proven)
	return proven
}

// draw returns a random usable host.
func (s *Selector) draw(hosts []string, usable func(string) bool) (string, bool) {
	order := sampling.New(len(hosts), s.rng)
	for range maxDraws {
		i, ok := order.Next()
		if !ok {
			break
		}
		if usable(hosts[i]) {
			return hosts[i], true
		}
	}
	return "", false
}
