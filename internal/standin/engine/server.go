// Package engine is the model engine's stand-in: package model, driven by the
// wall clock, behind the protocol that filbertdeck meets engines by. Its words
// can be foretold from the generation's id, so that a test can check each
// token, and faults can be scripted.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/standin/model"
)

// Config holds the stand-in's settings; zero fields take the defaults.
type Config struct {
	Model model.Config
	// Lengths draws the output length of prompts that do not say one.
	Lengths Lengths
	// CheckFence makes the engine refuse orders and generations whose fencing
	// number is older than one it saw.
	CheckFence bool
	// Grace is the time that a generation runs on after its connection was lost.
	Grace time.Duration
	// Retain is the time that an ended generation can still be resumed.
	Retain time.Duration
	// KeepAlive is the time between comment lines on a quiet stream.
	KeepAlive time.Duration
	// RestartAfter brings a crashed engine back, cold, after a while. At 0 it
	// stays dead.
	RestartAfter time.Duration
	// OnCrash is called once when the engine dies; the process exits by it.
	OnCrash func()
}

// The protocol's times, and how long an ended generation is remembered.
const (
	defaultGrace     = 10 * time.Second
	defaultRetain    = 30 * time.Second
	defaultKeepAlive = time.Second
	// maxRecords bounds the generations remembered.
	maxRecords = 200_000
)

// Server is one engine. Its methods are safe for concurrent use.
type Server struct {
	cfg   Config
	start time.Time

	mu          sync.Mutex
	model       *model.Engine
	generations map[string]*generation
	jobs        map[model.JobID]*generation
	records     []*generation
	streams     map[*stream]struct{}
	nextJob     model.JobID
	fence       uint64
	orders      []Order
	dead        bool
	frozenUntil time.Time
	misnumber   misnumbering

	wake   chan struct{}
	closed chan struct{}
	once   sync.Once
	done   sync.WaitGroup
}

// NewServer returns an engine that runs until Close.
func NewServer(cfg Config) *Server {
	setDefault(&cfg.Grace, defaultGrace)
	setDefault(&cfg.Retain, defaultRetain)
	setDefault(&cfg.KeepAlive, defaultKeepAlive)
	cfg.Lengths = cfg.Lengths.withDefaults()
	if cfg.Model.Incarnation == 0 {
		cfg.Model.Incarnation = uint64(time.Now().UnixNano())
	}
	s := &Server{
		cfg: cfg, start: time.Now(), model: model.New(cfg.Model),
		generations: map[string]*generation{}, jobs: map[model.JobID]*generation{},
		streams: map[*stream]struct{}{},
		wake:    make(chan struct{}, 1), closed: make(chan struct{}),
	}
	s.done.Add(1)
	go s.drive()
	return s
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Close stops the engine and closes its streams.
func (s *Server) Close() {
	s.once.Do(func() { close(s.closed) })
	s.done.Wait()
}

// Handler serves the engine's protocol and the scripted faults.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/admin/fault", s.postFault).Methods(http.MethodPost)
	r.HandleFunc("/admin/records", s.getRecords).Methods(http.MethodGet)
	r.HandleFunc("/admin/stats", s.getStats).Methods(http.MethodGet)
	r.HandleFunc("/admin/orders", s.getOrders).Methods(http.MethodGet)
	p := r.NewRoute().Subrouter()
	p.Use(s.gate)
	p.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {}).Methods(http.MethodGet)
	p.HandleFunc("/v1/completions", s.postCompletion).Methods(http.MethodPost)
	p.HandleFunc("/v1/generations/{id}", s.getGeneration).Methods(http.MethodGet)
	p.HandleFunc("/v1/generations/{id}", s.deleteGeneration).Methods(http.MethodDelete)
	p.HandleFunc("/v1/load", s.getLoad).Methods(http.MethodGet)
	p.HandleFunc("/v1/cache/events", s.getCacheEvents).Methods(http.MethodGet)
	p.HandleFunc("/v1/orders", s.postOrder).Methods(http.MethodPost)
	return r
}

// gate holds requests while the engine is frozen and drops them while it is
// dead, as a paused or ended process does.
func (s *Server) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.awaitThaw(r)
		s.mu.Lock()
		dead := s.dead
		s.mu.Unlock()
		if dead {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// awaitThaw waits until no freeze is in force or the caller left.
func (s *Server) awaitThaw(r *http.Request) {
	for {
		s.mu.Lock()
		left := time.Until(s.frozenUntil)
		s.mu.Unlock()
		if left <= 0 {
			return
		}
		select {
		case <-time.After(min(left, thawPoll)):
		case <-r.Context().Done():
			return
		case <-s.closed:
			return
		}
	}
}

// thawPoll bounds the time until the early end of a freeze is noticed.
const thawPoll = 50 * time.Millisecond

func notFound(id string) error {
	return failure.New(failure.KindNotFound, "generation %q is not known", id)
}
