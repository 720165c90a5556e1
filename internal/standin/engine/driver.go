package engine

import (
	"time"

	"filbertdeck/internal/standin/model"
)

// idleWait is the longest sleep of the driver when nothing is due.
const idleWait = time.Minute

// now is the model's time.
func (s *Server) now() time.Duration { return time.Since(s.start) }

// drive moves the model on as its events come due.
func (s *Server) drive() {
	defer s.done.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-s.wake:
		case <-s.closed:
			return
		}
		timer.Reset(s.advance())
	}
}

// advance runs what is due and gives the time until more is.
func (s *Server) advance() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.take(s.model.Advance(s.now()))
	next, ok := s.model.NextEvent()
	if !ok {
		return idleWait
	}
	return max(0, next-s.now())
}

// nudge makes the driver look at the model again.
func (s *Server) nudge() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// take applies the model's events to the generations; the lock is held.
func (s *Server) take(events []model.Event) {
	for _, event := range events {
		if event.Kind == model.EventCrashed {
			s.die()
			return
		}
		g := s.jobs[event.ID]
		if g == nil {
			continue
		}
		switch event.Kind {
		case model.EventToken:
			g.produced = event.ProducedTokens
		case model.EventPreempted:
			g.preemptions++
		case model.EventFinished:
			s.end(g, StateFinished)
		}
		g.notify()
	}
}

// end closes a generation; the lock is held.
func (s *Server) end(g *generation, state State) {
	g.state = state
	g.ended = time.Now()
	delete(s.jobs, g.job)
	g.notify()
}

// die loses every generation and connection; the lock is held.
func (s *Server) die() {
	if s.dead {
		return
	}
	s.dead = true
	for _, g := range s.jobs {
		s.end(g, StateLost)
	}
	s.generations = map[string]*generation{}
	for st := range s.streams {
		st.sever()
	}
	if s.cfg.OnCrash != nil {
		go s.cfg.OnCrash()
	}
	if s.cfg.RestartAfter > 0 {
		time.AfterFunc(s.cfg.RestartAfter, s.revive)
	}
}

// revive starts a dead engine again with a new incarnation.
func (s *Server) revive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dead {
		return
	}
	s.model.Restart(s.now())
	s.dead, s.fence, s.frozenUntil = false, 0, time.Time{}
	s.nudge()
}
