package hedge

import (
	"sync"
	"sync/atomic"
	"time"
)

// Set holds the hedgers of one entry by service. Requests read it without a lock;
// adding a service copies the map (read-copy-update).
type Set struct {
	cfg      Config
	mu       sync.Mutex
	services atomic.Pointer[map[string]*Hedger]
}

// NewSet returns a set without services.
func NewSet(cfg Config) *Set {
	s := &Set{cfg: cfg}
	s.services.Store(&map[string]*Hedger{})
	return s
}

// ForService returns the hedger of a service and creates it if there is none. Call it
// only for services in the table: each name is kept until Retain removes it.
func (s *Set) ForService(now time.Duration, service string) *Hedger {
	if h := (*s.services.Load())[service]; h != nil {
		return h
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := (*s.services.Load())[service]; h != nil {
		return h
	}
	h := New(now, s.cfg)
	s.update(func(string) bool { return true }, map[string]*Hedger{service: h})
	return h
}

// Retain removes the services for which keep returns false. Call it for each new
// table.
func (s *Set) Retain(keep func(service string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(keep, nil)
}

// update replaces the map by one with the services for which keep returns true
// and the added ones.
func (s *Set) update(keep func(string) bool, added map[string]*Hedger) {
	next := map[string]*Hedger{}
	for name, h := range *s.services.Load() {
		if keep(name) {
			next[name] = h
		}
	}
	for name, h := range added {
		next[name] = h
	}
	s.services.Store(&next)
}
