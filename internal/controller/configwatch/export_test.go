package configwatch

import "context"

// Session is one reader's uninterrupted view, driven call by call.
type Session struct {
	w     *Watcher
	seen  *reading
	whole bool
}

// NewSession starts with a whole reading.
func NewSession(w *Watcher) *Session { return &Session{w: w, seen: newReading(), whole: true} }

// Step makes one call.
func (s *Session) Step() error {
	err := s.w.step(context.Background(), s.seen, s.whole)
	s.whole = err != nil
	return err
}
