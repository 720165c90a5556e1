package callerconn

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/decide/connbudget"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
)

const testGrace = 50 * time.Millisecond

func newTestBudget(maxBytes int64, maxConns int) *Budget {
	return NewBudget("test", connbudget.Config{MaxBytes: maxBytes, MaxConns: maxConns, ConnBytes: ConnBytes, Grace: testGrace, MinRate: 1 << 20},
		slog.New(slog.DiscardHandler), gometrics.NewRegistry())
}

// serveLimited runs a server whose handler reserves the announced length of bodies.
func serveLimited(t *testing.T, budget *Budget, stall time.Duration, limits directory.Limits, handler http.HandlerFunc) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ReadHeaderTimeout: longTimeout, MaxHeaderBytes: 64 << 10, ConnState: TrackState, ConnContext: Context, Handler: handler}
	limited := ListenHTTP(l, HTTPConfig{Budget: budget, Limits: func() directory.Limits { return limits }, StallTimeout: stall, WriteError: failure.Write})
	go func() { _ = server.Serve(limited) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// handleWhole reads whole bodies and answers with 204.
func handleWhole(w http.ResponseWriter, r *http.Request) {
	conn := FromContext(r.Context())
	if err := conn.Begin(r); err != nil {
		failure.Write(w, err)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil || !conn.Serve() {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusNoContent)
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// status returns the status of the next answer, 0 if the connection ends.
func status(conn net.Conn) int {
	_ = conn.SetReadDeadline(time.Now().Add(longTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(longTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(what)
		}
	}
}

func held(b *Budget) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.decide.Held()
}

// Guards against memory that stays reserved after the request or the connection that needed it.
func TestRequestsGiveTheirMemoryBack(t *testing.T) {
	b := newTestBudget(8<<20, 10)
	address := serveLimited(t, b, longTimeout, directory.Limits{}, handleWhole)
	conn := dialServer(t, address)
	head := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n" + strings.Repeat("a:\r\n", 1000) + "\r\n"
	for range 3 {
		send(t, conn, head)
		eventually(t, "the head reserves nothing", func() bool { return held(b) > ConnBytes })
		send(t, conn, "ab")
		if got := status(conn); got != http.StatusNoContent {
			t.Fatalf("got status %d", got)
		}
		eventually(t, "the memory of the request stays reserved", func() bool { return held(b) == ConnBytes })
	}
	_ = conn.Close()
	eventually(t, "the memory of the connection stays reserved", func() bool { return held(b) == 0 })
}

// Guards against heads beyond the limit that are held until they time out.
func TestHeadBeyondLimitIsRefusedUnfinished(t *testing.T) {
	address := serveLimited(t, newTestBudget(8<<20, 10), longTimeout, directory.Limits{HeaderBytes: 1000}, handleWhole)
	conn := dialServer(t, address)
	send(t, conn, "POST / HTTP/1.1\r\nHost: a\r\nLong: "+strings.Repeat("x", 20000))
	if got := status(conn); got != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("got status %d, want 431", got)
	}
}

// Guards against heads that take more memory than there is, and against callers that are not
// told that their request has not run.
func TestHeadWithoutMemoryIsRefused(t *testing.T) {
	address := serveLimited(t, newTestBudget(ConnBytes+64<<10, 10), longTimeout, directory.Limits{}, handleWhole)
	conn := dialServer(t, address)
	send(t, conn, "POST / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", 1000)+"\r\n")
	if got := status(conn); got != http.StatusServiceUnavailable {
		t.Errorf("got status %d, want 503", got)
	}
}

// Guards against heads that are sent ahead, which arrive with the body before them.
func TestHeadSentAheadIsCounted(t *testing.T) {
	b := newTestBudget(8<<20, 10)
	release := make(chan struct{})
	address := serveLimited(t, b, longTimeout, directory.Limits{}, func(w http.ResponseWriter, r *http.Request) {
		if err := FromContext(r.Context()).Begin(r); err != nil {
			t.Error(err)
		}
		if r.URL.Path == "/second" {
			<-release
		}
		_, _ = io.Copy(io.Discard, r.Body)
		FromContext(r.Context()).Serve()
	})
	conn := dialServer(t, address)
	send(t, conn, "POST /first HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nxGET /second HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", 500)+"\r\n")
	eventually(t, "the second head reserves nothing", func() bool { return held(b) > ConnBytes })
	close(release)
}

// Guards against a body that never ends and keeps its connection for ever.
func TestStalledBodyEnds(t *testing.T) {
	address := serveLimited(t, newTestBudget(8<<20, 10), shortTimeout, directory.Limits{}, handleWhole)
	conn := dialServer(t, address)
	send(t, conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\na")
	if !closesWithin(conn, closedWithin) {
		t.Error("the connection stays open")
	}
}

// Guards against the time limit of a body that ends the request which is served afterwards.
func TestServedRequestOutlastsStallTimeout(t *testing.T) {
	address := serveLimited(t, newTestBudget(8<<20, 10), shortTimeout, directory.Limits{}, func(w http.ResponseWriter, r *http.Request) {
		conn := FromContext(r.Context())
		_ = conn.Begin(r)
		_, _ = io.Copy(io.Discard, r.Body)
		conn.Serve()
		select {
		case <-r.Context().Done():
		case <-time.After(4 * shortTimeout):
			w.WriteHeader(http.StatusNoContent)
		}
	})
	conn := dialServer(t, address)
	send(t, conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab")
	if got := status(conn); got != http.StatusNoContent {
		t.Errorf("got status %d, want 204", got)
	}
}

// Guards against an answer that nobody reads and that keeps its connection for ever.
func TestUnreadAnswerEnds(t *testing.T) {
	ended := make(chan struct{}, 1)
	b := newTestBudget(8<<20, 10)
	address := serveLimited(t, b, shortTimeout, directory.Limits{}, func(w http.ResponseWriter, r *http.Request) {
		_ = FromContext(r.Context()).Begin(r)
		FromContext(r.Context()).Serve()
		for {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				ended <- struct{}{}
				return
			}
		}
	})
	conn := dialServer(t, address)
	send(t, conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	select {
	case <-ended:
	case <-time.After(longTimeout):
		t.Error("the answer is written for ever")
	}
	eventually(t, "the connection stays", func() bool { return held(b) == 0 })
}

// Guards against connections beyond the limit, and against silent ones that keep out others.
func TestConnectionsStayWithinLimit(t *testing.T) {
	const most = 5
	b := newTestBudget(8<<20, most)
	address := serveLimited(t, b, longTimeout, directory.Limits{}, handleWhole)
	for range 4 * most {
		dialServer(t, address)
	}
	conn := dialServer(t, address)
	exchangeRequest(t, conn)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.decide.Conns() > most {
		t.Errorf("%d connections are open, %d allowed", b.decide.Conns(), most)
	}
}

// Guards against a slow sender that keeps memory from others.
func TestSlowSenderIsEvicted(t *testing.T) {
	b := newTestBudget(ConnBytes*2+64<<10, 10)
	address := serveLimited(t, b, longTimeout, directory.Limits{}, func(w http.ResponseWriter, r *http.Request) {
		conn := FromContext(r.Context())
		if err := conn.Begin(r); err != nil || !conn.Reserve(r.ContentLength) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handleWhole(w, r)
	})
	slow := dialServer(t, address)
	send(t, slow, fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\nx", 60<<10))
	eventually(t, "the body reserves nothing", func() bool { return held(b) > 60<<10 })
	eventually(t, "no other caller is served", func() bool {
		conn := dialServer(t, address)
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", 60<<10, strings.Repeat("x", 60<<10))
		return status(conn) == http.StatusNoContent
	})
}
