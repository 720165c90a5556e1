package targetclient

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"filbertdeck/internal/failure"
)

// ExecutedHeader is how a target says that it did not run a call.
const ExecutedHeader = "Filbert-Executed"

// AtMostOnceClient calls targets whose calls may run at most once. It is safe for
// concurrent use.
type AtMostOnceClient struct {
	settings Settings
}

// NewAtMostOnceClient returns a client that sends each request at most once: a connection
// of its own for each call, which nothing can be re-sent on.
func NewAtMostOnceClient(s Settings) *AtMostOnceClient {
	return &AtMostOnceClient{settings: s.withDefaults()}
}

// Do sends the request. before, if given, runs after the connection stands and
// right before the first byte is written; when it returns an error nothing is
// written and Do returns that error. It is the place for the last check of the
// right to run the call: between it and the write there is one function call.
//
// The failure says whether the call ran: no before the first byte and when the
// target itself says so, unknown afterwards.
func (o *AtMostOnceClient) Do(req *http.Request, before func() error) (*http.Response, error) {
	gate := &gate{before: before}
	t := o.settings.transport()
	// The connection is closed after the answer, but the target is not asked to
	// close it: then its own wish to do so, a sign that it stops, would not show.
	t.MaxIdleConnsPerHost = -1
	connect := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := o.settings.dialWatched(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: conn, gate: gate}, nil
	}
	t.DialContext, t.DialTLSContext = connect, connect
	resp, err := t.RoundTrip(quiet(req))
	if err != nil {
		sent, refused := gate.close()
		if refused != nil {
			return nil, refused
		}
		return nil, classify(err, sent)
	}
	return resp, nil
}

// DidNotRun tells whether the target itself said that it did not run the call.
// Only a refusal can say so: a success with that header contradicts itself.
func DidNotRun(resp *http.Response) bool {
	return resp.StatusCode >= http.StatusBadRequest &&
		resp.Header.Get(ExecutedHeader) == string(failure.ExecutedNo)
}

// gate lets a call's first byte through at most once. All connections of one
// call share it, so that even a second connection could not send it again.
type gate struct {
	mu      sync.Mutex
	before  func() error
	owner   *gatedConn
	refused error
	closed  bool
}

// pass is asked before each write.
func (g *gate) pass(conn *gatedConn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.owner == conn:
		return nil
	case g.owner != nil:
		return failure.New(failure.KindInternal, "a call must not be sent on a second connection").WithExecutionUnknown()
	case g.closed:
		return failure.New(failure.KindInternal, "the call was given up before it was sent")
	case g.refused != nil:
		return g.refused
	}
	if g.before != nil {
		if g.refused = g.before(); g.refused != nil {
			return g.refused
		}
	}
	g.owner = conn
	return nil
}

// close ends the call after a failure and tells whether its first byte may
// have left. A write that has not begun by now never begins: the caller is
// about to hear that nothing ran.
func (g *gate) close() (sent bool, refused error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	return g.owner != nil, g.refused
}

type gatedConn struct {
	net.Conn
	gate *gate
}

func (c *gatedConn) Write(p []byte) (int, error) {
	if err := c.gate.pass(c); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// watchedConn ends a connection that brings no byte for too long.
type watchedConn struct {
	net.Conn
	silence time.Duration
}

func (c *watchedConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.silence)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// sentFlag notes that a request had a connection and may have been written.
type sentFlag struct{ started atomic.Bool }

func (f *sentFlag) trace(req *http.Request) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { f.started.Store(true) }}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
}

// classify types an error of the transport. sent tells that the first byte may
// have left; without it the call certainly did not run.
func classify(err error, sent bool) *failure.Error {
	kind, text := failure.KindTargetLost, "the target broke the connection"
	switch {
	case isTimeout(err):
		kind, text = failure.KindTargetTimeout, "the target did not answer in time"
	case !sent:
		kind, text = failure.KindTargetFailed, "the target can't be reached"
	}
	e := failure.Wrap(err, kind, "%s", text)
	if sent {
		return e.WithExecutionUnknown()
	}
	return e
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) ||
		(errors.As(err, &netErr) && netErr.Timeout())
}
