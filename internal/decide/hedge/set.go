package hedge

import (
	"sync"
	"sync/atomic"
	"time"
)

// Set holds the hedgers of one entry by service. A request reads it without a
// lock; a service that is new makes a copy (read-copy-update).
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

// ForService gives the service's hedger. Ask only for services that the table has:
// each name that is asked for is kept until Keep.
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
	s.replace(func(string) bool { return true }, map[string]*Hedger{service: h})
	return h
}

// Keep forgets the services for which keep is false. Call it with a new table.
func (s *Set) Keep(keep func(service string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replace(keep, nil)
}

func (s *Set) replace(keep func(string) bool, more map[string]*Hedger) {
	next := map[string]*Hedger{}
	for name, h := range *s.services.Load() {
		if keep(name) {
			next[name] = h
		}
	}
	for name, h := range more {
		next[name] = h
	}
	s.services.Store(&next)
}
