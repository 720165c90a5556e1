// Package lifecycle follows an entry from its start to its stop: whether the
// balancer may send it callers, and which requests are still in progress.
//
// A planned stop has an order. The process first reports "not ready" and goes
// on serving, since the balancer notices late; a process that closed its
// listener at once would refuse callers who were sent to it meanwhile. Only
// then does it wait for the requests in progress, without cutting one.
package lifecycle

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"filbertdeck/internal/failure"
)

// Lifecycle is safe for concurrent use.
type Lifecycle struct {
	ready    func() error
	stopping atomic.Bool

	mu       sync.Mutex
	running  int
	finished chan struct{}
}

// New returns a lifecycle; ready tells what is missing until callers can be
// served.
func New(ready func() error) *Lifecycle { return &Lifecycle{ready: ready} }

// Begin counts a request in progress; the caller must call the returned
// function when it ends.
func (l *Lifecycle) Begin() (end func()) {
	l.mu.Lock()
	l.running++
	l.mu.Unlock()
	return l.end
}

func (l *Lifecycle) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	if l.running == 0 && l.finished != nil {
		close(l.finished)
		l.finished = nil
	}
}

// Running counts the requests in progress.
func (l *Lifecycle) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running
}

// Ready tells why the balancer should send no callers, nil when it may.
func (l *Lifecycle) Ready() error {
	if l.stopping.Load() {
		return failure.New(failure.KindStopping, "the process is stopping")
	}
	return l.ready()
}

// Stop reports not ready, stays open for notice, and waits until no request
// is in progress or ctx ends.
func (l *Lifecycle) Stop(ctx context.Context, notice time.Duration) error {
	l.stopping.Store(true)
	select {
	case <-time.After(notice):
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-l.idle():
		return nil
	case <-ctx.Done():
		return failure.Wrap(ctx.Err(), failure.KindStopping, "%d requests were in progress at the end of the stop", l.Running())
	}
}

func (l *Lifecycle) idle() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	done := make(chan struct{})
	if l.running == 0 {
		close(done)
		return done
	}
	l.finished = done
	return done
}

// Healthz answers that the process lives.
func (l *Lifecycle) Healthz(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}

// Readyz answers whether the balancer may send callers.
func (l *Lifecycle) Readyz(w http.ResponseWriter, _ *http.Request) {
	if err := l.Ready(); err != nil {
		failure.Write(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
