// Package platform is a small stand-in for the platform's configuration
// service: versioned values that clients read and watch under a call rate, and
// an administration interface by which tests play the operators and bring
// about faults.
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

// Mode is the state of the service's health.
type Mode string

// The modes of the service.
const (
	ModeNormal Mode = "normal"
	// ModeDown drops every call without an answer, as a dead server does.
	ModeDown Mode = "down"
	// ModeStale answers from the state at the time of the switch.
	ModeStale Mode = "stale"
	// ModeSlow answers late.
	ModeSlow Mode = "slow"
)

// MaxValue bounds a value in bytes, as the platform's service does.
const MaxValue = 1 << 20

// DefaultCallsPerSecond is the calls a second that the platform's service bears over
// all readers ("about two thousand").
const DefaultCallsPerSecond = 2000

// Config holds the stand-in's settings.
type Config struct {
	// CallsPerSecond is the rate over all readers; 0 means no limit.
	CallsPerSecond int
	// Now tells the time that the rate goes by; nil means the wall clock.
	Now func() time.Time
}

// Server is the configuration service. Handler and Close are safe for
// concurrent use.
type Server struct {
	now     func() time.Time
	mu      sync.Mutex
	store   *store
	stale   *store
	mode    Mode
	delay   time.Duration
	limiter limiter
	changed chan struct{}
	closed  chan struct{}
	once    sync.Once
}

// NewServer returns an empty service in normal mode.
func NewServer(cfg Config) *Server {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Server{
		now: cfg.Now, store: newStore(), mode: ModeNormal, limiter: limiter{perSecond: cfg.CallsPerSecond},
		changed: make(chan struct{}), closed: make(chan struct{}),
	}
}

// Close ends all waiting watches.
func (s *Server) Close() { s.once.Do(func() { close(s.closed) }) }

// Handler serves the published protocol and the administration interface.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {}).Methods(http.MethodGet)
	r.HandleFunc("/v1/values", s.values).Methods(http.MethodGet)
	r.HandleFunc("/admin/values/{key:.+}", s.put).Methods(http.MethodPut)
	r.HandleFunc("/admin/values/{key:.+}", s.remove).Methods(http.MethodDelete)
	r.HandleFunc("/admin/mode", s.setMode).Methods(http.MethodPost)
	r.HandleFunc("/admin/restore", s.restore).Methods(http.MethodPost)
	r.HandleFunc("/admin/calls", s.calls).Methods(http.MethodGet)
	return r
}

// Put writes a value, as an operator's edit does, and gives its revision.
func (s *Server) Put(key, value string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wake()
	return s.store.put(key, value)
}

// SetMode switches the service's health; delay is for ModeSlow.
func (s *Server) SetMode(mode Mode, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mode == ModeStale && s.mode != ModeStale {
		s.stale = s.store.restored(s.store.revision())
	}
	s.mode, s.delay = mode, delay
	s.wake()
}

// wake lets every waiting watch look again; the caller holds the lock.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// look gives what a reader sees now, and a channel closed at the next change.
func (s *Server) look() (*store, Mode, time.Duration, <-chan struct{}) {
	if s.mode == ModeStale {
		return s.stale, s.mode, 0, s.changed
	}
	return s.store, s.mode, s.delay, s.changed
}

type query struct {
	prefix string
	after  uint64
	wait   time.Duration
}

func parseQuery(r *http.Request) (query, error) {
	q := query{prefix: r.URL.Query().Get("prefix")}
	after, err := number(r, "after")
	if err != nil {
		return q, err
	}
	wait, err := number(r, "wait_ms")
	q.after, q.wait = after, time.Duration(wait)*time.Millisecond
	return q, err
}

func number(r *http.Request, name string) (uint64, error) {
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

func (s *Server) values(w http.ResponseWriter, r *http.Request) {
	q, err := parseQuery(r)
	if err != nil {
		failure.Write(w, err)
		return
	}
	if !s.admit(w, q.prefix) {
		return
	}
	web.WriteJSON(w, http.StatusOK, s.await(r, q))
}

// admit counts the call; past the rate it answers 429, and while the service
// is down it drops the connection.
func (s *Server) admit(w http.ResponseWriter, prefix string) bool {
	s.mu.Lock()
	allowed := s.limiter.take(s.now(), prefix)
	mode := s.mode
	s.mu.Unlock()
	if mode == ModeDown {
		web.Abort()
	}
	if !allowed {
		failure.Write(w, failure.New(failure.KindAccountLimit, "call rate exceeded").WithRetryAfter(time.Second))
	}
	return allowed
}

// await answers as soon as something under the prefix changed after the
// revision, or with what there is when the wait is over. A reader that is
// ahead of a restored store waits for the next change like any other, so that
// it does not ask in a tight loop.
func (s *Server) await(r *http.Request, q query) Answer {
	timeout := time.NewTimer(q.wait)
	defer timeout.Stop()
	over := q.wait == 0
	start := uint64(0)
	for first := true; ; first = false {
		s.mu.Lock()
		st, mode, delay, changed := s.look()
		if first {
			start = min(q.after, st.revision())
		}
		ready := over || st.changedAfter(q.prefix, start) || st.revision() < start
		answer := Answer{}
		if ready {
			answer = st.read(q.prefix, q.after)
		}
		s.mu.Unlock()
		if mode == ModeDown {
			web.Abort()
		}
		if ready {
			s.pause(r, delay)
			return answer
		}
		select {
		case <-changed:
		case <-timeout.C:
			over = true
		case <-r.Context().Done():
			over = true
		case <-s.closed:
			over = true
		}
	}
}

func (s *Server) pause(r *http.Request, d time.Duration) {
	if d == 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	case <-s.closed:
	}
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValue))
	if err != nil {
		failure.Write(w, failure.Wrap(err, failure.KindBodyTooLarge, "a value is at most %d bytes", MaxValue))
		return
	}
	web.WriteJSON(w, http.StatusOK, revisionBody{s.Put(mux.Vars(r)["key"], string(body))})
}

type revisionBody struct {
	Revision uint64 `json:"revision"`
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	rev := s.store.remove(mux.Vars(r)["key"])
	s.wake()
	s.mu.Unlock()
	web.WriteJSON(w, http.StatusOK, revisionBody{rev})
}

func (s *Server) setMode(w http.ResponseWriter, r *http.Request) {
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
		failure.Write(w, failure.New(failure.KindBadRequest, "mode: %q is none of normal, down, stale, slow", body.Mode))
	}
}

// Restore puts the store back to an older state, as a backup does.
func (s *Server) Restore(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store = s.store.restored(revision)
	s.wake()
}

func (s *Server) restore(w http.ResponseWriter, r *http.Request) {
	var body revisionBody
	if !web.ReadJSON(w, r, &body) {
		return
	}
	s.Restore(body.Revision)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) calls(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	web.WriteJSON(w, http.StatusOK, s.limiter.calls)
}
