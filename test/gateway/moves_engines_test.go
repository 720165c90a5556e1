package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"filbertdeck/platform/standin"
)

// switchLimit is the gateway's limit for an engine to go on from a copy.
const switchLimit = 300 * time.Millisecond

const clockFormat = "05.000"

// Ends of a run, as its engine sees them.
const (
	runCompleted = "completed"
	runClosed    = "closed by the gateway"
	runExited    = "engine exited"
)

// movingRun is one run of a generation at an engine, from a copy unless from is "".
type movingRun struct {
	engine                            *movingEngine
	id, from, end                     string
	tokens, lastID, maxEvents, events int
	copying                           bool
	// backup is the engine that keeps the run's backup; nil without one.
	backup         *movingEngine
	started, ended time.Time
	firstEvent     time.Duration
}

func (r *movingRun) String() string {
	return fmt.Sprintf("%s at %s (stops %s) from %q after event %d, %d events, first after %s, ended %s: %s", r.started.Format(clockFormat), r.engine.id,
		r.engine.stops.Format(clockFormat), r.from, r.lastID, r.events, r.firstEvent, r.ended.Format(clockFormat), r.end)
}

// movingFleet holds what the engines know of each other and what they did. Its mutex guards
// the engines, too.
type movingFleet struct {
	seed    uint64
	mu      sync.Mutex
	engines map[string]*movingEngine
	runs    map[string][]*movingRun
	// offers holds the engines to which each copy was offered.
	offers         map[string]map[string]bool
	asked, working int
}

// movingEngine copies its generations to other engines when asked.
type movingEngine struct {
	*httptest.Server
	fleet       *movingFleet
	id, service string
	born        int64
	interval    time.Duration
	// apart is set if the header of an answer comes before its first event.
	apart bool
	exit  chan struct{}
	// stops is when the engine exits; zero while it stays.
	stops    time.Time
	linkFree time.Time
	running  map[string]*movingRun
	// copies holds when each copy and backup that is kept here was last written.
	copies map[string]time.Time
}

// draw returns random numbers that depend on the seed and on their purpose.
func (f *movingFleet) draw(purpose ...any) *rand.Rand {
	h := fnv.New64a()
	_, _ = fmt.Fprintln(h, purpose...)
	return rand.New(rand.NewPCG(f.seed, h.Sum64()))
}

func (f *movingFleet) start(id, service string) *movingEngine {
	rng := f.draw("engine", id)
	e := &movingEngine{
		fleet: f, id: id, service: service, born: time.Now().UnixMilli(), exit: make(chan struct{}), running: map[string]*movingRun{}, copies: map[string]time.Time{},
		interval: time.Duration(20+rng.IntN(25)) * time.Millisecond, apart: rng.IntN(4) == 0,
	}
	e.Server = httptest.NewServer(e)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[hostPort(e.Server)] = e
	return e
}

// isIdle reports whether no engine works.
func (f *movingFleet) isIdle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.working == 0
}

// announce sets when the engine stops.
func (e *movingEngine) announce(notice time.Duration) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.stops = time.Now().Add(notice)
}

// stop ends the engine's runs and closes its listener and connections.
func (e *movingEngine) stop() {
	e.fleet.mu.Lock()
	if !e.hasExited() {
		close(e.exit)
	}
	e.fleet.mu.Unlock()
	e.Close()
}

func (e *movingEngine) hasExited() bool {
	select {
	case <-e.exit:
		return true
	default:
		return false
	}
}

func (e *movingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	handle, drops := strings.CutPrefix(r.URL.Path, "/api/kv-handle/")
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	switch {
	case err != nil:
	case r.URL.Path == standin.PathReport:
		_ = json.NewEncoder(w).Encode(e.report())
	case r.URL.Path == "/health":
		w.Header().Set(standin.HeaderInstanceID, e.id)
		if !e.stops.IsZero() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	case r.URL.Path == standin.PathMove:
		e.move(w, body)
	case drops:
		for _, keeper := range e.fleet.engines {
			delete(keeper.copies, handle)
		}
	default:
		e.generate(w, r)
	}
}

func (e *movingEngine) report() map[string]any {
	used, runs := 0, [][]any{}
	for id, r := range e.running {
		used += r.tokens + r.events
		runs = append(runs, []any{id, r.tokens + r.events, r.events, 5})
	}
	report := map[string]any{"born": e.born, "state": "ready", "active": len(e.running), "kv_used": used, "kv_total": standin.EngineTokens, "runs": runs, "handles": len(e.copies)}
	if !e.stops.IsZero() {
		report["state"], report["leaves_ms"] = "draining", max(time.Until(e.stops).Milliseconds(), 1)
	}
	return report
}

// hasRoom reports whether a slot is free. Copies occupy one until they expire.
func (e *movingEngine) hasRoom() bool {
	for handle, at := range e.copies {
		if time.Since(at) > standin.EngineCopyTTL {
			delete(e.copies, handle)
		}
	}
	return !e.hasExited() && len(e.running)+len(e.copies) < standin.EngineSlots
}

// move copies a run's memory to another engine, behind the copies on both links. It is called
// with the fleet's mutex locked, as generate is.
func (e *movingEngine) move(w http.ResponseWriter, body []byte) {
	var request struct{ ID, Target string }
	_ = json.Unmarshal(body, &request)
	f := e.fleet
	f.asked++
	run, to := e.running[request.ID], f.engines[request.Target]
	switch {
	case run == nil || run.events == 0:
		w.WriteHeader(http.StatusNotFound)
		return
	case run.copying:
		w.WriteHeader(http.StatusConflict)
		return
	case to == nil || !to.hasRoom():
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	handle := fmt.Sprintf("h%d", f.asked)
	run.copying, to.copies[handle] = true, time.Now()
	wait := max(time.Until(e.linkFree), time.Until(to.linkFree), 0) + standin.EngineCopyTime(run.tokens+run.events)
	e.linkFree = time.Now().Add(wait)
	to.linkFree = e.linkFree
	f.mu.Unlock()
	select {
	case <-time.After(wait):
	case <-e.exit:
	case <-to.exit:
	}
	f.mu.Lock()
	run.copying, to.copies[handle] = false, time.Now()
	if e.hasExited() || to.hasExited() {
		delete(to.copies, handle)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write(standin.MoveResponse(handle, int64(run.events)))
}

// generate runs a generation, or goes on with one from a copy.
func (e *movingEngine) generate(w http.ResponseWriter, r *http.Request) {
	run, refusal := e.begin(r.Header)
	w.Header().Set(standin.HeaderRequestID, r.Header.Get(standin.HeaderRequestID))
	if run == nil {
		w.Header().Set(standin.HeaderNotExecuted, "1")
		w.WriteHeader(refusal)
		return
	}
	w.Header().Set(standin.HeaderSeal, "s-"+e.id)
	e.running[run.id] = run
	e.fleet.runs[run.id] = append(e.fleet.runs[run.id], run)
	e.fleet.working++
	e.fleet.mu.Unlock()
	end := e.play(r.Context(), w, run)
	e.fleet.mu.Lock()
	e.fleet.working--
	delete(e.running, run.id)
	run.end, run.ended = end, time.Now()
	if end != runCompleted {
		panic(http.ErrAbortHandler)
	}
	if run.backup != nil {
		delete(run.backup.copies, run.id)
	}
}

// begin admits a request, or returns the status that refuses it.
func (e *movingEngine) begin(h http.Header) (*movingRun, int) {
	f := e.fleet
	run := &movingRun{engine: e, id: h.Get(standin.HeaderRequestID), from: h.Get(standin.HeaderKVFrom), started: time.Now()}
	if h.Get(standin.HeaderExpectInstance) != e.id {
		return nil, http.StatusMisdirectedRequest
	}
	admitted := e.hasRoom()
	if run.from != "" {
		if f.offers[run.from] == nil {
			f.offers[run.from] = map[string]bool{}
		}
		f.offers[run.from][e.id] = true
		_, handle, _ := strings.Cut(run.from, "/")
		_, admitted = e.copies[handle]
		delete(e.copies, handle)
	}
	if !admitted || e.hasExited() || e.running[run.id] != nil {
		return nil, http.StatusServiceUnavailable
	}
	_, _ = fmt.Sscanf(h.Get(standin.HeaderTokenUsage), "%d,%d", &run.tokens, &run.maxEvents)
	run.lastID, _ = strconv.Atoi(h.Get(standin.HeaderLastEventID))
	if backup := f.engines[h.Get(standin.HeaderBackup)]; backup != nil && backup.hasRoom() {
		run.backup = backup
		backup.copies[run.id] = time.Now()
	}
	return run, 0
}

// play sends the events of a run and returns how it ended.
func (e *movingEngine) play(ctx context.Context, w http.ResponseWriter, run *movingRun) string {
	wait, flusher := e.delay(run), w.(http.Flusher)
	if e.apart {
		wait /= 2
		if end := e.wait(ctx, wait); end != "" {
			return end
		}
		w.WriteHeader(http.StatusOK)
		flusher.Flush()
	}
	for n := run.lastID + 1; n <= run.maxEvents; n++ {
		if end := e.wait(ctx, wait); end != "" {
			return end
		}
		wait = e.interval
		e.recordEvent(run)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: t\n\n", n)
		flusher.Flush()
	}
	return runCompleted
}

func (e *movingEngine) recordEvent(run *movingRun) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	if run.events++; run.events == 1 {
		run.firstEvent = time.Since(run.started)
	}
	if run.backup != nil {
		if _, kept := run.backup.copies[run.id]; kept {
			run.backup.copies[run.id] = time.Now()
		}
	}
}

// wait waits for d. It returns how the run ended meanwhile, "" if it did not.
func (e *movingEngine) wait(ctx context.Context, d time.Duration) string {
	select {
	case <-time.After(d):
		return ""
	case <-e.exit:
		return runExited
	case <-ctx.Done():
	}
	if e.hasExited() {
		return runExited
	}
	return runClosed
}

// delay draws the time to a run's first event. From copies, many come close to the
// gateway's limit.
func (e *movingEngine) delay(run *movingRun) time.Duration {
	rng := e.fleet.draw("delay", run.id, e.id, run.from != "")
	switch n := rng.IntN(20); {
	case run.from == "":
		return time.Duration(20+rng.IntN(150)) * time.Millisecond
	case n < 13:
		return time.Duration(5+rng.IntN(200)) * time.Millisecond
	case n < 19:
		return switchLimit + time.Duration(rng.IntN(6000)-4000)*time.Microsecond
	}
	return switchLimit + time.Duration(rng.IntN(600))*time.Millisecond
}
