// Package engine simulates an inference engine process: it drives package model
// by the wall clock and serves the HTTP protocol that filbertdeck uses for
// engines. The output text is determined by the generation's id, so that a test
// can check each token. Faults can be injected.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/standin/model"
)

// Config holds the settings of the simulated engine; zero fields take the
// defaults.
type Config struct {
	Model model.Config
	// OutputLengths is the distribution of output lengths for prompts that do not
	// specify one.
	OutputLengths LengthDistribution
	// CheckFence makes the engine refuse orders and generations whose fencing
	// token is lower than the highest one seen.
	CheckFence bool
	// DisconnectGrace is the time that a generation continues without a
	// connection before it is cancelled.
	DisconnectGrace time.Duration
	// Retention is the time in which an ended generation can still be read.
	Retention time.Duration
	// KeepAliveInterval is the time between comment lines on an idle stream.
	KeepAliveInterval time.Duration
	// RestartAfter is the time after which a crashed engine restarts cold. With 0
	// it does not restart.
	RestartAfter time.Duration
	// OnCrash is called on its own goroutine at each crash; filbert-standin uses
	// it to exit the process.
	OnCrash func()
}

// Default times of the protocol.
const (
	defaultDisconnectGrace   = 10 * time.Second
	defaultRetention         = 30 * time.Second
	defaultKeepAliveInterval = time.Second
	// maxRecords limits the number of generations kept.
	maxRecords = 200_000
)

// Server is a simulated engine. Its methods are safe for concurrent use.
type Server struct {
	cfg       Config
	startTime time.Time

	mu             sync.Mutex
	model          *model.Engine
	generations    map[string]*generation
	jobs           map[model.JobID]*generation
	records        []*generation
	streams        map[*stream]struct{}
	lastJobID      model.JobID
	newestFence    uint64
	orders         []Order
	crashed        bool
	frozenUntil    time.Time
	nextCorruption frameCorruption

	wake       chan struct{}
	closed     chan struct{}
	closeOnce  sync.Once
	driverDone sync.WaitGroup
}

// NewServer starts an engine, which runs until Close.
func NewServer(cfg Config) *Server {
	setDefault(&cfg.DisconnectGrace, defaultDisconnectGrace)
	setDefault(&cfg.Retention, defaultRetention)
	setDefault(&cfg.KeepAliveInterval, defaultKeepAliveInterval)
	cfg.OutputLengths = cfg.OutputLengths.withDefaults()
	if cfg.Model.Incarnation == 0 {
		cfg.Model.Incarnation = uint64(time.Now().UnixNano())
	}
	s := &Server{
		cfg: cfg, startTime: time.Now(), model: model.New(cfg.Model),
		generations: map[string]*generation{}, jobs: map[model.JobID]*generation{},
		streams: map[*stream]struct{}{},
		wake:    make(chan struct{}, 1), closed: make(chan struct{}),
	}
	s.driverDone.Add(1)
	go s.runDriver()
	return s
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Close stops the engine and closes its streams.
func (s *Server) Close() {
	s.closeOnce.Do(func() { close(s.closed) })
	s.driverDone.Wait()
}

// Handler serves the engine protocol and the admin endpoints. Injected process
// faults do not affect the admin endpoints.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/admin/fault", s.postFault).Methods(http.MethodPost)
	r.HandleFunc("/admin/records", s.getRecords).Methods(http.MethodGet)
	r.HandleFunc("/admin/stats", s.getStats).Methods(http.MethodGet)
	r.HandleFunc("/admin/orders", s.getOrders).Methods(http.MethodGet)
	protocol := r.NewRoute().Subrouter()
	protocol.Use(s.applyProcessFaults)
	protocol.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {}).Methods(http.MethodGet)
	protocol.HandleFunc("/v1/completions", s.postCompletion).Methods(http.MethodPost)
	protocol.HandleFunc("/v1/generations/{id}", s.getGeneration).Methods(http.MethodGet)
	protocol.HandleFunc("/v1/generations/{id}", s.deleteGeneration).Methods(http.MethodDelete)
	protocol.HandleFunc("/v1/load", s.getLoad).Methods(http.MethodGet)
	protocol.HandleFunc("/v1/cache/events", s.getCacheEvents).Methods(http.MethodGet)
	protocol.HandleFunc("/v1/orders", s.postOrder).Methods(http.MethodPost)
	return r
}

// applyProcessFaults is middleware that blocks requests while the engine is
// frozen and closes their connections while it is crashed, as a suspended or
// terminated process does.
func (s *Server) applyProcessFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.waitWhileFrozen(r)
		s.mu.Lock()
		crashed := s.crashed
		s.mu.Unlock()
		if crashed {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// waitWhileFrozen waits until the freeze ends or the caller disconnects.
func (s *Server) waitWhileFrozen(r *http.Request) {
	for {
		s.mu.Lock()
		remaining := time.Until(s.frozenUntil)
		s.mu.Unlock()
		if remaining <= 0 {
			return
		}
		select {
		case <-time.After(min(remaining, freezePollInterval)):
		case <-r.Context().Done():
			return
		case <-s.closed:
			return
		}
	}
}

// freezePollInterval limits the delay until the early end of a freeze is
// detected.
const freezePollInterval = 50 * time.Millisecond

func unknownGenerationError(id string) error {
	return failure.New(failure.KindNotFound, "generation %q is unknown", id)
}
