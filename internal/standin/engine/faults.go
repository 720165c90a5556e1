package engine

import (
	"net/http"
	"time"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/standin/web"
)

// FaultKind names a scripted fault.
type FaultKind string

// The faults of an engine.
const (
	// FaultFreeze stops the whole engine for DurationMS; then it goes on as if
	// nothing had happened.
	FaultFreeze FaultKind = "freeze"
	// FaultCrash ends it.
	FaultCrash FaultKind = "crash"
	// FaultCold takes its warmth without any sign but the lagging report.
	FaultCold FaultKind = "cold"
	// FaultCut closes Count streams (0: all); their generations run on.
	FaultCut FaultKind = "cut"
	// FaultSilent keeps Count streams open (0: all) and sends nothing on them
	// for good; new connections work.
	FaultSilent FaultKind = "silent"
	// FaultSlow multiplies the step time by Factor.
	FaultSlow FaultKind = "slow"
	// FaultMisnumber sends the next frame with a wrong offset or generation.
	FaultMisnumber FaultKind = "misnumber"
	// FaultReclaim tells that the engine stops, and ends it after NoticeMS.
	FaultReclaim FaultKind = "reclaim"
	// FaultNone ends a freeze, slowness and a misnumbering to come.
	FaultNone FaultKind = "none"
)

// Fault is one scripted fault.
type Fault struct {
	Kind       FaultKind `json:"kind"`
	DurationMS int64     `json:"duration_ms,omitempty"`
	NoticeMS   int64     `json:"notice_ms,omitempty"`
	Factor     float64   `json:"factor,omitempty"`
	Count      int       `json:"count,omitempty"`
	// Field is "offset" or "generation", for FaultMisnumber.
	Field string `json:"field,omitempty"`
}

// The figures of faults that do not give theirs.
const (
	defaultFreezeMS = 5000
	defaultNoticeMS = 2000
	defaultFactor   = 4
)

type misnumbering int

const (
	misnumberNone misnumbering = iota
	misnumberOffset
	misnumberGeneration
)

func (s *Server) postFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !web.ReadJSON(w, r, &f) {
		return
	}
	if err := s.SetFault(f); err != nil {
		failure.Write(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// SetFault brings a fault about. It fails with KindBadRequest when there is no
// such fault.
func (s *Server) SetFault(f Fault) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.nudge()
	now := s.now()
	s.take(s.model.Advance(now))
	switch f.Kind {
	case FaultFreeze:
		d := milliseconds(f.DurationMS, defaultFreezeMS)
		s.frozenUntil = time.Now().Add(d)
		s.model.Freeze(now, d)
	case FaultCrash:
		s.model.Crash(now)
		s.take(s.model.Advance(now))
	case FaultCold:
		s.model.ResetWarmUp(now)
	case FaultCut:
		s.each(f.Count, (*stream).sever)
	case FaultSilent:
		s.each(f.Count, func(st *stream) { st.silent = true; st.nudge() })
	case FaultSlow:
		s.model.SetSlowFactor(now, orFactor(f.Factor))
	case FaultMisnumber:
		return s.setMisnumber(f.Field)
	case FaultReclaim:
		s.model.Reclaim(now, milliseconds(f.NoticeMS, defaultNoticeMS))
	case FaultNone:
		s.frozenUntil, s.misnumber = time.Time{}, misnumberNone
		s.model.Thaw(now)
		s.model.SetSlowFactor(now, 1)
	default:
		return failure.New(failure.KindBadRequest, "kind: %q is no fault of an engine", f.Kind)
	}
	return nil
}

func (s *Server) setMisnumber(field string) error {
	switch field {
	case "", "offset":
		s.misnumber = misnumberOffset
	case "generation":
		s.misnumber = misnumberGeneration
	default:
		return failure.New(failure.KindBadRequest, "field: %q is none of offset, generation", field)
	}
	return nil
}

// takeMisnumber gives the fault of the next frame and ends it.
func (s *Server) takeMisnumber() misnumbering {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.misnumber
	s.misnumber = misnumberNone
	return m
}

// each does something to count streams that are not silent, 0 meaning all.
func (s *Server) each(count int, do func(*stream)) {
	for st := range s.streams {
		if st.silent {
			continue
		}
		do(st)
		if count--; count == 0 {
			return
		}
	}
}

func milliseconds(n, missing int64) time.Duration {
	if n == 0 {
		n = missing
	}
	return time.Duration(n) * time.Millisecond
}

func orFactor(f float64) float64 {
	if f == 0 {
		return defaultFactor
	}
	return f
}
