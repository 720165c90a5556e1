// Package platform simulates the platform's configuration service: versioned
// values that clients read and watch under a rate limit, and an admin interface
// that tests use to edit values as operators do and to inject faults.
package platform

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/standin/web"
)

// Mode is the simulated health of the service.
type Mode string

// The modes of the service.
const (
	ModeNormal Mode = "normal"
	// ModeDown closes the connection of each call without a response, as when
	// the server has crashed.
	ModeDown Mode = "down"
	// ModeStale serves the state as of the time when the mode was set.
	ModeStale Mode = "stale"
	// ModeSlow delays each response.
	ModeSlow Mode = "slow"
)

// MaxValueBytes is the maximum size of a value, as in the platform's service.
const MaxValueBytes = 1 << 20

// DefaultCallsPerSecond is the number of calls per second that the platform's service
// supports for all readers together ("about two thousand").
const DefaultCallsPerSecond = 2000

// Config holds the settings of the simulated service.
type Config struct {
	// CallsPerSecond is the rate limit for all readers together; 0 means no limit.
	CallsPerSecond int
	// Now is the clock of the rate limit; nil means time.Now.
	Now func() time.Time
}

// Server is the simulated configuration service. Its methods and its handler
// are safe for concurrent use.
type Server struct {
	now          func() time.Time
	mu           sync.Mutex
	store        *store
	staleStore   *store
	mode         Mode
	delay        time.Duration
	limiter      limiter
	stateChanged chan struct{}
	closed       chan struct{}
	closeOnce    sync.Once
}

// NewServer returns a service without values, in ModeNormal.
func NewServer(cfg Config) *Server {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Server{
		now: cfg.Now, store: newStore(), mode: ModeNormal, limiter: limiter{perSecond: cfg.CallsPerSecond},
		stateChanged: make(chan struct{}), closed: make(chan struct{}),
	}
}

// Close ends all blocked watch calls.
func (s *Server) Close() { s.closeOnce.Do(func() { close(s.closed) }) }

// Handler serves the platform's published protocol and the admin interface.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {}).Methods(http.MethodGet)
	r.HandleFunc("/v1/values", s.handleValues).Methods(http.MethodGet)
	r.HandleFunc("/admin/values/{key:.+}", s.handlePut).Methods(http.MethodPut)
	r.HandleFunc("/admin/values/{key:.+}", s.handleDelete).Methods(http.MethodDelete)
	r.HandleFunc("/admin/mode", s.handleSetMode).Methods(http.MethodPost)
	r.HandleFunc("/admin/restore", s.handleRestore).Methods(http.MethodPost)
	r.HandleFunc("/admin/calls", s.handleCalls).Methods(http.MethodGet)
	return r
}

// Put writes a value, as an operator's edit does, and returns its revision.
func (s *Server) Put(key, value string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wakeWatches()
	return s.store.put(key, value)
}

// SetMode sets the simulated health; delay is the response delay of ModeSlow.
func (s *Server) SetMode(mode Mode, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mode == ModeStale && s.mode != ModeStale {
		s.staleStore = s.store.atRevision(s.store.revision())
	}
	s.mode, s.delay = mode, delay
	s.wakeWatches()
}

// wakeWatches makes every blocked watch check again; the caller holds the lock.
func (s *Server) wakeWatches() {
	close(s.stateChanged)
	s.stateChanged = make(chan struct{})
}

// visibleStore returns the store that readers currently see, the mode, the
// response delay, and a channel that is closed at the next change. The caller
// holds the lock.
func (s *Server) visibleStore() (*store, Mode, time.Duration, <-chan struct{}) {
	if s.mode == ModeStale {
		return s.staleStore, s.mode, 0, s.stateChanged
	}
	return s.store, s.mode, s.delay, s.stateChanged
}

type watchQuery struct {
	prefix string
	after  uint64
	wait   time.Duration
}

func parseQuery(r *http.Request) (watchQuery, error) {
	q := watchQuery{prefix: r.URL.Query().Get("prefix")}
	after, err := parseUintParam(r, "after")
	if err != nil {
		return q, err
	}
	wait, err := parseUintParam(r, "wait_ms")
	q.after, q.wait = after, time.Duration(wait)*time.Millisecond
	return q, err
}

func parseUintParam(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0, failure.New(failure.KindBadRequest, "%s: %q is not a number", name, text)
	}
	return n, nil
}

func (s *Server) handleValues(w http.ResponseWriter, r *http.Request) {
	q, err := parseQuery(r)
	if err != nil {
		failure.Write(w, err)
		return
	}
	if !s.admitCall(w, q.prefix) {
		return
	}
	web.WriteJSON(w, http.StatusOK, s.awaitChange(r, q))
}

// admitCall counts the call. It responds with status 429 if the rate limit is
// exceeded, and closes the connection while the service is down.
func (s *Server) admitCall(w http.ResponseWriter, prefix string) bool {
	s.mu.Lock()
	allowed := s.limiter.allow(s.now(), prefix)
	mode := s.mode
	s.mu.Unlock()
	if mode == ModeDown {
		web.AbortConnection()
	}
	if !allowed {
		failure.Write(w, failure.New(failure.KindAccountLimit, "call rate exceeded").WithRetryAfter(time.Second))
	}
	return allowed
}

// awaitChange returns as soon as a key under the prefix has changed after the
// given revision, or with the current state when the wait time is over. A reader
// whose revision is newer than that of a restored store also waits for the next
// change, so that it does not poll in a tight loop.
func (s *Server) awaitChange(r *http.Request, q watchQuery) ReadResult {
	timeout := time.NewTimer(q.wait)
	defer timeout.Stop()
	expired := q.wait == 0
	startRevision := uint64(0)
	for firstPass := true; ; firstPass = false {
		s.mu.Lock()
		st, mode, delay, changed := s.visibleStore()
		if firstPass {
			startRevision = min(q.after, st.revision())
		}
		ready := expired || st.changedAfter(q.prefix, startRevision) || st.revision() < startRevision
		result := ReadResult{}
		if ready {
			result = st.read(q.prefix, q.after)
		}
		s.mu.Unlock()
		if mode == ModeDown {
			web.AbortConnection()
		}
		if ready {
			s.delayResponse(r, delay)
			return result
		}
		select {
		case <-changed:
		case <-timeout.C:
			expired = true
		case <-r.Context().Done():
			expired = true
		case <-s.closed:
			expired = true
		}
	}
}

func (s *Server) delayResponse(r *http.Request, d time.Duration) {
	if d == 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	case <-s.closed:
	}
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		failure.Write(w, failure.Wrap(err, failure.KindBodyTooLarge, "a value is at most %d bytes", MaxValueBytes))
		return
	}
	web.WriteJSON(w, http.StatusOK, revisionBody{s.Put(mux.Vars(r)["key"], string(body))})
}

type revisionBody struct {
	Revision uint64 `json:"revision"`
}

func (s *Server) handleDelete(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	rev := s.store.delete(mux.Vars(r)["key"])
	s.wakeWatches()
	s.mu.Unlock()
	web.WriteJSON(w, http.StatusOK, revisionBody{rev})
}

func (s *Server) handleSetMode(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Mode    Mode  `json:"mode"`
		DelayMS int64 `json:"delay_ms"`
	}
	if !web.ReadJSON(w, r, &body) {
		return
	}
	switch body.Mode {
	case ModeNormal, ModeDown, ModeStale, ModeSlow:
		s.SetMode(body.Mode, time.Duration(body.DelayMS)*time.Millisecond)
		w.WriteHeader(http.StatusNoContent)
	default:
		failure.Write(w, failure.New(failure.KindBadRequest, "mode: %q is not one of normal, down, stale, slow", body.Mode))
	}
}

// Restore resets the store to an older revision, as a restore from backup does.
func (s *Server) Restore(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store = s.store.atRevision(revision)
	s.wakeWatches()
}

func (s *Server) handleRestore(w http.ResponseWriter, r *http.Request) {
	var body revisionBody
	if !web.ReadJSON(w, r, &body) {
		return
	}
	s.Restore(body.Revision)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleCalls(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	web.WriteJSON(w, http.StatusOK, s.limiter.stats)
}
