package gateway_test

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"filbertdeck/internal/call"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/relay"
	"filbertdeck/platform"
	"filbertdeck/platform/standin"
)

const (
	// uploadBytes is the length of an upload that doesn't fit into the buffers of a connection to
	// a target whose receive buffer has targetBufferBytes.
	uploadBytes, targetBufferBytes = 12 << 20, 64 << 10
	// relayedUploadBytes is the length of such an upload within the limit of a message between
	// hosts.
	relayedUploadBytes = 7 << 20
	// uploadHostMemoryMB lets a host hold the uploads of a spec.
	uploadHostMemoryMB = 1024
	// uploadsAtOnce is the number of a spec's uploads that are in progress at the same time.
	uploadsAtOnce = 4
	// firstEvent is the part of a body that arrives before an answer is cut: a whole event, so
	// that a stream ends between two of them.
	firstEvent = "id: 1\ndata: first\n\n"
)

// cutPauses are the times between the part of an answer and its cut. Each is met by an upload.
var cutPauses = []time.Duration{
	0, 200 * time.Microsecond, time.Millisecond, 3 * time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond, 60 * time.Millisecond, 100 * time.Millisecond,
	150 * time.Millisecond, 200 * time.Millisecond, 250 * time.Millisecond, 300 * time.Millisecond,
}

// smallBuffers configures a listener whose connections have small receive buffers.
var smallBuffers = net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, targetBufferBytes)
	})
}}

// answerEnd is what a target does after it has written an answer; r has the unread rest of the
// request.
type answerEnd func(conn *net.TCPConn, r *http.Request, pause time.Duration)

// reset ends a connection with a reset.
func reset(conn *net.TCPConn, _ *http.Request, pause time.Duration) {
	time.Sleep(pause)
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// closeUnread closes a connection while bytes of the request are unread, which resets it.
func closeUnread(conn *net.TCPConn, _ *http.Request, pause time.Duration) {
	time.Sleep(pause)
	awaitUnread(conn)
	_ = conn.Close()
}

// awaitUnread waits until bytes have arrived that are unread: without such bytes the connection
// would end in order.
func awaitUnread(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	for unread, until := 0, time.Now().Add(5*time.Second); unread == 0 && time.Now().Before(until); time.Sleep(100 * time.Microsecond) {
		_ = raw.Control(func(fd uintptr) { unread, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	}
}

// end closes a connection on which nothing is unread.
func end(conn *net.TCPConn, _ *http.Request, _ time.Duration) { _ = conn.Close() }

// stall keeps a connection open and reads nothing until the other side has given it up.
func stall(*net.TCPConn, *http.Request, time.Duration) { time.Sleep(8 * time.Second) }

// readOn reads the rest of the request.
func readOn(conn *net.TCPConn, r *http.Request, _ time.Duration) {
	_, _ = io.Copy(io.Discard, r.Body)
}

// halfCloseAnd ends the answer, and then the connection.
func halfCloseAnd(end answerEnd) answerEnd {
	return func(conn *net.TCPConn, r *http.Request, pause time.Duration) {
		_ = conn.CloseWrite()
		end(conn, r, pause)
	}
}

// earlyAnswer is an answer to an upload that is still being written.
type earlyAnswer struct {
	name, text string
	// readShare is the share of the upload that is read first.
	readShare float64
	end       answerEnd
	// pauses are those before the end, one for each upload.
	pauses []time.Duration
	// endsWith is what shows the end of an answer in the log.
	endsWith string
	// status and body are what a client must get of a sound answer.
	status int
	body   string
}

func cutAnswers() []earlyAnswer {
	const ok = "HTTP/1.1 200 OK"
	return []earlyAnswer{
		{name: "a part without a length, then a reset", text: answerHead(ok) + firstEvent, end: reset, pauses: cutPauses},
		{name: "a part without a length, then an end with bytes unread", text: answerHead(ok) + firstEvent, end: closeUnread, pauses: cutPauses},
		{name: "a part in the older version, then a reset", text: answerHead("HTTP/1.0 200 OK") + firstEvent, end: reset, pauses: cutPauses},
		{name: "a head alone, then a reset", text: answerHead(ok), end: reset, pauses: cutPauses},
		{name: "a status of its own without a body, then an end with bytes unread", text: answerHead("HTTP/1.1 422 Unprocessable Content", "Connection: close"), readShare: 0.5, end: closeUnread, pauses: cutPauses},
		{name: "a part without a length, then nothing more", text: answerHead(ok) + firstEvent, end: stall, pauses: make([]time.Duration, 4)},
		{name: "a part with a length, then a reset", text: answerHead(ok, "Content-Length: 100") + firstEvent, end: reset, pauses: cutPauses, endsWith: "length"},
		{name: "a part with chunks, then a reset", text: answerHead(ok, "Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s\r\n", len(firstEvent), firstEvent), end: reset, pauses: cutPauses, endsWith: "chunks"},
	}
}

// sinceHalfClose is the time from the end of an answer to the reset of its connection. It is
// longer than a process on a busy machine needs to read the end.
const sinceHalfClose = 2 * time.Second

func soundEarlyAnswers() []earlyAnswer {
	const ok = "HTTP/1.1 200 OK"
	pauses := make([]time.Duration, 8)
	late := slices.Repeat([]time.Duration{sinceHalfClose}, len(pauses))
	answers := []earlyAnswer{
		{name: "a length, the rest is read", text: answerHead(ok, fmt.Sprintf("Content-Length: %d", len(firstEvent))) + firstEvent, end: readOn, pauses: pauses},
		{name: "no length, a half-close, the rest is read", text: answerHead(ok) + firstEvent, end: halfCloseAnd(readOn), pauses: pauses},
		{name: "no length, a half-close, a reset later", text: answerHead(ok) + firstEvent, end: halfCloseAnd(reset), pauses: late},
		{name: "no length, a half-close, an end with bytes unread later", text: answerHead(ok) + firstEvent, end: halfCloseAnd(closeUnread), pauses: late},
		{name: "no length, all is read first", text: answerHead(ok) + firstEvent, readShare: 1, end: end, pauses: pauses},
		{name: "no length, all is read first, a half-close and a reset at once", text: answerHead(ok) + firstEvent, readShare: 1, end: halfCloseAnd(reset), pauses: cutPauses},
		{name: "chunks, the rest is read", text: answerHead(ok, "Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(firstEvent), firstEvent), end: readOn, pauses: pauses},
	}
	for n := range answers {
		answers[n].status, answers[n].body = http.StatusOK, firstEvent
	}
	return append(answers, earlyAnswer{
		name: "a status of its own without a length or body, a half-close, the rest is read", text: answerHead("HTTP/1.1 422 Unprocessable Content", "Connection: close"),
		end: halfCloseAnd(readOn), pauses: pauses, status: http.StatusUnprocessableEntity,
	})
}

// startEarlyTarget starts a target that answers before it has read a request, as answer says. A
// pause belongs to the number at the end of the request's id.
func startEarlyTarget(answer func(r *http.Request) earlyAnswer) *rawTarget {
	return startRawTargetOn(smallBuffers, func(conn *net.TCPConn, r *http.Request) {
		a := answer(r)
		if _, err := io.CopyN(io.Discard, r.Body, int64(a.readShare*float64(r.ContentLength))); err != nil {
			return
		}
		if _, err := io.WriteString(conn, withID(a.text, r)); err != nil {
			return
		}
		id := r.Header.Get(standin.HeaderRequestID)
		n := 0
		_, _ = fmt.Sscanf(id[strings.LastIndex(id, "-")+1:], "%d", &n)
		a.end(conn, r, a.pauses[n%len(a.pauses)])
	})
}

// upload sends a request with a long body, unlike that of any other one, and returns every byte of
// the answer, and whether the connection ended in order.
func (h *host) upload(path, id string, length int, fields ...string) (text string, err error) {
	conn, err := net.Dial("tcp", h.clientAddress)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		return "", err
	}
	lines := append([]string{
		"POST " + path + " HTTP/1.1", "Host: a.example", "Connection: close", fmt.Sprintf("Content-Length: %d", length), "Authorization: Bearer key-1",
		standin.HeaderRequestID + ": " + id, standin.HeaderDeadline + ": 15000", standin.HeaderTokenUsage + ": 10,10",
	}, fields...)
	go func() {
		_, _ = io.WriteString(conn, strings.Join(lines, "\r\n")+"\r\n\r\n"+id+strings.Repeat("x", length-len(id)))
	}()
	answer, err := io.ReadAll(conn)
	return string(answer), err
}

// uploaded is the answer to an upload: every byte, and what ended it.
type uploaded struct {
	id, text string
	err      error
}

// uploadAll sends an upload for each pause, some at a time.
func (h *host) uploadAll(path, name string, count int) []uploaded {
	answers := make([]uploaded, count)
	var sent sync.WaitGroup
	turns := make(chan struct{}, uploadsAtOnce)
	for n := range answers {
		sent.Go(func() {
			turns <- struct{}{}
			defer func() { <-turns }()
			answers[n].id = fmt.Sprintf("%s-%d", name, n)
			answers[n].text, answers[n].err = h.upload(path, answers[n].id, uploadBytes)
		})
	}
	sent.Wait()
	return answers
}

// isWhole reports whether a client takes an answer as complete.
func (u uploaded) isWhole() bool {
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(u.text)), nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	undelimited := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	return err == nil && (!undelimited || u.err == nil)
}

// isUnknown reports whether an answer says that the request may have run.
func (u uploaded) isUnknown() bool {
	return strings.HasPrefix(u.text, "HTTP/1.1 502 ") && strings.Contains(u.text, `"executed":"unknown"`) && u.isWhole()
}

// hasPart reports whether an answer holds the cut part of the target's.
func (u uploaded) hasPart() bool { return strings.Contains(u.text, "data: first") }

// uploadRoutes are the paths of the kinds of requests.
var uploadRoutes = []struct{ kind, path string }{{"unsafe", "/b/x"}, {"safe", "/q/x"}, {"stream", "/s/x"}}

// isCutFor reports whether a client has got an answer that its target cut as one that was.
func (u uploaded) isCutFor(kind string) bool {
	if kind == "stream" && strings.HasPrefix(u.text, "HTTP/1.1 200 ") {
		return !u.isWhole()
	}
	return u.isUnknown() && !u.hasPart()
}

var _ = Describe("a gateway process before a target that answers long uploads early", Ordered, ContinueOnFailure, func() {
	var h *host
	var target *rawTarget
	var answers sync.Map
	BeforeAll(func() {
		store := standin.New()
		DeferCleanup(store.Close)
		target = startEarlyTarget(func(r *http.Request) earlyAnswer {
			id := r.Header.Get(standin.HeaderRequestID)
			a, _ := answers.Load(id[:strings.LastIndex(id, "-")])
			return a.(earlyAnswer)
		})
		store.PutLimitedMixedConfig(1, "app", "llm", 1, 2*uploadBytes, "key-1")
		store.PutServer("t-plain", "app", target.address, "ready")
		store.PutServer("t-engine", "llm", target.address, "ready")
		h = startHostWith(standin.ProcessSettings{StoreAddress: serveStore(store), MemoryMB: uploadHostMemoryMB})
		Eventually(h.isReady, stepTimeout).Should(BeTrue())
	})
	for _, route := range uploadRoutes {
		for n, a := range cutAnswers() {
			// Guards against the part of an answer that reaches its client as the whole one: Linux
			// reports the error of a connection once, and the write of the upload may get it.
			It(fmt.Sprintf("passes %s on as no whole answer (%s)", a.name, route.kind), func() {
				name := fmt.Sprintf("cut-%s-%d", route.kind, n)
				answers.Store(name, a)
				var wrong []string
				for _, u := range h.uploadAll(route.path, name, len(a.pauses)) {
					if !u.isCutFor(route.kind) {
						wrong = append(wrong, u.text)
					}
					Expect(target.ran(u.id)).To(Equal(1))
				}
				Expect(wrong).To(BeEmpty(), "%d of %d answers", len(wrong), len(a.pauses))
			})
		}
		for n, a := range cutAnswers() {
			// Guards against cut answers that an operator can't find.
			It(fmt.Sprintf("names %s in a log line and in a counter (%s)", a.name, route.kind), func() {
				// longPause is the number of a pause after which the part has arrived.
				const longPause = 9
				name := fmt.Sprintf("named-%s-%d", route.kind, n)
				answers.Store(name, a)
				before := h.sumCounters("gateway.answers_cut")
				u := uploaded{id: fmt.Sprintf("%s-%d", name, longPause)}
				u.text, u.err = h.upload(route.path, u.id, uploadBytes)
				Expect(u.isCutFor(route.kind)).To(BeTrue(), u.text)
				Expect(h.sumCounters("gateway.answers_cut") - before).To(Equal(1))
				received := strings.Count(a.text, firstEvent) * len(firstEvent)
				Eventually(h.logText, stepTimeout).Should(MatchRegexp(`"msg":"target's answer was cut off".*"request":"%s","target":"t-.*","received":%d,"ends_with":"%s","uploading":true`,
					u.id, received, cmp.Or(a.endsWith, "connection")))
			})
		}
		for n, a := range soundEarlyAnswers() {
			// Guards against a whole answer that is refused since its connection broke afterwards.
			It(fmt.Sprintf("passes on an answer: %s (%s)", a.name, route.kind), func() {
				name := fmt.Sprintf("sound-%s-%d", route.kind, n)
				answers.Store(name, a)
				for _, u := range h.uploadAll(route.path, name, len(a.pauses)) {
					resp, body := parsed(u.text)
					Expect(resp.StatusCode).To(Equal(a.status), u.text)
					Expect(body).To(Equal(a.body))
					Expect(u.isWhole()).To(BeTrue())
					Expect(target.ran(u.id)).To(Equal(1))
				}
			})
		}
	}
})

var _ = Describe("a gateway process before targets some of which cut their answers to long uploads", func() {
	const lastEvent = "id: 2\ndata: last\n\n"
	cut := earlyAnswer{text: answerHead("HTTP/1.1 200 OK") + firstEvent, end: reset, pauses: cutPauses}
	sound := earlyAnswer{text: answerHead("HTTP/1.1 200 OK", fmt.Sprintf("Content-Length: %d", len(lastEvent))) + lastEvent, readShare: 1, end: end, pauses: cutPauses}
	var store *standin.Store
	BeforeEach(func() {
		store = standin.New()
		DeferCleanup(store.Close)
		store.PutLimitedMixedConfig(1, "app", "llm", 2, 2*uploadBytes, "key-1")
	})
	startTargets := func(answers ...func(r *http.Request) earlyAnswer) (targets []*rawTarget) {
		for n, answer := range answers {
			t := startEarlyTarget(answer)
			store.PutServer(fmt.Sprintf("t-plain-%d", n), "app", t.address, "ready")
			store.PutServer(fmt.Sprintf("t-engine-%d", n), "llm", t.address, "ready")
			targets = append(targets, t)
		}
		return targets
	}
	always := func(a earlyAnswer) func(*http.Request) earlyAnswer {
		return func(*http.Request) earlyAnswer { return a }
	}
	start := func(peers ...string) *host {
		h := startHostWith(standin.ProcessSettings{StoreAddress: serveStore(store), MemoryMB: uploadHostMemoryMB}, peers...)
		Eventually(h.isReady, stepTimeout).Should(BeTrue())
		return h
	}

	// Guards against a cut answer that ends a request which another target could serve, or after
	// which a request that may have run is sent again. A host allows no retries until it knows the
	// number of hosts, and avoids a target that has failed for a while.
	It("sends again what may be repeated, goes on with streams, and nothing else", func() {
		targets := startTargets(always(cut), always(sound))
		h := start()
		for _, route := range uploadRoutes {
			n, met := 0, 0
			Eventually(func() int {
				n++
				u := uploaded{id: fmt.Sprintf("%s-%d", route.kind, n)}
				u.text, u.err = h.upload(route.path, u.id, uploadBytes)
				cuts, runs := targets[0].ran(u.id), targets[1].ran(u.id)
				Expect([]int{cuts, runs}).To(HaveEach(BeNumerically("<=", 1)))
				switch {
				case cuts == 0:
				case route.kind == "unsafe":
					Expect(runs).To(BeZero())
					Expect(u.isCutFor(route.kind)).To(BeTrue(), u.text)
					met++
				case runs == 0:
					Expect(u.isCutFor(route.kind)).To(BeTrue(), u.text)
				default:
					resp, body := parsed(u.text)
					Expect(resp.StatusCode).To(Equal(http.StatusOK))
					Expect(strings.TrimPrefix(body, firstEvent)).To(Equal(lastEvent))
					Expect(route.kind == "stream" || !u.hasPart()).To(BeTrue())
					met++
				}
				return met
			}, "60s", "50ms").Should(BeNumerically(">=", 2))
		}
	})

	// Guards against a target that cuts its answers to all long uploads and is taken for one that
	// crashes by them: sound requests that share a part with them would be refused.
	It("takes no cut for the end of its target", func() {
		answer := func(r *http.Request) earlyAnswer {
			if strings.HasPrefix(r.Header.Get(standin.HeaderRequestID), "cut") {
				return cut
			}
			return sound
		}
		startTargets(answer, answer, answer)
		first := start()
		second := start(first.peerAddress)
		hosts := []*host{first, second}
		parts := standin.HeaderPromptPrefix + ": shared:5,"
		for n := range 12 {
			u := uploaded{id: fmt.Sprintf("cut-%d", n)}
			u.text, u.err = hosts[n%2].upload("/s/x", u.id, uploadBytes, parts+u.id+":5")
			Expect(u.isCutFor("stream")).To(BeTrue(), u.text)
		}
		Consistently(func() int {
			return first.sumCounters("gateway.crashes_recorded") + second.sumCounters("gateway.crashes_recorded")
		}, "1s", "100ms").Should(BeZero())
		for n := range 6 {
			id := fmt.Sprintf("sound-%d", n)
			text, err := hosts[n%2].upload("/s/x", id, uploadBytes, parts+id+":5")
			Expect(err).NotTo(HaveOccurred())
			Expect(text).To(HavePrefix("HTTP/1.1 200 "))
		}
	})

	Describe("and through which other hosts send requests", func() {
		// Guards against the part of an answer that another host passes on as the whole one.
		It("passes none on to them as whole", func() {
			target := startTargets(always(cut))[0]
			h := start()
			begun := time.Now()
			client := relay.NewClient(relay.ClientConfig{
				Hosts: func() (near, all []string) { return []string{h.peerAddress}, []string{h.peerAddress} },
				Log:   slog.New(slog.DiscardHandler), Metrics: gometrics.NewRegistry(), Now: func() time.Duration { return time.Since(begun) },
			})
			DeferCleanup(client.Close)
			send := func(id string, length int) error {
				attempt := &call.Attempt{
					Request: &call.Request{ID: id, Method: http.MethodPost, Host: "a.example", URI: "/b/x", Header: http.Header{}, Body: make([]byte, length)},
					Target:  directory.Target{ID: "t-plain-0", Service: "app", Address: "127.0.0.1:1", StartedUnixMilli: startedTarget}, TimeRemaining: time.Minute, Priority: -1,
				}
				req, err := platform.Dialect{}.BuildRequest(context.Background(), attempt)
				Expect(err).NotTo(HaveOccurred())
				resp, err := client.Do(req, attempt, func() error { return nil })
				if err != nil {
					return err
				}
				defer func() { _ = resp.Body.Close() }()
				_, err = io.ReadAll(resp.Body)
				return err
			}
			n := 0
			Eventually(func() int {
				_ = send(fmt.Sprintf("first-%d", n), 1)
				n++
				return target.ran(fmt.Sprintf("first-%d", n-1))
			}, stepTimeout).Should(Equal(1))
			for n := range cutPauses {
				id := fmt.Sprintf("relayed-%d", n)
				err := send(id, relayedUploadBytes)
				Expect(target.ran(id)).To(Equal(1))
				Expect(failure.KindOf(err)).To(Equal(failure.KindTargetLost))
				Expect(failure.FromError(err).Executed).To(Equal(failure.ExecutedUnknown))
			}
			Expect(h.logText()).To(MatchRegexp(`"msg":"target's answer was cut off".*"request":"relayed-9","target":"t-plain-0","received":%d,"ends_with":"connection","uploading":true`, len(firstEvent)))
		})
	})
})
