package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/call"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/fleet"
	"filbertdeck/internal/relay"
	"filbertdeck/platform"
	"filbertdeck/platform/standin"
)

const (
	// hostMemoryMB and hostFDs are the limits of the hosts that crowds meet.
	hostMemoryMB, hostFDs = 64, 400
	// reservedFDs is the number of descriptors that the platform reserves for files.
	reservedFDs = 200
	// headLimit and bodyLimit are the limits of the configuration, in bytes.
	headLimit, bodyLimit = 16384, 1 << 20
	// headCrowd, bodyCrowd and silentCrowd are the numbers of connections of a crowd.
	headCrowd, bodyCrowd, silentCrowd = 300, 60, 500
	// keptClients is the number of ordinary clients that keep their connections beside a crowd,
	// lostAllowed how many requests such connections may lose.
	keptClients, lostAllowed = 4, 3
	// sendTimeout is how long a client of a crowd tries to send.
	sendTimeout = 2 * time.Second
	// slowEvents is the number of events of a stream below /slow, slowEventPause the time between
	// two of them: such a stream is longer than a crowd takes to come.
	slowEvents, slowEventPause = 80, 50 * time.Millisecond
	// holdTime is how long a crowd keeps its connections when it has sent all that it could.
	holdTime = time.Second
)

// crowd is a number of clients that keep their connections open.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

func newCrowd() *crowd {
	c := &crowd{}
	DeferCleanup(c.leave)
	return c
}

// leave closes all connections.
func (c *crowd) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

// connect opens a connection whose client has a small receive buffer; nil if it is refused.
func (c *crowd) connect(address string) net.Conn {
	dialer := net.Dialer{Timeout: sendTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
	return conn
}

// send has n clients send at once, and returns when each has sent what it could.
func (c *crowd) send(address string, n int, write func(conn net.Conn, client int)) {
	var clients sync.WaitGroup
	for i := range n {
		clients.Go(func() {
			if conn := c.connect(address); conn != nil {
				_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
				write(conn, i)
			}
		})
	}
	clients.Wait()
}

// requestHead returns the beginning of a request head, which ends with lines.
func requestHead(path, id string, lines ...string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-1\r\n%s: %s\r\n%s: 20000\r\n%s",
		path, standin.HeaderRequestID, id, standin.HeaderDeadline, strings.Join(lines, ""))
}

// withBody announces a body.
const withBody = "Content-Length: 10\r\n"

// shortLines returns header lines of few bytes, each with another name, of a total length.
func shortLines(length int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for i := 0; b.Len()+6 <= length; i++ {
		_, _ = fmt.Fprintf(&b, "%c%c%c:\r\n", letters[i/676%26], letters[i/26%26], letters[i%26])
	}
	return b.String()
}

// pad appends one line to a head so that it has a length with the empty line that ends it.
func pad(head string, length int) string {
	return head + "pad: " + strings.Repeat("x", length-len(head)-len("pad: \r\n\r\n")) + "\r\n\r\n"
}

// legalHead is the length of heads that are legal however their lines are counted.
const legalHead = 13000

// crowdHost is a gateway process on a host with little memory, and what it was seen to use.
type crowdHost struct {
	*host
	store       *standin.Store
	memoryMB    int
	maxFDs      int
	stop, ended chan struct{}
	// ran holds the ids of the requests that the target ran.
	ran sync.Map
	// peakBytes and peakSockets are the most that the process was seen to hold.
	peakBytes, peakSockets int
}

// newCrowdHost starts a process before a target that answers with longAnswer bytes below /long,
// with events without end below /endless, and with slowEvents below /slow.
func newCrowdHost(maxFDs int, alter func(*standin.Store)) *crowdHost {
	store := standin.New()
	h := &crowdHost{store: store, memoryMB: hostMemoryMB, maxFDs: maxFDs, stop: make(chan struct{}), ended: make(chan struct{})}
	target := httptest.NewServer(http.HandlerFunc(h.serveTarget))
	DeferCleanup(func() { store.Close(); target.CloseClientConnections(); target.Close() })
	store.PutLimitedConfig(1, "app", bodyLimit, "key-1")
	store.PutServer("i-1", "app", hostPort(target), "ready")
	if alter != nil {
		alter(store)
	}
	h.host = startHostWith(standin.ProcessSettings{StoreAddress: serveStore(store), MemoryMB: h.memoryMB, MaxFDs: maxFDs})
	return h
}

// newCutHost starts a process that reaches no target itself, and another one on a host with more
// memory through which it does.
func newCutHost() *crowdHost {
	through := newCrowdHost(4100, nil)
	through.expectOrdinaryServed()
	store := standin.New()
	DeferCleanup(store.Close)
	store.PutLimitedConfig(1, "app", bodyLimit, "key-1")
	unreachable, err := fleet.FreeLoopbackAddress()
	Expect(err).NotTo(HaveOccurred())
	store.PutServer("i-1", "app", unreachable, "ready")
	cut := &crowdHost{store: store, memoryMB: hostMemoryMB, maxFDs: 4100, stop: make(chan struct{}), ended: make(chan struct{})}
	cut.host = startHostWith(standin.ProcessSettings{StoreAddress: serveStore(store), MemoryMB: hostMemoryMB, MaxFDs: 4100}, through.peerAddress)
	return cut
}

// peerCrowd sends requests through a process as another host does, until the crowd leaves.
type peerCrowd struct {
	ctx      context.Context
	client   *relay.Client
	requests sync.WaitGroup
}

func newPeerCrowd(h *crowdHost) *peerCrowd {
	start := time.Now()
	hosts := []string{h.peerAddress}
	ctx, cancel := context.WithCancel(context.Background())
	p := &peerCrowd{ctx: ctx, client: relay.NewClient(relay.ClientConfig{
		Hosts: func() (near, all []string) { return hosts, hosts }, HostTimeout: sendTimeout,
		Log: slog.New(slog.DiscardHandler), Metrics: gometrics.NewRegistry(), Now: func() time.Duration { return time.Since(start) },
	})}
	DeferCleanup(func() { cancel(); p.requests.Wait(); p.client.Close() })
	// The process must know this host as one.
	Eventually(func() error { return p.send("/b/x", []byte("x")) }, stepTimeout).Should(Succeed())
	return p
}

// send sends one request, whose header has empty values of the names.
func (p *peerCrowd) send(path string, body []byte, names ...string) error {
	header := http.Header{}
	for _, name := range names {
		header.Set(name, "")
	}
	attempt := &call.Attempt{
		Request: &call.Request{ID: "relayed", Method: http.MethodPost, Host: "a.example", URI: path, Header: header, Body: body},
		Target:  directory.Target{ID: "i-1", Service: "app", Address: "127.0.0.1:1", StartedUnixMilli: startedTarget}, TimeRemaining: time.Minute, Priority: -1,
	}
	req, err := platform.Dialect{}.BuildRequest(p.ctx, attempt)
	if err != nil {
		return err
	}
	resp, err := p.client.Do(req, attempt, func() error { return nil })
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// crowd sends n requests at once.
func (p *peerCrowd) crowd(n int, path string, body []byte, names ...string) {
	for range n {
		p.requests.Go(func() { _ = p.send(path, body, names...) })
	}
	time.Sleep(sendTimeout)
}

func (h *crowdHost) serveTarget(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	h.ran.Store(r.Header.Get(standin.HeaderRequestID), true)
	rw.Header().Set(standin.HeaderRequestID, r.Header.Get(standin.HeaderRequestID))
	rw.Header().Set(standin.HeaderSeal, "s-1")
	switch {
	case strings.Contains(r.URL.Path, "/endless"):
		rw.Header().Set("Content-Type", "text/event-stream")
		for n := 1; ; n++ {
			if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", 4096)); err != nil {
				return
			}
		}
	case strings.Contains(r.URL.Path, "/slow"):
		rw.Header().Set("Content-Type", "text/event-stream")
		for n := range slowEvents {
			_, _ = fmt.Fprintf(rw, "id: %d\ndata: x\n\n", n)
			rw.(http.Flusher).Flush()
			time.Sleep(slowEventPause)
		}
	case strings.Contains(r.URL.Path, "/held"):
		<-r.Context().Done()
	case strings.Contains(r.URL.Path, "/long"):
		_, _ = rw.Write(make([]byte, longAnswer))
	default:
		_, _ = io.WriteString(rw, "done")
	}
}

// watch samples what the process holds until stopWatch.
func (h *crowdHost) watch() {
	go func() {
		defer close(h.ended)
		for {
			select {
			case <-h.stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			h.peakBytes = max(h.peakBytes, h.anonymousBytes())
			h.peakSockets = max(h.peakSockets, h.socketCount())
		}
	}()
}

// anonymousBytes returns the memory of the process without the pages of its program file; 0 when
// it has ended.
func (h *crowdHost) anonymousBytes() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := bytes.Cut(text, []byte("RssAnon:"))
	var kib int
	_, _ = fmt.Sscan(string(rest), &kib)
	return kib << 10
}

func (h *crowdHost) socketCount() (count int) {
	dir := fmt.Sprintf("/proc/%d/fd", h.cmd.Process.Pid)
	entries, _ := os.ReadDir(dir)
	for _, e := range entries {
		if to, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && strings.HasPrefix(to, "socket:") {
			count++
		}
	}
	return count
}

// expectAlive checks that the process lives, and that it has stayed within its limits.
func (h *crowdHost) expectAliveWithinLimits() {
	Expect(h.exited).NotTo(Receive(), "the process ended")
	h.expectWithinLimits()
}

// expectWithinLimits ends the watch and checks that the process has stayed within its limits.
func (h *crowdHost) expectWithinLimits() {
	close(h.stop)
	<-h.ended
	AddReportEntry("peak", fmt.Sprintf("%.1f MB of %d, %d sockets of %d", float64(h.peakBytes)/1e6, h.memoryMB, h.peakSockets, h.maxFDs-reservedFDs))
	Expect(h.peakBytes).To(BeNumerically("<=", h.memoryMB*1e6), "memory")
	Expect(h.peakSockets).To(BeNumerically("<=", h.maxFDs-reservedFDs), "sockets")
}

// expectOrdinaryServed expects that ordinary requests are answered, a short one and one with a
// long answer.
func (h *crowdHost) expectOrdinaryServed() {
	Eventually(h.isReady, stepTimeout).Should(BeTrue())
	Eventually(func() int { return h.post("/b/x", "key-1") }, stepTimeout).Should(Equal(http.StatusOK))
	Eventually(func() int { _, length := h.get("/b/long", "ordinary"); return length }, stepTimeout).Should(Equal(longAnswer))
	Expect(h.metricsText()).To(ContainSubstring("gateway."))
}

// keptClient sends ordinary requests one after the other on a connection that it keeps, until
// stop is closed, and counts those that the target ran and whose connection was closed without an
// answer although it had carried answers before.
func (h *crowdHost) keptClient(name string, stop <-chan struct{}) (lost int) {
	var conn net.Conn
	var in *bufio.Reader
	answered := 0
	for n := 0; ; n++ {
		select {
		case <-stop:
			return lost
		case <-time.After(5 * time.Millisecond):
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", h.clientAddress, sendTimeout); err != nil {
				continue
			}
			in, answered = bufio.NewReader(conn), 0
		}
		id := fmt.Sprintf("%s-%d", name, n)
		_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
		_, _ = io.WriteString(conn, requestHead("/b/x", id, withBody)+"\r\n0123456789")
		resp, err := http.ReadResponse(in, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err == nil && !resp.Close {
			answered++
			continue
		}
		if _, ran := h.ran.Load(id); err != nil && ran && answered > 0 {
			lost++
		}
		_ = conn.Close()
		conn = nil
	}
}

// readStream requests a stream and returns the number of its events when it ends.
func (h *crowdHost) readStream(path, id string) (events int) {
	conn, err := net.Dial("tcp", h.clientAddress)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, requestHead(path, id, withBody)+"\r\n0123456789")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	return bytes.Count(text, []byte("data:"))
}

// keepClients starts kept clients, and returns a function that ends them and returns how many
// requests they lost.
func (h *crowdHost) keepClients() (end func() int) {
	stop := make(chan struct{})
	var lost atomic.Int64
	var clients sync.WaitGroup
	for i := range keptClients {
		clients.Go(func() { lost.Add(int64(h.keptClient(fmt.Sprintf("kept-%d", i), stop))) })
	}
	return func() int { close(stop); clients.Wait(); return int(lost.Load()) }
}

// runCrowd starts a process, has a crowd come and stay, and checks what must hold meanwhile and
// after it has left.
func runCrowd(maxFDs int, attack func(h *crowdHost, c *crowd)) {
	h := newCrowdHost(maxFDs, nil)
	h.expectOrdinaryServed()
	h.watch()
	endKept := h.keepClients()
	c := newCrowd()
	attack(h, c)
	time.Sleep(holdTime)
	h.expectOrdinaryServed()
	c.leave()
	h.expectOrdinaryServed()
	Expect(endKept()).To(BeNumerically("<=", lostAllowed), "requests lost on kept connections")
	h.expectAliveWithinLimits()
}

// Attacks on the callers' port.
var (
	heldHeads = func(path string, lines ...string) func(h *crowdHost, c *crowd) {
		return func(h *crowdHost, c *crowd) {
			c.send(h.clientAddress, headCrowd, func(conn net.Conn, client int) {
				_, _ = io.WriteString(conn, requestHead(path, fmt.Sprintf("held-%d", client), lines...)+"\r\n")
			})
		}
	}
	heldBodies = func(path string) func(h *crowdHost, c *crowd) {
		return func(h *crowdHost, c *crowd) {
			body := make([]byte, bodyLimit-1)
			c.send(h.clientAddress, bodyCrowd, func(conn net.Conn, client int) {
				_, _ = io.WriteString(conn, requestHead(path, fmt.Sprintf("body-%d", client), fmt.Sprintf("Content-Length: %d\r\n", bodyLimit))+"\r\n")
				_, _ = conn.Write(body)
			})
		}
	}
	repeated = func(clients int, begin string, piece string) func(h *crowdHost, c *crowd) {
		return repeatedAt(func(h *crowdHost) string { return h.clientAddress }, clients, begin, piece)
	}
)

// repeatedAt is an attack on a port: clients that send a piece without end.
func repeatedAt(address func(h *crowdHost) string, clients int, begin, piece string) func(h *crowdHost, c *crowd) {
	return func(h *crowdHost, c *crowd) {
		c.send(address(h), clients, func(conn net.Conn, _ int) { writeForever(conn, begin, piece) })
	}
}

// http2Begin is the beginning of an HTTP/2 connection whose client grants each stream a window.
func http2Begin(window uint32) string {
	setting := binary.BigEndian.AppendUint32([]byte{0, 4}, window)
	return "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + http2Frame(4, 0, 0, setting)
}

// http2Frame is one frame of a stream.
func http2Frame(kind, flags byte, stream int, payload []byte) string {
	head := []byte{byte(len(payload) >> 16), byte(len(payload) >> 8), byte(len(payload)), kind, flags}
	return string(binary.BigEndian.AppendUint32(head, uint32(stream))) + string(payload)
}

// http2Call is the header of a gRPC call, written without compression.
func http2Call(stream int, method string) string {
	var fields []byte
	for _, field := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", method}, {":authority", "a"}, {"content-type", "application/grpc"}, {"te", "trailers"}} {
		fields = append(fields, 0, byte(len(field[0])))
		fields = append(fields, field[0]...)
		fields = append(fields, byte(len(field[1])))
		fields = append(fields, field[1]...)
	}
	return http2Frame(1, 4, stream, fields)
}

// writeForever writes until the connection is closed or its deadline has passed.
func writeForever(conn net.Conn, begin, piece string) {
	_, err := io.WriteString(conn, begin)
	for err == nil {
		_, err = io.WriteString(conn, piece)
	}
}

// connectionNames is a Connection header that names many headers.
func connectionNames(length int) string {
	return "Connection: " + strings.ReplaceAll(shortLines(length), ":\r\n", ",") + "close\r\n"
}

var _ = Describe("a gateway process before clients that don't behave", Serial, func() {
	// Guards against a process that ends since callers make it hold more than its host has.
	DescribeTable("stays within its host's memory", func(attack func(h *crowdHost, c *crowd)) { runCrowd(4100, attack) },
		Entry("legal heads of many short lines that wait for a body", heldHeads("/b/x", withBody, shortLines(legalHead))),
		Entry("legal heads of many short lines whose target does not answer", heldHeads("/b/held", "Content-Length: 0\r\n", shortLines(legalHead))),
		Entry("the same for a stream", heldHeads("/s/x", withBody, shortLines(legalHead))),
		Entry("legal heads of many lines of one name", heldHeads("/b/x", withBody, strings.Repeat("q:\r\n", legalHead/5))),
		Entry("legal heads whose lines have odd bytes", heldHeads("/b/x", withBody, strings.ReplaceAll(shortLines(legalHead/2), ":", ":\t\xff\xfe\x80 \t"))),
		Entry("legal heads with many parts of a prompt", heldHeads("/s/held", "Content-Length: 0\r\n", standin.HeaderPromptPrefix+": "+strings.Repeat("a:1,", legalHead/4)+"\r\n")),
		Entry("heads that name thousands of headers of the connection", heldHeads("/b/x", withBody, connectionNames(legalHead))),
		Entry("heads that expect to be told to go on", heldHeads("/b/x", withBody, "Expect: 100-continue\r\n", shortLines(legalHead))),
		Entry("heads over the limit that don't end", func(h *crowdHost, c *crowd) {
			c.send(h.clientAddress, headCrowd, func(conn net.Conn, client int) {
				_, _ = io.WriteString(conn, requestHead("/b/x", fmt.Sprintf("over-%d", client), shortLines(4*headLimit-500)))
			})
		}),
		Entry("heads without end", repeated(headCrowd, requestHead("/b/x", "endless"), shortLines(1200))),
		Entry("one header line without end", repeated(headCrowd, requestHead("/b/x", "line", "long: "), strings.Repeat("x", 4096))),
		Entry("a request line without end", repeated(headCrowd, "POST /b/", strings.Repeat("x", 4096))),
		Entry("empty lines without end before a request", repeated(headCrowd, "\r\n", strings.Repeat("\r\n", 2048))),
		Entry("empty lines without end after a request", repeated(headCrowd, requestHead("/b/x", "lines", "Content-Length: 0\r\n")+"\r\n", strings.Repeat("\r\n", 2048))),
		Entry("bodies without their last byte", heldBodies("/b/x")),
		Entry("bodies of streams without their last byte", heldBodies("/s/x")),
		Entry("chunked bodies without end", repeated(bodyCrowd, requestHead("/b/x", "chunks", "Transfer-Encoding: chunked\r\n")+"\r\n", "1000\r\n"+strings.Repeat("x", 4096)+"\r\n")),
		Entry("chunk extensions without end", repeated(bodyCrowd, requestHead("/b/x", "extension", "Transfer-Encoding: chunked\r\n")+"\r\n1;", strings.Repeat("x", 4096))),
		Entry("trailers without end", repeated(bodyCrowd, requestHead("/b/x", "trailer", "Transfer-Encoding: chunked\r\n")+"\r\n0\r\n", shortLines(1200))),
		Entry("requests sent ahead whose answers are unread", repeated(bodyCrowd, "", requestHead("/b/long", "ahead", "Content-Length: 0\r\n")+"\r\n")),
		Entry("large requests sent ahead whose answers are unread", repeated(bodyCrowd, "", requestHead("/b/long", "ahead", "Content-Length: 1000000\r\n")+"\r\n"+strings.Repeat("x", 1000000))),
		Entry("requests of many short lines sent ahead", repeated(bodyCrowd, "", requestHead("/b/long", "ahead", "Content-Length: 0\r\n", shortLines(legalHead))+"\r\n")),
		Entry("streams that are unread", func(h *crowdHost, c *crowd) {
			c.send(h.clientAddress, bodyCrowd, func(conn net.Conn, client int) {
				_, _ = io.WriteString(conn, requestHead("/s/endless", fmt.Sprintf("unread-%d", client), withBody)+"\r\n0123456789")
			})
		}),
		Entry("two crowds at once", func(h *crowdHost, c *crowd) {
			var crowds sync.WaitGroup
			crowds.Go(func() { heldBodies("/b/x")(h, c) })
			crowds.Go(func() { heldHeads("/s/x", withBody, shortLines(legalHead))(h, c) })
			crowds.Wait()
		}),
		Entry("long heads at the readiness port", func(h *crowdHost, c *crowd) {
			c.send(h.readyAddress, headCrowd, func(conn net.Conn, _ int) { writeForever(conn, requestHead("/api/ready", "ready"), shortLines(1200)) })
		}),
		Entry("held heads at the readiness port", func(h *crowdHost, c *crowd) {
			c.send(h.readyAddress, headCrowd, func(conn net.Conn, _ int) {
				_, _ = io.WriteString(conn, requestHead("/api/ready", "ready", strings.Repeat(shortLines(100000), 5)))
			})
		}),
		Entry("held heads at the port of the counters", func(h *crowdHost, c *crowd) {
			c.send(h.metricsAddress, headCrowd, func(conn net.Conn, _ int) {
				_, _ = io.WriteString(conn, requestHead("/metrics", "metrics", strings.Repeat(shortLines(100000), 5)))
			})
		}),
		Entry("counters asked for ahead that are unread", func(h *crowdHost, c *crowd) {
			c.send(h.metricsAddress, bodyCrowd, func(conn net.Conn, _ int) { writeForever(conn, "", "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n") })
		}),
		Entry("noise at the port of other hosts", func(h *crowdHost, c *crowd) {
			c.send(h.peerAddress, headCrowd, func(conn net.Conn, _ int) {
				writeForever(conn, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", strings.Repeat("\x00", 4096))
			})
		}),
		Entry("heads of calls without end at the port of other hosts", func(h *crowdHost, c *crowd) {
			// SETTINGS, then HEADERS on stream 1 and CONTINUATION frames without END_HEADERS.
			frame := func(kind byte) string {
				fields := strings.Repeat("\x00\x03aaa\x03bbb", 512)
				return string([]byte{0, byte(len(fields) >> 8), byte(len(fields)), kind, 0, 0, 0, 0, 1}) + fields
			}
			c.send(h.peerAddress, headCrowd, func(conn net.Conn, _ int) {
				writeForever(conn, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"+frame(1), frame(9))
			})
		}),
		Entry("calls sent ahead whose answers are unread at the port of other hosts", func(h *crowdHost, c *crowd) {
			c.send(h.peerAddress, bodyCrowd, func(conn net.Conn, _ int) {
				go func() { _, _ = io.Copy(io.Discard, conn) }()
				_, err := io.WriteString(conn, http2Begin(0))
				for stream := 1; err == nil; stream += 2 {
					_, err = io.WriteString(conn, http2Call(stream, "/filbert.v1.Gossip/Exchange")+http2Frame(0, 1, stream, make([]byte, 5)))
				}
			})
		}),
		Entry("calls whose messages don't end at the port of other hosts", func(h *crowdHost, c *crowd) {
			c.send(h.peerAddress, bodyCrowd, func(conn net.Conn, _ int) {
				go func() { _, _ = io.Copy(io.Discard, conn) }()
				const messageBytes = 8 << 20
				message := append([]byte{0, 0, 0x80, 0, 0}, make([]byte, 1<<14-5)...)
				_, err := io.WriteString(conn, http2Begin(1<<16)+http2Call(1, "/filbert.v1.Gossip/Exchange")+http2Frame(0, 0, 1, message))
				for sent := 1 << 14; err == nil && sent < messageBytes; sent += 1 << 14 {
					time.Sleep(time.Millisecond)
					_, err = io.WriteString(conn, http2Frame(0, 0, 1, make([]byte, 1<<14)))
				}
			})
		}),
		Entry("empty lines without end at the readiness port", func(h *crowdHost, c *crowd) {
			c.send(h.readyAddress, headCrowd, func(conn net.Conn, _ int) { writeForever(conn, "\r\n", strings.Repeat("\r\n", 2048)) })
		}),
		Entry("requests sent ahead to the readiness port that are unread", func(h *crowdHost, c *crowd) {
			c.send(h.readyAddress, bodyCrowd, func(conn net.Conn, _ int) {
				writeForever(conn, "", "GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n")
			})
		}),
		Entry("requests without end of a body at the readiness port", repeatedAt(func(h *crowdHost) string { return h.readyAddress }, bodyCrowd,
			requestHead("/api/ready", "chunks", "Transfer-Encoding: chunked\r\n")+"\r\n", "1000\r\n"+strings.Repeat("x", 4096)+"\r\n")),
		Entry("empty lines without end at the port of the counters", func(h *crowdHost, c *crowd) {
			c.send(h.metricsAddress, headCrowd, func(conn net.Conn, _ int) { writeForever(conn, "\r\n", strings.Repeat("\r\n", 2048)) })
		}),
		Entry("long heads at the port of the counters", func(h *crowdHost, c *crowd) {
			c.send(h.metricsAddress, headCrowd, func(conn net.Conn, _ int) { writeForever(conn, requestHead("/metrics", "metrics"), shortLines(1200)) })
		}),
		Entry("requests without end of a body at the port of the counters", repeatedAt(func(h *crowdHost) string { return h.metricsAddress }, bodyCrowd,
			requestHead("/metrics", "chunks", "Transfer-Encoding: chunked\r\n")+"\r\n", "1000\r\n"+strings.Repeat("x", 4096)+"\r\n")),
	)

	// Guards against a host that other hosts make hold what it bounds for its own callers.
	DescribeTable("stays within its host's memory before other hosts that send large requests through it", func(path string) {
		runCrowd(4100, func(h *crowdHost, _ *crowd) {
			newPeerCrowd(h).crowd(bodyCrowd, path, make([]byte, bodyLimit))
		})
	},
		Entry("whose target does not answer", "/b/held"),
		Entry("whose target answers", "/b/x"),
	)

	It("stays within its host's memory before other hosts that send heads of many short lines through it", func() {
		runCrowd(4100, func(h *crowdHost, _ *crowd) {
			newPeerCrowd(h).crowd(headCrowd, "/b/held", []byte("x"), strings.Split(shortLines(legalHead), ":\r\n")...)
		})
	})

	// Guards against a host whose copies of a body that it sends through another host are not
	// counted.
	It("stays within its host's memory while it sends large requests through another host", func() {
		cut := newCutHost()
		Eventually(func() int { return cut.post("/b/x", "key-1") }, stepTimeout).Should(Equal(http.StatusOK))
		Expect(cut.metricsText()).To(MatchRegexp(`"relay.sent":\s*\{\s*"count":\s*[1-9]`))
		cut.watch()
		c := newCrowd()
		c.send(cut.clientAddress, bodyCrowd, func(conn net.Conn, client int) {
			_, _ = io.WriteString(conn, requestHead("/b/held", fmt.Sprintf("whole-%d", client), fmt.Sprintf("Content-Length: %d\r\n", bodyLimit))+"\r\n")
			_, _ = conn.Write(make([]byte, bodyLimit))
		})
		time.Sleep(holdTime)
		Eventually(func() int { return cut.post("/b/x", "key-1") }, stepTimeout).Should(Equal(http.StatusOK))
		c.leave()
		Eventually(func() int { return cut.post("/b/x", "key-1") }, stepTimeout).Should(Equal(http.StatusOK))
		cut.expectAliveWithinLimits()
	})

	// Guards against a host on which no target can be dialled since callers hold all descriptors.
	DescribeTable("keeps descriptors for targets", func(address func(h *crowdHost) string, begin string) {
		runCrowd(hostFDs, func(h *crowdHost, c *crowd) {
			c.send(address(h), silentCrowd, func(conn net.Conn, _ int) { _, _ = io.WriteString(conn, begin) })
		})
	},
		Entry("before silent callers", func(h *crowdHost) string { return h.clientAddress }, ""),
		Entry("before callers with unfinished heads", func(h *crowdHost) string { return h.clientAddress }, "POST /b/x HTTP/1.1\r\nHo"),
		Entry("before callers that stay after a request", func(h *crowdHost) string { return h.clientAddress }, requestHead("/b/x", "kept", withBody)+"\r\n0123456789"),
		Entry("before silent connections to the readiness port", func(h *crowdHost) string { return h.readyAddress }, ""),
		Entry("before silent connections to the port of the counters", func(h *crowdHost) string { return h.metricsAddress }, ""),
		Entry("before silent connections to the port of other hosts", func(h *crowdHost) string { return h.peerAddress }, ""),
		Entry("before connections to the port of other hosts that begin and stay", func(h *crowdHost) string { return h.peerAddress }, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"),
	)

	// Guards against log lines that hold the memory of the host while the output is slow.
	It("bounds the lines that wait for a slow output", func() {
		slow, output, err := os.Pipe()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = output.Close(); _ = slow.Close() })
		startOutput = output
		DeferCleanup(func() { startOutput = nil })
		runCrowd(4100, func(h *crowdHost, c *crowd) {
			request := requestHead("/none/x", strings.Repeat("\xff", legalHead), "Content-Length: 0\r\n") + "\r\n"
			c.send(h.clientAddress, 30, func(conn net.Conn, _ int) {
				go func() { _, _ = io.Copy(io.Discard, conn) }()
				for range 100 {
					_, _ = io.WriteString(conn, request)
				}
			})
		})
	})

	// Guards against limits that apply only to a process in its usual state.
	It("stays within its limits while it reloads and the limits change", func() {
		runCrowd(4100, func(h *crowdHost, c *crowd) {
			var crowds sync.WaitGroup
			crowds.Go(func() { heldHeads("/b/x", withBody, shortLines(legalHead))(h, c) })
			crowds.Go(func() { heldBodies("/b/x")(h, c) })
			for version := 2; version < 12; version++ {
				Expect(h.cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
				h.store.PutLimitedConfig(version, "app", bodyLimit/(1+version%3), "key-1")
				time.Sleep(50 * time.Millisecond)
			}
			crowds.Wait()
			h.store.PutLimitedConfig(12, "app", bodyLimit, "key-1")
		})
	})

	// Guards against a stream that its caller reads and that is cut off since others hold what the
	// host has.
	It("ends no stream that it serves", func() {
		h := newCrowdHost(4100, nil)
		h.expectOrdinaryServed()
		h.watch()
		var streams sync.WaitGroup
		var whole atomic.Int64
		for i := range keptClients {
			streams.Go(func() {
				if events := h.readStream("/s/slow", fmt.Sprintf("stream-%d", i)); events == slowEvents {
					whole.Add(1)
				}
			})
		}
		Eventually(func() (begun int) {
			h.ran.Range(func(id, _ any) bool {
				if strings.HasPrefix(id.(string), "stream-") {
					begun++
				}
				return true
			})
			return begun
		}, stepTimeout).Should(Equal(keptClients))
		c := newCrowd()
		heldBodies("/b/x")(h, c)
		heldHeads("/s/x", withBody, shortLines(legalHead))(h, c)
		streams.Wait()
		Expect(whole.Load()).To(BeEquivalentTo(keptClients))
		c.leave()
		h.expectOrdinaryServed()
		h.expectAliveWithinLimits()
	})

	It("stays within its limits before the first configuration", func() {
		h := newCrowdHost(4100, func(store *standin.Store) { store.SetMode(standin.Unresponsive) })
		Eventually(func() int { return h.post("/b/x", "key-1") }, stepTimeout).Should(Equal(http.StatusServiceUnavailable))
		h.watch()
		c := newCrowd()
		heldHeads("/b/x", withBody, shortLines(legalHead))(h, c)
		heldBodies("/b/x")(h, c)
		time.Sleep(holdTime)
		Eventually(func() int { return h.post("/b/x", "key-1") }, stepTimeout).Should(Equal(http.StatusServiceUnavailable))
		h.store.SetMode(standin.Serving)
		h.expectOrdinaryServed()
		h.expectAliveWithinLimits()
	})

	It("stops within its limits", func() {
		h := newCrowdHost(4100, nil)
		h.expectOrdinaryServed()
		h.watch()
		c := newCrowd()
		go heldBodies("/b/x")(h, c)
		heldHeads("/b/x", withBody, shortLines(legalHead))(h, c)
		Expect(h.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(h.exited, stepTimeout).Should(Receive())
		h.expectWithinLimits()
	})

	// Guards against limits that a request meets that is within those of the configuration.
	DescribeTable("serves a single request inside the limits", func(head string, body string) {
		h := newCrowdHost(4100, nil)
		h.expectOrdinaryServed()
		conn := newCrowd().connect(h.clientAddress)
		Expect(conn).NotTo(BeNil())
		_, err := io.WriteString(conn, head+body)
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
		status := make([]byte, len("HTTP/1.1 200"))
		_, err = io.ReadFull(conn, status)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(status)).To(Equal("HTTP/1.1 200"))
	},
		Entry("with a head of the longest allowed length", pad(requestHead("/b/x", "longest", withBody), headLimit), "0123456789"),
		Entry("with a head of short lines of the longest allowed length", pad(requestHead("/b/x", "short", withBody, shortLines(headLimit-300)), headLimit), "0123456789"),
		Entry("with a body of the longest allowed length", requestHead("/b/x", "body", fmt.Sprintf("Content-Length: %d\r\n", bodyLimit))+"\r\n", strings.Repeat("x", bodyLimit)),
		Entry("with a long id", requestHead("/b/x", strings.Repeat("i", legalHead), withBody)+"\r\n", "0123456789"),
	)
})
