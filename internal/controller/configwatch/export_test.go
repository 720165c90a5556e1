package configwatch

import "context"

// ReadSession is one uninterrupted watch by a reader. Each call is made
// explicitly.
type ReadSession struct {
	watcher  *Watcher
	observed *observedState
	fullRead bool
}

// NewReadSession returns a session whose first call reads the whole state.
func NewReadSession(watcher *Watcher) *ReadSession {
	return &ReadSession{watcher: watcher, observed: newObservedState(), fullRead: true}
}

// ReadOnce makes one call to the service.
func (s *ReadSession) ReadOnce() error {
	err := s.watcher.readOnce(context.Background(), s.observed, s.fullRead)
	s.fullRead = err != nil
	return err
}
