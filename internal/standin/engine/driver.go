package engine

import (
	"time"

	"filbertdeck/internal/standin/model"
)

// maxIdleWait is the longest wait of the driver while no event is pending.
const maxIdleWait = time.Minute

// modelTime returns the current time of the model: the time since NewServer.
func (s *Server) modelTime() time.Duration { return time.Since(s.startTime) }

// runDriver advances the model whenever its next event is due.
func (s *Server) runDriver() {
	defer s.driverDone.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-s.wake:
		case <-s.closed:
			return
		}
		timer.Reset(s.advanceModel())
	}
}

// advanceModel processes the due events and returns the time until the next.
func (s *Server) advanceModel() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEvents(s.model.Advance(s.modelTime()))
	next, ok := s.model.NextEvent()
	if !ok {
		return maxIdleWait
	}
	return max(0, next-s.modelTime())
}

// wakeDriver makes the driver check for the next event again.
func (s *Server) wakeDriver() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// applyEvents applies the model's events to the generations; the caller holds the
// lock.
func (s *Server) applyEvents(events []model.Event) {
	for _, event := range events {
		if event.Kind == model.EventCrashed {
			s.handleCrash()
			return
		}
		g := s.jobs[event.ID]
		if g == nil {
			continue
		}
		switch event.Kind {
		case model.EventToken:
			g.producedTokens = event.ProducedTokens
		case model.EventPreempted:
			g.preemptions++
		case model.EventFinished:
			s.endGeneration(g, StateFinished)
		}
		g.notifyStreams()
	}
}

// endGeneration sets the final state of a generation; the caller holds the lock.
func (s *Server) endGeneration(g *generation, state State) {
	g.state = state
	g.endedAt = time.Now()
	delete(s.jobs, g.jobID)
	g.notifyStreams()
}

// handleCrash drops all generations and closes all streams; the caller holds the
// lock.
func (s *Server) handleCrash() {
	if s.crashed {
		return
	}
	s.crashed = true
	for _, g := range s.jobs {
		s.endGeneration(g, StateLost)
	}
	s.generations = map[string]*generation{}
	for st := range s.streams {
		st.abort()
	}
	if s.cfg.OnCrash != nil {
		go s.cfg.OnCrash()
	}
	if s.cfg.RestartAfter > 0 {
		time.AfterFunc(s.cfg.RestartAfter, s.restart)
	}
}

// restart restarts a crashed engine with a new incarnation.
func (s *Server) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.crashed {
		return
	}
	s.model.Restart(s.modelTime())
	s.crashed, s.newestFence, s.frozenUntil = false, 0, time.Time{}
	s.wakeDriver()
}
