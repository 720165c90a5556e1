// Package app simulates an ordinary HTTP service, which runs next to the model
// engines. It counts how often each call was executed, so that a test can
// detect, for example, a booking that was executed twice.
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

// FaultKind is the kind of an injected fault.
type FaultKind string

// The faults that the service can simulate.
const (
	FaultNone FaultKind = "none"
	// FaultSlow delays each response by Fault.DelayMS.
	FaultSlow FaultKind = "slow"
	// FaultDropAfterRun executes the call, then closes the connection without a
	// response.
	FaultDropAfterRun FaultKind = "drop_after_run"
	// FaultFreeze blocks all calls until the fault ends. Blocked calls are
	// executed then, even if their callers have disconnected.
	FaultFreeze FaultKind = "freeze"
	// FaultRefuse responds with status 503 and reports that the call was not
	// executed.
	FaultRefuse FaultKind = "refuse"
)

// Fault is an injected fault. It is active until the next one is set.
type Fault struct {
	Kind    FaultKind `json:"kind"`
	DelayMS int64     `json:"delay_ms"`
	// Count is the number of calls after which the fault ends; 0 means no limit.
	Count int `json:"count"`
}

// Executions counts the executed calls, in total and by idempotency key.
type Executions struct {
	Total int            `json:"total"`
	ByKey map[string]int `json:"by_key"`
}

// Config holds the settings of the simulated service.
type Config struct {
	// Delay is the execution time of a call.
	Delay time.Duration
	// Capacity is the number of concurrent calls that the load report states.
	Capacity int
}

// Server is the simulated service. Its methods are safe for concurrent use.
type Server struct {
	cfg          Config
	incarnation  int64
	mu           sync.Mutex
	executions   Executions
	fault        Fault
	faultChanged chan struct{}
	running      int
}

// NewServer returns a service with no active fault.
func NewServer(cfg Config) *Server {
	return &Server{
		cfg: cfg, incarnation: time.Now().UnixNano(), executions: Executions{ByKey: map[string]int{}},
		fault: Fault{Kind: FaultNone}, faultChanged: make(chan struct{}),
	}
}

// Close ends the active fault, which unblocks frozen calls.
func (s *Server) Close() { s.SetFault(Fault{Kind: FaultNone}) }

// SetFault activates a fault and wakes the calls that a freeze blocks.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	close(s.faultChanged)
	s.faultChanged = make(chan struct{})
}

// Executions returns a copy of the counts.
func (s *Server) Executions() Executions {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := Executions{Total: s.executions.Total, ByKey: make(map[string]int, len(s.executions.ByKey))}
	for k, n := range s.executions.ByKey {
		counts.ByKey[k] = n
	}
	return counts
}

// Handler serves the admin and load endpoints; a request to any other path is
// a call of the service.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {}).Methods(http.MethodGet)
	r.HandleFunc("/admin/fault", s.handleSetFault).Methods(http.MethodPost)
	r.HandleFunc("/admin/executions", s.handleExecutions).Methods(http.MethodGet)
	r.HandleFunc("/v1/load", s.handleLoad).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(s.handleCall)
	return r
}

func (s *Server) handleSetFault(w http.ResponseWriter, r *http.Request) {
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
			"kind: %q is not one of none, slow, drop_after_run, freeze, refuse", f.Kind))
	}
}

func (s *Server) handleExecutions(w http.ResponseWriter, _ *http.Request) {
	web.WriteJSON(w, http.StatusOK, s.Executions())
}

// Load is the load report of the service. It has no fields for memory, batch
// steps or preemptions, which only engines have.
type Load struct {
	Incarnation int64 `json:"incarnation"`
	AgeMS       int64 `json:"age_ms"`
	Running     int   `json:"running"`
	Waiting     int   `json:"waiting"`
	Capacity    int   `json:"bears"`
	Stopping    bool  `json:"stopping"`
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	web.WriteJSON(w, http.StatusOK, Load{Incarnation: s.incarnation, Running: s.running, Capacity: s.cfg.Capacity})
}

// Reply is the response to a call. Executions is the number of executions with
// the same idempotency key, or of all calls if the call has no key.
type Reply struct {
	Path       string `json:"path"`
	Method     string `json:"method"`
	Body       string `json:"body"`
	Executions int    `json:"executions"`
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, web.MaxBodyBytes))
	if err != nil {
		failure.Write(w, failure.Wrap(err, failure.KindBodyTooLarge, "request body can't be read"))
		return
	}
	fault := s.beginCall()
	defer s.endCall()
	if fault.Kind == FaultRefuse {
		w.Header().Set("Filbert-Executed", "no")
		failure.Write(w, failure.New(failure.KindOverloaded, "refused by an injected fault").WithRetryAfter(time.Second))
		return
	}
	time.Sleep(s.cfg.Delay + time.Duration(fault.DelayMS)*time.Millisecond)
	executions := s.recordExecution(idempotencyKey(r, body))
	if fault.Kind == FaultDropAfterRun {
		web.AbortConnection()
	}
	w.Header().Set("Filbert-Executed", "yes")
	web.WriteJSON(w, http.StatusOK, Reply{Path: r.URL.RequestURI(), Method: r.Method, Body: string(body), Executions: executions})
}

// beginCall counts the call as running, waits while the service is frozen, and
// returns the fault that applies to the call.
func (s *Server) beginCall() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	for s.fault.Kind == FaultFreeze {
		changed := s.faultChanged
		s.mu.Unlock()
		<-changed
		s.mu.Lock()
	}
	fault := s.fault
	if s.fault.Count > 0 {
		if s.fault.Count--; s.fault.Count == 0 {
			s.fault = Fault{Kind: FaultNone}
		}
	}
	return fault
}

func (s *Server) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// recordExecution counts an execution and returns the number of executions with
// the same key, or of all calls if key is empty.
func (s *Server) recordExecution(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions.Total++
	if key == "" {
		return s.executions.Total
	}
	s.executions.ByKey[key]++
	return s.executions.ByKey[key]
}

// idempotencyKey returns the idempotency key of a call, from the header or from
// the field "key" of a JSON body.
func idempotencyKey(r *http.Request, body []byte) string {
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
