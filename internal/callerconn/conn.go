package callerconn

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"filbertdeck/internal/decide/connbudget"
	"filbertdeck/internal/failure"
)

const (
	// ConnBytes is what an open connection with an ordinary request holds, in bytes: buffers,
	// the stacks of its goroutines, and a head within freeHeadBytes.
	ConnBytes = 32 << 10
	// bytesPerHeadByte and bytesPerHeadLine are the memory that a request head takes for each
	// of its bytes and lines, until the request ends: its names, values and maps, those of the
	// requests to targets, and the lists that are parsed from values.
	bytesPerHeadByte = 16
	bytesPerHeadLine = 512
	// freeHeadBytes is the memory of a head that is part of ConnBytes.
	freeHeadBytes = 16 << 10
	// uncountedHeadBytes are the bytes of a head that its limit does not cover: the spaces and the
	// version of the request line, and the empty line.
	uncountedHeadBytes = len("  HTTP/1.1\r\n\r\n")
	// noMemoryRetryAfter is returned when there is no memory for a request. The caller's next
	// try reaches another host.
	noMemoryRetryAfter = 300 * time.Millisecond
	// lingerTimeout and lingerBytes bound what is read from a peer that has been refused, so
	// that it reads the answer before its connection is reset.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
)

// stage is what a Conn reads.
type stage int

const (
	readingHead stage = iota
	readingBody
	// awaitingEnd is the time while a request is served, in which net/http waits for the end of
	// the connection.
	awaitingEnd
)

// Conn is a connection of an HTTP server. Its methods accept a nil Conn, which has no limits.
type Conn struct {
	net.Conn
	cfg  *HTTPConfig
	hold *connbudget.Conn

	// mu guards what follows, and orders changes of the stage and the read deadlines set for it.
	mu    sync.Mutex
	stage stage
	// becameIdle is set from the end of a request until the next deadline is set.
	becameIdle bool
	// head is what was read of the present head, headMemory is what it has reserved.
	head       headCounter
	headMemory int64
}

// headMemory returns what a head reserves.
func headMemory(bytes, lines int) int64 {
	return max(int64(bytes)*bytesPerHeadByte+int64(lines)*bytesPerHeadLine-freeHeadBytes, 0)
}

// Read implements net.Conn. It fails when the head of a request exceeds the limit or the memory
// that is free, after the peer has been told so.
func (c *Conn) Read(p []byte) (int, error) {
	c.limitStall()
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if refusal := c.countRead(p[:n]); refusal != nil {
		c.refuseHead(refusal)
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: refusal}
	}
	return n, err
}

// limitStall limits the time in which more of a body must arrive.
func (c *Conn) limitStall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stage == readingBody {
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.cfg.StallTimeout))
	}
}

// countRead counts what was read, and returns why the head it belongs to is refused.
func (c *Conn) countRead(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stage == readingHead && c.head.bytes == 0 {
		c.cfg.Budget.enter(c.hold, connbudget.Receiving)
	}
	c.cfg.Budget.move(c.hold, len(p))
	if c.stage != readingHead {
		return nil
	}
	c.head.count(p)
	if limit := c.cfg.Limits().HeaderBytes; limit > 0 && c.head.bytes > limit+uncountedHeadBytes {
		c.cfg.Budget.tooLong.Inc(1)
		return failure.New(failure.KindHeadersTooLarge, "the request header is longer than %d bytes", limit)
	}
	return c.reserveHeadLocked(headMemory(c.head.bytes, c.head.lines))
}

func (c *Conn) reserveHeadLocked(memory int64) error {
	if memory <= c.headMemory {
		return nil
	}
	if !c.cfg.Budget.reserve(c.hold, memory-c.headMemory) {
		return failure.New(failure.KindOverloaded, "there is no memory for a request with such a header").WithRetryAfter(noMemoryRetryAfter)
	}
	c.headMemory = memory
	return nil
}

// refuseHead answers a request whose head is not read to its end.
func (c *Conn) refuseHead(refusal error) {
	answer := &bufferedAnswer{header: http.Header{"Connection": {"close"}}}
	c.cfg.WriteError(answer, refusal)
	if answer.writeTo(c) != nil || c.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// Write implements net.Conn. It fails when the peer reads nothing for the stall timeout.
func (c *Conn) Write(p []byte) (int, error) {
	before := c.cfg.Budget.beginSend(c.hold)
	_ = c.Conn.SetWriteDeadline(time.Now().Add(c.cfg.StallTimeout))
	n, err := c.Conn.Write(p)
	c.cfg.Budget.enter(c.hold, before)
	return n, err
}

// CloseWrite shuts down the writing side.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.cfg.Budget.close(c.hold)
	return c.Conn.Close()
}

// SetReadDeadline implements net.Conn. It shortens the deadlines that net/http sets to the
// timeouts of the configuration in force: the first one after a request has ended is that of the
// idle connection, others are those of a request head. Deadlines in the past, which end a pending
// read, stay as they are.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	limits := c.cfg.Limits()
	timeout := limits.HeaderTimeout
	if c.becameIdle {
		c.becameIdle, timeout = false, limits.IdleTimeout
	}
	if limit := time.Now().Add(timeout); timeout > 0 && limit.Before(deadline) {
		deadline = limit
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Begin records that the head of a request has been read. It returns why the request is refused:
// KindOverloaded if there is no memory for its head.
func (c *Conn) Begin(r *http.Request) error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stage = readingBody
	if r.Body == nil || r.Body == http.NoBody {
		c.stage = awaitingEnd
	}
	// Heads that were sent ahead are read with the body before them.
	size, lines := len(r.RequestURI), 0
	for name, values := range r.Header {
		lines += len(values)
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return c.reserveHeadLocked(headMemory(size, lines))
}

// Reserve reserves memory for the body of a request. It returns false if there is none.
func (c *Conn) Reserve(bytes int64) bool {
	return c == nil || c.cfg.Budget.reserve(c.hold, bytes)
}

// Serve records that a request has been read whole. It returns false if the connection has been
// evicted, so that the request must not be served.
func (c *Conn) Serve() bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stage == readingBody {
		c.stage = awaitingEnd
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	return c.cfg.Budget.enter(c.hold, connbudget.Serving)
}

// finish records that a request has ended.
func (c *Conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stage, c.becameIdle = readingHead, true
	c.head, c.headMemory = headCounter{}, 0
	c.cfg.Budget.finish(c.hold)
}

// Discard reads the rest of a body, up to a limit, so that the peer sends it to its end and
// reads the answer. A peer that waits to be told to send it is not told so.
func (c *Conn) Discard(r *http.Request, limit int64) {
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		return
	}
	_, _ = io.CopyN(io.Discard, r.Body, limit)
}

// IsSlow reports whether the peer is slow to read what is written.
func (c *Conn) IsSlow() bool { return c != nil && c.cfg.Budget.isSlow(c.hold) }

// Abort closes the connection at once.
func (c *Conn) Abort() {
	if c != nil {
		c.cfg.Budget.close(c.hold)
		abort(c.Conn)
	}
}

// bufferedAnswer is an http.ResponseWriter for the answer to a request that net/http does not
// know of.
type bufferedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *bufferedAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *bufferedAnswer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *bufferedAnswer) Write(p []byte) (int, error) { return a.body.Write(p) }

func (a *bufferedAnswer) writeTo(w io.Writer) error {
	return (&http.Response{
		StatusCode: a.status, ProtoMajor: 1, ProtoMinor: 1, Header: a.header,
		ContentLength: int64(a.body.Len()), Body: io.NopCloser(&a.body), Close: true,
	}).Write(w)
}
