package callerconn

import (
	"bufio"
	"fmt"
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
	// tinyTimeout is far below the time that a stream takes.
	tinyTimeout  = 50 * time.Millisecond
	streamEvents = 10
	streamPause  = 30 * time.Millisecond
)

// startStreamServer runs a server that answers each request with a stream, during which change
// is called with the number of the event.
func startStreamServer(t *testing.T, limits directory.Limits, change func(event int, set func(directory.Limits))) (address string) {
	t.Helper()
	var current atomic.Pointer[directory.Limits]
	current.Store(&limits)
	set := func(limits directory.Limits) { current.Store(&limits) }
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ReadHeaderTimeout: longTimeout, IdleTimeout: longTimeout, ConnState: TrackState, ConnContext: Context,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			conn := FromContext(r.Context())
			if err := conn.Begin(r); err != nil {
				t.Errorf("the request is refused: %v", err)
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				t.Errorf("reading the body: %v", err)
			}
			if !conn.Serve() {
				t.Error("the connection was evicted")
			}
			for i := range streamEvents {
				change(i, set)
				select {
				case <-r.Context().Done():
					t.Errorf("the request's context ended before event %d: %v", i, r.Context().Err())
					return
				case <-time.After(streamPause):
				}
				_, _ = fmt.Fprintf(w, "data: %d\n\n", i)
				w.(http.Flusher).Flush()
			}
		})}
	limited := ListenHTTP(l, HTTPConfig{
		Budget: newTestBudget(1<<20, 100), Limits: func() directory.Limits { return *current.Load() }, StallTimeout: longTimeout, WriteError: failure.Write,
	})
	go func() { _ = server.Serve(limited) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

const streamRequest = "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\nab"

// Guards against timeouts of idle connections and of request headers that end the stream of a
// first or a later request of a kept connection.
func TestCallerTimeoutsEndNoStream(t *testing.T) {
	tiny := directory.Limits{IdleTimeout: tinyTimeout, HeaderTimeout: tinyTimeout}
	unchanged := func(int, func(directory.Limits)) {}
	alternating := func(event int, set func(directory.Limits)) {
		if event%2 == 0 {
			set(tiny)
		} else {
			set(directory.Limits{})
		}
	}
	shortened := func(_ int, set func(directory.Limits)) { set(tiny) }
	const requests = 3
	for name, c := range map[string]struct {
		limits directory.Limits
		change func(int, func(directory.Limits))
		// ahead is the number of requests that are sent before the first answer.
		ahead int
		// slowly has the body sent after the header, later than the timeouts.
		slowly bool
	}{
		"constant limits":                        {tiny, unchanged, 1, false},
		"pipelined requests":                     {tiny, unchanged, requests, false},
		"limits that change in streams":          {directory.Limits{}, alternating, 1, false},
		"limits set in streams, pipelined":       {directory.Limits{}, shortened, requests, false},
		"a body that takes longer than a header": {tiny, unchanged, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := startStreamServer(t, c.limits, c.change)
			answered := 0
			for range maxConnections {
				answered += readStreams(t, dialServer(t, address), requests-answered, c.ahead, c.slowly)
				if answered == requests {
					return
				}
			}
			t.Errorf("%d of %d requests were answered on %d connections", answered, requests, maxConnections)
		})
	}
}

// maxConnections is the number of connections on which a caller tries to send its requests. One
// that does not come to send in time finds its idle connection closed.
const maxConnections = 50

// readStreams sends requests on a connection, some ahead of their answers, and reads the answers,
// which must be whole once they have begun. It returns how many there were until the connection
// was closed.
func readStreams(t *testing.T, conn net.Conn, requests, ahead int, slowly bool) (answered int) {
	t.Helper()
	reader := bufio.NewReader(conn)
	for sent := 0; answered < requests; answered++ {
		for ; sent < min(answered+ahead, requests); sent++ {
			if sendRequest(conn, slowly) != nil {
				return answered
			}
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return answered
		}
		body, err := io.ReadAll(response.Body)
		if err != nil || len(body) != streamEvents*len("data: 0\n\n") {
			t.Errorf("an answer ended after %d bytes: %v", len(body), err)
		}
	}
	return answered
}

// sendRequest sends a request, slowly with its body after a while.
func sendRequest(conn net.Conn, slowly bool) error {
	const bodyBytes = 2
	header, body := streamRequest[:len(streamRequest)-bodyBytes], streamRequest[len(streamRequest)-bodyBytes:]
	if _, err := io.WriteString(conn, header); err != nil {
		return err
	}
	if slowly {
		time.Sleep(2 * tinyTimeout)
	}
	_, err := io.WriteString(conn, body)
	return err
}
