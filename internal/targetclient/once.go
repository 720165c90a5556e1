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
	"filbertdeck/internal/httpcheck"
)

// ExecutedHeader is the response header in which a target states that it did
// not run a call.
const ExecutedHeader = "Filbert-Executed"

// AtMostOnceClient is a client for calls that may run at most once. It is safe for
// concurrent use.
type AtMostOnceClient struct {
	settings Settings
}

// NewAtMostOnceClient returns a client that sends each request at most once, on a new
// connection per call, so that no retry on a reused connection can happen.
func NewAtMostOnceClient(s Settings) *AtMostOnceClient {
	return &AtMostOnceClient{settings: s.withDefaults()}
}

// Do sends the request. beforeWrite, if given, runs once the connection is
// established, right before the first byte is written. When it returns an
// error, nothing is written and Do returns that error. It is meant for the last
// check that the call may still run: only one function call separates it from
// the write.
//
// Errors state whether the call ran: ExecutedNo before the first byte was
// written, ExecutedUnknown afterwards. One after an invalid response wraps an
// *httpcheck.Error. A target can state in its response that it did not run the
// call, see ReportsNotExecuted.
func (o *AtMostOnceClient) Do(req *http.Request, beforeWrite func() error) (*http.Response, error) {
	return o.DoConfirmed(req, nil, beforeWrite)
}

// Confirm checks the peer of a new connection before a request is written to it, and may
// exchange messages with it. A typed error ends the call; with retry, another connection
// is tried first.
type Confirm func(conn net.Conn) (retry bool, err error)

const (
	// confirmTimeout bounds one Confirm.
	confirmTimeout = 300 * time.Millisecond
	// confirmTries is the number of connections that are tried.
	confirmTries = 2
)

// DoConfirmed is Do with a check of the peer; nil for none.
func (o *AtMostOnceClient) DoConfirmed(req *http.Request, confirm Confirm, beforeWrite func() error) (*http.Response, error) {
	gate := &writeGate{beforeWrite: beforeWrite}
	t := o.settings.transport()
	// The connection is closed after the response, but without a "Connection:
	// close" request header. With that header, a "Connection: close" from the
	// target would no longer show that the target is shutting down.
	t.MaxIdleConnsPerHost = -1
	connect := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := o.dialConfirmed(ctx, network, address, confirm, gate)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: conn, gate: gate}, nil
	}
	t.DialContext, t.DialTLSContext = connect, connect
	resp, err := httpcheck.NewTransport(t).RoundTrip(withoutAutoRetry(req))
	if err != nil {
		sent, checkErr := gate.close()
		if checkErr != nil {
			return nil, checkErr
		}
		return nil, classifyError(err, sent)
	}
	return resp, nil
}

// dialConfirmed connects to a target and has the connection confirmed.
func (o *AtMostOnceClient) dialConfirmed(ctx context.Context, network, address string, confirm Confirm, gate *writeGate) (net.Conn, error) {
	var lastErr error
	for range confirmTries {
		conn, err := o.settings.dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if confirm == nil {
			return o.settings.withReadTimeout(conn), nil
		}
		retry, err := confirmWithin(ctx, conn, confirm)
		if err == nil {
			return o.settings.withReadTimeout(conn), nil
		}
		lastErr = err
		_ = conn.Close()
		if !retry {
			break
		}
	}
	var typed *failure.Error
	if errors.As(lastErr, &typed) {
		gate.refuse(typed)
	}
	return nil, lastErr
}

// confirmWithin runs a Confirm until it has ended, or its time or the request's is over.
func confirmWithin(ctx context.Context, conn net.Conn, confirm Confirm) (retry bool, err error) {
	if err := conn.SetDeadline(time.Now().Add(confirmTimeout)); err != nil {
		return false, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	retry, err = confirm(conn)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return retry, err
	}
	return false, conn.SetDeadline(time.Time{})
}

// Probe checks whether an address accepts connections. Errors are like those of Do.
func (o *AtMostOnceClient) Probe(ctx context.Context, address string, timeout time.Duration) error {
	conn, err := o.settings.Connect(ctx, "tcp", address, timeout)
	if err != nil {
		return classifyError(err, false)
	}
	if err := conn.Close(); err != nil {
		return classifyError(err, false)
	}
	return nil
}

// ReportsNotExecuted reports whether the target stated that it did not run the
// call. Only an error status counts, since a success status contradicts the
// header.
func ReportsNotExecuted(resp *http.Response) bool {
	return resp.StatusCode >= http.StatusBadRequest &&
		resp.Header.Get(ExecutedHeader) == string(failure.ExecutedNo)
}

// writeGate allows only one connection to write a call. All connections of the
// call share it, so that a second connection can't send the call again.
type writeGate struct {
	mu          sync.Mutex
	beforeWrite func() error
	conn        *gatedConn
	checkErr    error
	closed      bool
}

// admit returns nil if conn may write. It is called before each write.
func (g *writeGate) admit(conn *gatedConn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.conn == conn:
		return nil
	case g.conn != nil:
		return failure.New(failure.KindInternal, "the call was already sent on another connection").WithExecutionUnknown()
	case g.closed:
		return failure.New(failure.KindInternal, "the call was cancelled before it was sent")
	case g.checkErr != nil:
		return g.checkErr
	}
	if g.beforeWrite != nil {
		if g.checkErr = g.beforeWrite(); g.checkErr != nil {
			return g.checkErr
		}
	}
	g.conn = conn
	return nil
}

// refuse ends the call before anything is written; Do returns the error.
func (g *writeGate) refuse(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conn == nil && g.checkErr == nil {
		g.checkErr = err
	}
}

// close ends the call after an error and reports whether its first byte may
// have been sent. It blocks any later first write, since the caller is about to
// receive ExecutedNo.
func (g *writeGate) close() (sent bool, checkErr error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	return g.conn != nil, g.checkErr
}

type gatedConn struct {
	net.Conn
	gate *writeGate
}

func (c *gatedConn) Write(p []byte) (int, error) {
	if err := c.gate.admit(c); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// readTimeoutConn fails a read that receives no data within the timeout. The time starts
// again when something is written: http.Transport reads from idle connections as well, and a
// request may follow just before that read has timed out.
type readTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

func (c *readTimeoutConn) Write(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *readTimeoutConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// writeTracker records that a request got a connection and may have been written.
type writeTracker struct{ gotConn atomic.Bool }

func (t *writeTracker) trace(req *http.Request) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { t.gotConn.Store(true) }}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
}

// classifyError converts an error of the transport. sent is set when the first
// byte may have been sent; otherwise the call certainly did not run.
func classifyError(err error, sent bool) *failure.Error {
	var invalid *httpcheck.Error
	if sent && errors.As(err, &invalid) {
		return invalid.Failure()
	}
	kind, text := failure.KindTargetLost, "the connection to the target broke"
	switch {
	case isTimeout(err):
		kind, text = failure.KindTargetTimeout, "the target did not respond in time"
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
