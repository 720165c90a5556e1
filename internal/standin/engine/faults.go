package engine

import (
	"net/http"
	"time"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/standin/web"
)

// FaultKind is the kind of an injected fault.
type FaultKind string

// The faults that the engine can simulate.
const (
	// FaultFreeze suspends the whole engine for DurationMS; then it continues
	// with all its state.
	FaultFreeze FaultKind = "freeze"
	// FaultCrash crashes the engine.
	FaultCrash FaultKind = "crash"
	// FaultLoseWarmUp resets the warm-up. Only the delayed load report shows it.
	FaultLoseWarmUp FaultKind = "cold"
	// FaultCloseStreams closes the connections of Count streams (0: all); their
	// generations continue.
	FaultCloseStreams FaultKind = "cut"
	// FaultSilenceStreams keeps the connections of Count streams (0: all) open
	// but never sends on them again; new connections work.
	FaultSilenceStreams FaultKind = "silent"
	// FaultSlow multiplies the step duration by Factor.
	FaultSlow FaultKind = "slow"
	// FaultCorruptFrame sends the next frame with a wrong offset or generation
	// id.
	FaultCorruptFrame FaultKind = "misnumber"
	// FaultReclaim reports that the engine is stopping and crashes it after
	// NoticeMS.
	FaultReclaim FaultKind = "reclaim"
	// FaultNone ends a freeze and a slowdown, and removes a pending frame
	// corruption.
	FaultNone FaultKind = "none"
)

// Fault is an injected fault.
type Fault struct {
	Kind       FaultKind `json:"kind"`
	DurationMS int64     `json:"duration_ms,omitempty"`
	NoticeMS   int64     `json:"notice_ms,omitempty"`
	Factor     float64   `json:"factor,omitempty"`
	Count      int       `json:"count,omitempty"`
	// Field is the corrupted field for FaultCorruptFrame: "offset" (the default)
	// or "generation".
	Field string `json:"field,omitempty"`
}

// Parameters of faults that do not specify them.
const (
	defaultFreezeMS   = 5000
	defaultNoticeMS   = 2000
	defaultSlowFactor = 4
)

type frameCorruption int

const (
	corruptNone frameCorruption = iota
	corruptOffset
	corruptGeneration
)

func (s *Server) postFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if !web.ReadJSON(w, r, &fault) {
		return
	}
	if err := s.SetFault(fault); err != nil {
		failure.Write(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// SetFault injects a fault. It fails with KindBadRequest if the fault kind or the
// field is unknown.
func (s *Server) SetFault(fault Fault) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wakeDriver()
	now := s.modelTime()
	s.applyEvents(s.model.Advance(now))
	switch fault.Kind {
	case FaultFreeze:
		duration := millisecondsOrDefault(fault.DurationMS, defaultFreezeMS)
		s.frozenUntil = time.Now().Add(duration)
		s.model.Freeze(now, duration)
	case FaultCrash:
		s.model.Crash(now)
		s.applyEvents(s.model.Advance(now))
	case FaultLoseWarmUp:
		s.model.ResetWarmUp(now)
	case FaultCloseStreams:
		s.forEachStream(fault.Count, (*stream).abort)
	case FaultSilenceStreams:
		s.forEachStream(fault.Count, func(st *stream) { st.silent = true; st.signal() })
	case FaultSlow:
		s.model.SetSlowFactor(now, factorOrDefault(fault.Factor))
	case FaultCorruptFrame:
		return s.setFrameCorruption(fault.Field)
	case FaultReclaim:
		s.model.Reclaim(now, millisecondsOrDefault(fault.NoticeMS, defaultNoticeMS))
	case FaultNone:
		s.frozenUntil, s.nextCorruption = time.Time{}, corruptNone
		s.model.Unfreeze(now)
		s.model.SetSlowFactor(now, 1)
	default:
		return failure.New(failure.KindBadRequest, "kind: %q is not an engine fault", fault.Kind)
	}
	return nil
}

func (s *Server) setFrameCorruption(field string) error {
	switch field {
	case "", "offset":
		s.nextCorruption = corruptOffset
	case "generation":
		s.nextCorruption = corruptGeneration
	default:
		return failure.New(failure.KindBadRequest, "field: %q is not one of offset, generation", field)
	}
	return nil
}

// takeFrameCorruption returns the corruption of the next frame and clears it.
func (s *Server) takeFrameCorruption() frameCorruption {
	s.mu.Lock()
	defer s.mu.Unlock()
	corruption := s.nextCorruption
	s.nextCorruption = corruptNone
	return corruption
}

// forEachStream calls apply for up to count streams that are not silent; 0 means
// all.
func (s *Server) forEachStream(count int, apply func(*stream)) {
	for st := range s.streams {
		if st.silent {
			continue
		}
		apply(st)
		if count--; count == 0 {
			return
		}
	}
}

func millisecondsOrDefault(valueMS, defaultMS int64) time.Duration {
	if valueMS == 0 {
		valueMS = defaultMS
	}
	return time.Duration(valueMS) * time.Millisecond
}

func factorOrDefault(factor float64) float64 {
	if factor == 0 {
		return defaultSlowFactor
	}
	return factor
}
