package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/gomega"

	"filbertdeck/platform/standin"
)

// switchLimit is the gateway's limit for an engine to go on from a copy, around which the
// engines' answers crowd.
const switchLimit = 300 * time.Millisecond

// runEnd is how a run ended at its engine.
type runEnd string

const (
	runCompleted runEnd = "completed"
	// runClosed means that the gateway closed the connection.
	runClosed runEnd = "closed by the gateway"
	runExited runEnd = "engine exited"
)

// movingRun is one run of a generation at an engine, which the fleet's mutex guards.
type movingRun struct {
	engine   *movingEngine
	id, from string
	// backup is the engine that keeps the run's backup; nil without one.
	backup           *movingEngine
	tokens, events   int
	copying          bool
	started, ended   time.Time
	firstEvent       time.Duration
	end              runEnd
	lastID, maxEvent int
}

func (r *movingRun) String() string {
	return fmt.Sprintf("%s at %s (stops %s) from %q after event %d, %d events, first after %s, ended %s: %s",
		r.started.Format(clockFormat), r.engine.id, r.engine.stops.Format(clockFormat), r.from, r.lastID, r.events, r.firstEvent, r.ended.Format(clockFormat), r.end)
}

const clockFormat = "05.000"

// movingFleet holds what all engines know, and what they did.
type movingFleet struct {
	seed uint64

	mu      sync.Mutex
	engines map[string]*movingEngine
	runs    map[string][]*movingRun
	// offers holds the engines to which each copy was offered.
	offers         map[string]map[string]bool
	handles, asked int
}

// movingEngine copies its generations to other engines when asked.
type movingEngine struct {
	fleet       *movingFleet
	id, service string
	address     string
	born        int64
	interval    time.Duration
	// apart is set if the header of an answer comes before its first event.
	apart  bool
	server *http.Server
	exit   chan struct{}

	// The fields below are guarded by the fleet's mutex.

	// stops is when the engine exits; zero while it stays.
	stops    time.Time
	exited   bool
	linkFree time.Time
	running  map[string]*movingRun
	// copies holds the copies and backups by handle.
	copies map[string]time.Time
}

// draw returns random numbers that depend on the seed and on what they are for.
func (f *movingFleet) draw(purpose ...any) *rand.Rand {
	h := fnv.New64a()
	_, _ = fmt.Fprintln(h, purpose...)
	return rand.New(rand.NewPCG(f.seed, h.Sum64()))
}

func (f *movingFleet) start(id, service string) *movingEngine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	rng := f.draw("engine", id)
	e := &movingEngine{
		fleet: f, id: id, service: service, address: listener.Addr().String(), born: time.Now().UnixMilli(), exit: make(chan struct{}),
		interval: time.Duration(20+rng.IntN(25)) * time.Millisecond, apart: rng.IntN(4) == 0,
		running: map[string]*movingRun{}, copies: map[string]time.Time{},
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(listener) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[e.address] = e
	return e
}

// announce has the engine stop after a notice.
func (e *movingEngine) announce(notice time.Duration) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.stops = time.Now().Add(notice)
}

// stop ends the engine, its runs and its connections.
func (e *movingEngine) stop() {
	e.fleet.mu.Lock()
	if !e.exited {
		e.exited = true
		close(e.exit)
	}
	e.fleet.mu.Unlock()
	_ = e.server.Close()
}

func (e *movingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	handle, isHandle := strings.CutPrefix(r.URL.Path, "/api/kv-handle/")
	switch {
	case isHandle:
		e.drop(handle)
	case r.URL.Path == standin.PathReport:
		e.report(w)
	case r.URL.Path == "/health":
		e.health(w)
	case r.URL.Path == standin.PathMove:
		e.move(w, body)
	case strings.HasPrefix(r.URL.Path, "/api/"):
		w.WriteHeader(http.StatusNotFound)
	default:
		e.generate(w, r)
	}
}

func (e *movingEngine) leaves() bool { return !e.stops.IsZero() }

func (e *movingEngine) report(w http.ResponseWriter) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	report := map[string]any{"born": e.born, "state": "ready", "queued": 0, "active": len(e.running), "handles": len(e.copies), "kv_total": standin.EngineTokens}
	if e.leaves() {
		report["state"], report["leaves_ms"] = "draining", max(time.Until(e.stops).Milliseconds(), 1)
	}
	used, runs := 0, [][]any{}
	for id, r := range e.running {
		used += r.tokens + r.events
		runs = append(runs, []any{id, r.tokens + r.events, r.events, 5})
	}
	report["kv_used"], report["runs"] = used, runs
	_ = json.NewEncoder(w).Encode(report)
}

func (e *movingEngine) health(w http.ResponseWriter) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	w.Header().Set("X-Filbertdeck-Instance-Id", e.id)
	if e.leaves() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// hasRoom reports whether a slot is free. Copies occupy one until they expire.
func (e *movingEngine) hasRoom() bool {
	for handle, at := range e.copies {
		if time.Since(at) > standin.EngineCopySeconds*time.Second {
			delete(e.copies, handle)
		}
	}
	return !e.exited && len(e.running)+len(e.copies) < standin.EngineSlots
}

func (e *movingEngine) drop(handle string) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	for _, other := range e.fleet.engines {
		delete(other.copies, handle)
	}
}

// move copies a run's memory to another engine, behind the copies on both links.
func (e *movingEngine) move(w http.ResponseWriter, body []byte) {
	var request struct{ ID, Target string }
	if err := json.Unmarshal(body, &request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f := e.fleet
	f.mu.Lock()
	f.asked++
	run, to := e.running[request.ID], f.engines[request.Target]
	switch {
	case run == nil || run.events == 0:
		f.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	case run.copying:
		f.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	case to == nil || !to.hasRoom():
		f.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	f.handles++
	handle := fmt.Sprintf("h%d", f.handles)
	run.copying = true
	to.copies[handle] = time.Now()
	complete := max(time.Until(e.linkFree), time.Until(to.linkFree), 0) + copyTime(run.tokens+run.events)
	e.linkFree = time.Now().Add(complete)
	to.linkFree = e.linkFree
	f.mu.Unlock()

	select {
	case <-time.After(complete):
	case <-e.exit:
	case <-to.exit:
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	run.copying = false
	if to.exited || e.exited {
		delete(to.copies, handle)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	to.copies[handle] = time.Now()
	_, _ = w.Write(standin.MoveResponse(handle, int64(run.events)))
}

func copyTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) * standin.EngineTokenBytes * 8 / standin.EngineLinkMbps * float64(time.Microsecond))
}

// generate runs a generation, or goes on with one from a copy.
func (e *movingEngine) generate(w http.ResponseWriter, r *http.Request) {
	run, status := e.begin(r)
	w.Header().Set(standin.HeaderRequestID, r.Header.Get(standin.HeaderRequestID))
	if run == nil {
		w.Header().Set(standin.HeaderNotExecuted, "1")
		w.WriteHeader(status)
		return
	}
	w.Header().Set(standin.HeaderSeal, "s-"+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	end := e.play(r.Context(), w, run)
	e.fleet.mu.Lock()
	run.end, run.ended = end, time.Now()
	delete(e.running, run.id)
	if run.backup != nil && end == runCompleted {
		delete(run.backup.copies, run.id)
	}
	e.fleet.mu.Unlock()
	if end != runCompleted {
		panic(http.ErrAbortHandler)
	}
}

// begin admits a request, or returns the status that refuses it.
func (e *movingEngine) begin(r *http.Request) (*movingRun, int) {
	f, h := e.fleet, r.Header
	f.mu.Lock()
	defer f.mu.Unlock()
	id, from := h.Get(standin.HeaderRequestID), h.Get(standin.HeaderKVFrom)
	if expected := h.Get(standin.HeaderExpectInstance); expected != "" && expected != e.id {
		return nil, http.StatusMisdirectedRequest
	}
	if from != "" {
		if f.offers[from] == nil {
			f.offers[from] = map[string]bool{}
		}
		f.offers[from][e.id] = true
		_, handle, _ := strings.Cut(from, "/")
		if _, held := e.copies[handle]; !held {
			return nil, http.StatusServiceUnavailable
		}
		delete(e.copies, handle)
	}
	if e.exited || e.running[id] != nil || from == "" && !e.hasRoom() {
		return nil, http.StatusServiceUnavailable
	}
	prompt, events, _ := strings.Cut(h.Get(standin.HeaderTokenUsage), ",")
	run := &movingRun{engine: e, id: id, from: from, started: time.Now()}
	run.tokens, _ = strconv.Atoi(prompt)
	run.maxEvent, _ = strconv.Atoi(events)
	run.lastID, _ = strconv.Atoi(h.Get(standin.HeaderLastEventID))
	if backup := f.engines[h.Get(standin.HeaderBackup)]; backup != nil && backup.hasRoom() {
		run.backup = backup
		backup.copies[id] = time.Now()
	}
	e.running[id] = run
	f.runs[id] = append(f.runs[id], run)
	return run, 0
}

// play sends the events of a run and returns how it ended.
func (e *movingEngine) play(ctx context.Context, w http.ResponseWriter, run *movingRun) runEnd {
	delay := e.delay(run)
	flusher := w.(http.Flusher)
	if e.apart {
		if end := e.wait(ctx, delay/2); end != "" {
			return end
		}
		w.WriteHeader(http.StatusOK)
		flusher.Flush()
		delay -= delay / 2
	}
	for n := run.lastID + 1; n <= run.maxEvent; n++ {
		if end := e.wait(ctx, delay); end != "" {
			return end
		}
		delay = e.interval
		if _, err := fmt.Fprintf(w, "id: %d\ndata: t\n\n", n); err != nil {
			return e.closedEnd()
		}
		flusher.Flush()
		e.fleet.mu.Lock()
		if run.events++; run.events == 1 {
			run.firstEvent = time.Since(run.started)
		}
		if run.backup != nil {
			if _, held := run.backup.copies[run.id]; held {
				run.backup.copies[run.id] = time.Now()
			}
		}
		e.fleet.mu.Unlock()
	}
	return runCompleted
}

// wait waits for d. It returns how the run ended meanwhile, "" if it did not.
func (e *movingEngine) wait(ctx context.Context, d time.Duration) runEnd {
	select {
	case <-time.After(d):
		return ""
	case <-e.exit:
		return runExited
	case <-ctx.Done():
		return e.closedEnd()
	}
}

// closedEnd returns how a run ended whose connection is closed.
func (e *movingEngine) closedEnd() runEnd {
	select {
	case <-e.exit:
		return runExited
	default:
		return runClosed
	}
}

// delay draws the time to a run's first event.
func (e *movingEngine) delay(run *movingRun) time.Duration {
	rng := e.fleet.draw("delay", run.id, e.id, run.from != "")
	switch n := rng.IntN(20); {
	case run.from == "":
		return time.Duration(20+rng.IntN(150)) * time.Millisecond
	case n < 11:
		return time.Duration(5+rng.IntN(60)) * time.Millisecond
	case n < 14:
		return time.Duration(60+rng.IntN(200)) * time.Millisecond
	case n < 19:
		return switchLimit + time.Duration(rng.IntN(12000)-6000)*time.Microsecond
	}
	return switchLimit + time.Duration(rng.IntN(600))*time.Millisecond
}
