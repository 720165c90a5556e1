// Package blackboard holds what the controllers of one process know, in typed
// sections. Each section has one writer, the controller that owns it; any
// number of goroutines read it without a lock, through an immutable snapshot
// (read-copy-update). A reader keeps the snapshot that it got for as long as
// it works on one request, so that it never sees half a change.
package blackboard

import (
	"sync"
	"sync/atomic"

	"filbertdeck/internal/failure"
)

// Section is one typed part of the blackboard. The zero value is empty.
type Section[T any] struct {
	value   atomic.Pointer[T]
	claimed atomic.Bool

	mu      sync.Mutex
	changed chan struct{}
}

// Get returns the snapshot in force, nil before the first write. The caller
// must not change it.
func (s *Section[T]) Get() *T { return s.value.Load() }

// Changed returns a channel that is closed at the next write. Take it before
// Get, so that no write falls between the two.
func (s *Section[T]) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// Claim gives the section's only writer. A second claim fails: two writers
// would undo each other's snapshots without anyone noticing.
func (s *Section[T]) Claim() (*Writer[T], error) {
	if !s.claimed.CompareAndSwap(false, true) {
		return nil, failure.New(failure.KindInternal, "section of type %T has a writer already", *new(T))
	}
	return &Writer[T]{section: s}, nil
}

// Writer publishes snapshots of one section.
type Writer[T any] struct{ section *Section[T] }

// Get returns the snapshot in force, nil before the first write.
func (w *Writer[T]) Get() *T { return w.section.Get() }

// Publish makes value the snapshot in force and wakes those who wait. The
// value must not change afterwards.
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
