// Package blackboard provides the shared state of one process's controllers, in
// typed sections. Each section has one writer, the controller that owns it. Any
// number of goroutines read it without locking, through immutable snapshots
// (read-copy-update). A reader uses one snapshot for the whole of a request, so
// that it never sees a partial change.
package blackboard

import (
	"sync"
	"sync/atomic"

	"filbertdeck/internal/failure"
)

// Section is one typed part of the blackboard. The zero value is an empty
// section.
type Section[T any] struct {
	value   atomic.Pointer[T]
	claimed atomic.Bool

	mu      sync.Mutex
	changed chan struct{}
}

// Get returns the current snapshot, or nil before the first write. The caller
// must not modify it.
func (s *Section[T]) Get() *T { return s.value.Load() }

// Changed returns a channel that is closed at the next write. Call it before
// Get, so that no write between the two calls is missed.
func (s *Section[T]) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// Claim returns the section's only writer. A second call fails, since two
// writers would silently overwrite each other's snapshots.
func (s *Section[T]) Claim() (*Writer[T], error) {
	if !s.claimed.CompareAndSwap(false, true) {
		return nil, failure.New(failure.KindInternal, "section of type %T already has a writer", *new(T))
	}
	return &Writer[T]{section: s}, nil
}

// Writer publishes snapshots of one section.
type Writer[T any] struct{ section *Section[T] }

// Get returns the current snapshot, or nil before the first write.
func (w *Writer[T]) Get() *T { return w.section.Get() }

// Publish makes value the current snapshot and notifies the receivers of
// Changed. The caller must not modify value afterwards.
func (w *Writer[T]) Publish(value *T) {
	s := w.section
	s.value.Store(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}
