// Package app is a small stand-in for a plain service beside the model
// engines. It counts how often it ran each call, so that a test can tell
// whether a booking ran twice.
package app

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/standin/web"
)

// FaultKind names a scripted fault.
type FaultKind string

// The faults of a plain service.
const (
	FaultNone FaultKind = "none"
	// FaultSlow answers late.
	FaultSlow FaultKind = "slow"
	// FaultDropAfterRun runs the call, then closes the connection.
	FaultDropAfterRun FaultKind = "drop_after_run"
	// FaultFreeze neither runs nor answers until the fault is over; a call that
	// waited runs then, also when its caller has left.
	FaultFreeze FaultKind = "freeze"
	// FaultRefuse answers 503 and says that the call did not run.
	FaultRefuse FaultKind = "refuse"
)

// Fault is one scripted fault, in force until the next.
type Fault struct {
	Kind    FaultKind `json:"kind"`
	DelayMS int64     `json:"delay_ms"`
	// Count ends the fault after so many calls; 0 means no end.
	Count int `json:"count"`
}

// Executions counts the calls that ran.
type Executions struct {
	Total int            `json:"total"`
	ByKey map[string]int `json:"by_key"`
}

// Config holds the stand-in's settings.
type Config struct {
	// Delay is the time that a call takes.
	Delay time.Duration
	// Bears is the number of concurrent calls that the load report tells.
	Bears int
}

// Server is the plain service.
type Server struct {
	cfg         Config
	incarnation int64
	mu          sync.Mutex
	executions  Executions
	fault       Fault
	changed     chan struct{}
	running     int
}

// NewServer returns a service without faults.
func NewServer(cfg Config) *Server {
	return &Server{
		cfg: cfg, incarnation: time.Now().UnixNano(), executions: Executions{ByKey: map[string]int{}},
		fault: Fault{Kind: FaultNone}, changed: make(chan struct{}),
	}
}

// Close releases calls that wait in a fault.
func (s *Server) Close() { s.SetFault(Fault{Kind: FaultNone}) }

// SetFault puts a fault in force.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// Executions gives a copy of the counts.
func (s *Server) Executions() Executions {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Executions{Total: s.executions.Total, ByKey: make(map[string]int, len(s.executions.ByKey))}
	for k, n := range s.executions.ByKey {
		out.ByKey[k] = n
	}
	return out
}

// Handler serves the administration interface and any other path as a call.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {}).Methods(http.MethodGet)
	r.HandleFunc("/admin/fault", s.setFault).Methods(http.MethodPost)
	r.HandleFunc("/admin/executions", s.showExecutions).Methods(http.MethodGet)
	r.HandleFunc("/v1/load", s.load).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(s.call)
	return r
}

func (s *Server) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !web.ReadJSON(w, r, &f) {
		return
	}
	switch f.Kind {
	case FaultNone, FaultSlow, FaultDropAfterRun, FaultFreeze, FaultRefuse:
		s.SetFault(f)
		w.WriteHeader(http.StatusNoContent)
	default:
		failure.Write(w, failure.New(failure.KindBadRequest,
			"kind: %q is none of none, slow, drop_after_run, freeze, refuse", f.Kind))
	}
}

func (s *Server) showExecutions(w http.ResponseWriter, _ *http.Request) {
	web.WriteJSON(w, http.StatusOK, s.Executions())
}

// Load is the report of a plain service; the engine's fields that make no
// sense here are absent.
type Load struct {
	Incarnation int64 `json:"incarnation"`
	AgeMS       int64 `json:"age_ms"`
	Running     int   `json:"running"`
	Waiting     int   `json:"waiting"`
	Bears       int   `json:"bears"`
	Stopping    bool  `json:"stopping"`
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	web.WriteJSON(w, http.StatusOK, Load{Incarnation: s.incarnation, Running: s.running, Bears: s.cfg.Bears})
}

// Reply is the answer to a call.
type Reply struct {
	Path       string `json:"path"`
	Method     string `json:"method"`
	Body       string `json:"body"`
	Executions int    `json:"executions"`
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, web.MaxBody))
	if err != nil {
		failure.Write(w, failure.Wrap(err, failure.KindBodyTooLarge, "body can't be read"))
		return
	}
	fault := s.enter()
	defer s.leave()
	if fault.Kind == FaultRefuse {
		w.Header().Set("Filbert-Executed", "no")
		failure.Write(w, failure.New(failure.KindOverloaded, "refused by a scripted fault").WithRetryAfter(time.Second))
		return
	}
	time.Sleep(s.cfg.Delay + time.Duration(fault.DelayMS)*time.Millisecond)
	n := s.run(keyOf(r, body))
	if fault.Kind == FaultDropAfterRun {
		web.Abort()
	}
	w.Header().Set("Filbert-Executed", "yes")
	web.WriteJSON(w, http.StatusOK, Reply{Path: r.URL.RequestURI(), Method: r.Method, Body: string(body), Executions: n})
}

// enter counts the call in, waits while the service is frozen, and gives the
// fault that is in force then.
func (s *Server) enter() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	for s.fault.Kind == FaultFreeze {
		changed := s.changed
		s.mu.Unlock()
		<-changed
		s.mu.Lock()
	}
	f := s.fault
	if s.fault.Count > 0 {
		if s.fault.Count--; s.fault.Count == 0 {
			s.fault = Fault{Kind: FaultNone}
		}
	}
	return f
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) run(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions.Total++
	if key == "" {
		return s.executions.Total
	}
	s.executions.ByKey[key]++
	return s.executions.ByKey[key]
}

// keyOf gives the call's idempotency key, from the header or the body's field.
func keyOf(r *http.Request, body []byte) string {
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		return key
	}
	var fields struct {
		Key string `json:"key"`
	}
	if json.Unmarshal(body, &fields) != nil {
		return ""
	}
	return fields.Key
}
