package callerconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
)

const (
	shortTimeout = 100 * time.Millisecond
	// longTimeout is the timeout of the server itself.
	longTimeout = 10 * time.Second
	// closedWithin is far below the server's own timeouts.
	closedWithin = 3 * time.Second
)

// startLimitedServer runs a server of which the handler takes longer than the timeouts.
func startLimitedServer(t *testing.T, limits directory.Limits) (address string, setLimits func(directory.Limits)) {
	t.Helper()
	var current atomic.Pointer[directory.Limits]
	current.Store(&limits)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ReadHeaderTimeout: longTimeout, IdleTimeout: longTimeout, ConnState: TrackState, ConnContext: Context,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			conn := FromContext(r.Context())
			if conn == nil || conn.Begin(r) != nil {
				t.Error("the request has no connection with limits")
			}
			_, _ = io.Copy(io.Discard, r.Body)
			conn.Serve()
			time.Sleep(2 * shortTimeout)
			w.WriteHeader(http.StatusNoContent)
		})}
	limited := ListenHTTP(l, HTTPConfig{
		Budget: newTestBudget(1<<20, 100), Limits: func() directory.Limits { return *current.Load() }, StallTimeout: longTimeout, WriteError: failure.Write,
	})
	go func() { _ = server.Serve(limited) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String(), func(limits directory.Limits) { current.Store(&limits) }
}

func dialServer(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchangeRequest sends a request and expects its response.
func exchangeRequest(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\nab"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusNoContent {
		t.Errorf("got status %d, want 204", response.StatusCode)
	}
}

// closesWithin reports whether the server closes a connection within a time.
func closesWithin(conn net.Conn, d time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(d))
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	_, err := conn.Read(make([]byte, 1))
	return err == io.EOF
}

// Guards against connections that callers leave idle for longer than operators allow, and
// against requests that are cut since they take longer than that.
func TestIdleConnectionIsClosed(t *testing.T) {
	address, _ := startLimitedServer(t, directory.Limits{IdleTimeout: shortTimeout, HeaderTimeout: shortTimeout})
	conn := dialServer(t, address)
	exchangeRequest(t, conn)
	exchangeRequest(t, conn)
	if !closesWithin(conn, closedWithin) {
		t.Error("the idle connection stays open")
	}
}

// Guards against callers that hold connections with unfinished headers, on new connections
// and on those that served a request before.
func TestSlowHeaderClosesConnection(t *testing.T) {
	for _, requestsBefore := range []int{0, 1} {
		address, _ := startLimitedServer(t, directory.Limits{HeaderTimeout: shortTimeout})
		conn := dialServer(t, address)
		for range requestsBefore {
			exchangeRequest(t, conn)
		}
		if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost:"); err != nil {
			t.Fatal(err)
		}
		if !closesWithin(conn, closedWithin) {
			t.Errorf("after %d requests a connection with an unfinished header stays open", requestsBefore)
		}
	}
}

// Guards against limits that are read only when the process starts.
func TestNewLimitsApplyToOpenConnections(t *testing.T) {
	address, setLimits := startLimitedServer(t, directory.Limits{})
	conn := dialServer(t, address)
	exchangeRequest(t, conn)
	if closesWithin(conn, 2*shortTimeout) {
		t.Fatal("the connection is closed without a limit")
	}
	setLimits(directory.Limits{IdleTimeout: shortTimeout})
	exchangeRequest(t, conn)
	if !closesWithin(conn, closedWithin) {
		t.Error("the idle connection stays open")
	}
}
