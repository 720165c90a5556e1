package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/call"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/relay"
	"filbertdeck/platform"
	"filbertdeck/platform/standin"
)

// payload is the body of each answer of a rawTarget: a stream of one event.
const payload = "id: 1\ndata: payload\n\n"

// sized is the field with its length.
var sized = fmt.Sprintf("Content-Length: %d", len(payload))

// answerHead returns the head of an answer with the request's id and a seal. The last of fields
// may hold further lines.
func answerHead(statusLine string, fields ...string) string {
	lines := append([]string{statusLine, standin.HeaderRequestID + ": @id@", standin.HeaderSeal + ": s-1"}, fields...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// chunks is the payload as one chunk, with an extension, and a trailer section.
func chunks(extension, trailer string) string {
	return fmt.Sprintf("%x%s\r\n%s\r\n0\r\n%s\r\n", len(payload), extension, payload, trailer)
}

// rawTarget is a target that writes the bytes of its answers itself and closes the connection
// after each. It answers requests for its report as a sound engine.
type rawTarget struct {
	address string
	serve   func(conn *net.TCPConn, r *http.Request)

	mu   sync.Mutex
	runs map[string]int
}

// startRawTarget starts a target that reads each request to its end and then answers it.
func startRawTarget(answer func(r *http.Request) string) *rawTarget {
	return startRawTargetOn(net.ListenConfig{}, func(conn *net.TCPConn, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		_, _ = io.WriteString(conn, withID(answer(r), r))
	})
}

// startRawTargetOn starts a target that listens as configured and serves each request, whose body
// is unread.
func startRawTargetOn(config net.ListenConfig, serve func(conn *net.TCPConn, r *http.Request)) *rawTarget {
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	t := &rawTarget{address: l.Addr().String(), serve: serve, runs: map[string]int{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go t.serveConn(conn.(*net.TCPConn))
		}
	}()
	return t
}

func (t *rawTarget) serveConn(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if r.URL.Path == standin.PathReport {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			report := fmt.Sprintf(`{"born":%d}`, int64(startedTarget))
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
			continue
		}
		t.mu.Lock()
		t.runs[r.Header.Get(standin.HeaderRequestID)]++
		t.mu.Unlock()
		t.serve(conn, r)
		return
	}
}

// withID completes the head of an answer to a request.
func withID(answer string, r *http.Request) string {
	return strings.ReplaceAll(answer, "@id@", r.Header.Get(standin.HeaderRequestID))
}

// ran returns how often a request ran.
func (t *rawTarget) ran(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

// bytesOf sends a request and returns every byte of the answer.
func (h *host) bytesOf(path, id string, fields ...string) string {
	conn, err := net.Dial("tcp", h.clientAddress)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	lines := append([]string{
		"POST " + path + " HTTP/1.1", "Host: a.example", "Connection: close", "Content-Length: 1", "Authorization: Bearer key-1",
		standin.HeaderRequestID + ": " + id, standin.HeaderDeadline + ": 8000", standin.HeaderTokenUsage + ": 10,10",
	}, fields...)
	_, err = io.WriteString(conn, strings.Join(lines, "\r\n")+"\r\n\r\nx")
	Expect(err).NotTo(HaveOccurred())
	text, err := io.ReadAll(conn)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// parsed returns an answer's status, header and body.
func parsed(answer string) (*http.Response, string) {
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(answer)), nil)
	Expect(err).NotTo(HaveOccurred(), answer)
	body, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred(), answer)
	return resp, string(body)
}

// invalidAnswer is an answer that RFC 9110 or RFC 9112 does not allow, and the part of it that is
// invalid.
type invalidAnswer struct{ name, part, text string }

func invalidAnswers() []invalidAnswer {
	const ok = "HTTP/1.1 200 OK"
	withStatus := func(line string) string { return answerHead(line, "Marker: m", sized) + payload }
	withField := func(field string) string { return answerHead(ok, sized, field) + payload }
	return []invalidAnswer{
		{"status 000", "status", withStatus("HTTP/1.1 000 Trouble")},
		{"status 099", "status", withStatus("HTTP/1.1 099 Trouble")},
		{"status 600", "status", withStatus("HTTP/1.1 600 Trouble")},
		{"status 999", "status", withStatus("HTTP/1.1 999 Trouble")},
		{"a status with a sign", "status", withStatus("HTTP/1.1 +20 OK")},
		{"a switch of protocols", "status", withStatus("HTTP/1.1 101 Switching Protocols")},
		{"a switch of protocols that names one", "status", answerHead("HTTP/1.1 101 Switching Protocols", "Connection: Upgrade", "Upgrade: marker") + payload},
		{"a blank in a name", "field_name", withField("X Marker: m")},
		{"a blank before a colon", "field_name", withField("X-Marker : m")},
		{"a blank before the colon of the length", "field_name", answerHead(ok, fmt.Sprintf("Content-Length : %d", len(payload))) + payload},
		{"a blank before the colon of the chunks", "field_name", answerHead(ok, "Transfer-Encoding : chunked") + chunks("", "")},
		{"a blank in the name of a refusal that says not run", "field_name", answerHead("HTTP/1.1 503 Service Unavailable", standin.HeaderNotExecuted+": full", "X Marker: m", "Content-Length: 0")},
		{"a control byte in a name", "field_name", withField("X\x01Marker: m")},
		{"a tab in a name", "field_name", withField("X\tMarker: m")},
		{"a byte beyond ASCII in a name", "field_name", withField("X\xe9Marker: m")},
		{"no name", "field_name", withField(": marker")},
		{"a control byte in a value", "field_value", withField("X-Marker: m\x01m")},
		{"a NUL in a value", "field_value", withField("X-Marker: m\x00m")},
		{"a DEL in a value", "field_value", withField("X-Marker: m\x7fm")},
		{"a bare CR in a value", "field_value", withField("X-Marker: m\rX-Other: m")},
		{"a control byte in a folded value", "field_value", withField("X-Marker: m\r\n m\x01")},
		{"a line without a colon", "field_line", withField("X-Marker")},
		{"a folded line before any field", "field_line", ok + "\r\n X-Marker: m\r\n" + strings.TrimPrefix(withField("A: b"), ok+"\r\n")},
		{"a version of another major number", "version", withStatus("HTTP/2.0 200 OK")},
		{"a version before 1", "version", withStatus("HTTP/0.9 200 OK")},
		{"a version of two digits", "version", withStatus("HTTP/1.10 200 OK")},
		{"chunks in the older version", "framing", answerHead("HTTP/1.0 200 OK", "Transfer-Encoding: chunked") + chunks("", "")},
		{"chunks beside a length in the older version", "framing", answerHead("HTTP/1.0 200 OK", "Transfer-Encoding: chunked", sized) + payload},
		{"an unknown transfer coding", "framing", answerHead(ok, "Transfer-Encoding: gzip, chunked") + chunks("", "")},
		{"chunks named twice", "framing", answerHead(ok, "Transfer-Encoding: chunked", "Transfer-Encoding: chunked") + chunks("", "")},
		{"two lengths", "framing", answerHead(ok, sized, "Content-Length: 1") + payload},
		{"a length with a sign", "framing", answerHead(ok, fmt.Sprintf("Content-Length: +%d", len(payload))) + payload},
		{"an empty length", "framing", answerHead(ok, "Content-Length:") + payload},
		{"an interim answer with a blank in a name", "field_name", "HTTP/1.1 103 Early Hints\r\nX Marker: m\r\n\r\n" + withField("A: b")},
		{"a control byte in the name of a trailer field", "trailer", answerHead(ok, "Transfer-Encoding: chunked") + chunks("", "X\x01Marker: m\r\n")},
		{"a blank in the name of a trailer field", "trailer", answerHead(ok, "Transfer-Encoding: chunked") + chunks("", "X Marker: m\r\n")},
	}
}

// soundAnswer is an answer that a client must get: its status, its body and the value of its
// field X-Marker.
type soundAnswer struct {
	name, text   string
	status       int
	body, marker string
}

func soundAnswers() []soundAnswer {
	const ok = "HTTP/1.1 200 OK"
	const headLike = "HTTP/1.1 000 Trouble\r\nX Marker: m\r\nTransfer-Encoding : chunked\r\n\r\n" + payload
	withStatus := func(line string, status int) soundAnswer {
		return soundAnswer{line, answerHead(line, sized, "X-Marker: m") + payload, status, payload, "m"}
	}
	withField := func(name, field, value string) soundAnswer {
		return soundAnswer{name, answerHead(ok, sized, field) + payload, 200, payload, value}
	}
	return []soundAnswer{
		withStatus("HTTP/1.1 200 ", 200), withStatus("HTTP/1.1 200", 200), withStatus("HTTP/1.1  200  OK", 200), withStatus("HTTP/1.1 299 Odd", 299),
		withStatus("HTTP/1.1 499 Odd", 499), withStatus("HTTP/1.1 599 Odd", 599), withStatus("HTTP/1.1 200 \xe9t\xe9", 200), withStatus("HTTP/1.0 200 OK", 200), withStatus("HTTP/1.2 200 OK", 200),
		withField("every byte of a token", "!#$%&'*+-.^_`|~09azAZ: v\r\nX-Marker: m", "m"),
		withField("bytes beyond ASCII in a value", "X-Marker: \xe9\xff", "\xe9\xff"),
		withField("a tab in a value", "X-Marker: m\tm", "m\tm"),
		withField("blanks around a value", "X-Marker: \t m \t", "m"),
		withField("an empty value", "X-Marker:", ""),
		withField("a folded value", "X-Marker: m\r\n  m", "m m"),
		withField("a value that is folded at once", "X-Marker:\r\n\tm", "m"),
		withField("the length twice", sized+"\r\nX-Marker: m", "m"),
		{"a folded name of the chunks", answerHead(ok, "X-Marker: m", "Transfer-Encoding:\r\n chunked") + chunks("", ""), 200, payload, "m"},
		{"lines that end with LF", strings.ReplaceAll(answerHead(ok, "X-Marker: m", sized), "\r\n", "\n") + payload, 200, payload, "m"},
		{"no length", answerHead(ok, "X-Marker: m") + payload, 200, payload, "m"},
		{"no length in the older version", answerHead("HTTP/1.0 200 OK", "X-Marker: m") + payload, 200, payload, "m"},
		{"chunks with an extension", answerHead(ok, "X-Marker: m", "Transfer-Encoding: chunked") + chunks(";name=value", ""), 200, payload, "m"},
		{"a trailer", answerHead(ok, "X-Marker: m", "Transfer-Encoding: Chunked") + chunks("", "X-Checksum: \xe9\r\n"), 200, payload, "m"},
		{"a length beside chunks", answerHead(ok, "X-Marker: m", "Transfer-Encoding: chunked", "Content-Length: 3") + chunks("", ""), 200, payload, "m"},
		{"interim answers", "HTTP/1.1 100 Continue\r\n\r\n" + strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 8) + answerHead(ok, sized, "X-Marker: m") + payload, 200, payload, "m"},
		{"a body that looks like a head", answerHead(ok, fmt.Sprintf("Content-Length: %d", len(headLike)), "X-Marker: m") + headLike, 200, headLike, "m"},
	}
}

var _ = Describe("a gateway process before a target with invalid answers", Ordered, ContinueOnFailure, func() {
	var h *host
	var target *rawTarget
	answers := map[string]string{}
	BeforeAll(func() {
		store := standin.New()
		DeferCleanup(store.Close)
		target = startRawTarget(func(r *http.Request) string { return answers[r.Header.Get(standin.HeaderRequestID)] })
		store.PutMixedConfig(1, "app", "llm", 1, "key-1")
		store.PutServer("t-plain", "app", target.address, "ready")
		store.PutServer("t-engine", "llm", target.address, "ready")
		h = startHost(serveStore(store))
		Eventually(h.isReady, stepTimeout).Should(BeTrue())
	})
	idOf := func(kind, name string) string { return kind + "-" + strings.ReplaceAll(name, " ", "-") }
	for _, kind := range []string{"plain", "stream"} {
		path := map[string]string{"plain": "/b/x", "stream": "/s/x"}[kind]
		for n, a := range invalidAnswers() {
			// Guards against an answer that is passed on though it is invalid, or that leaves its
			// client without one.
			It(fmt.Sprintf("refuses %s (%s)", a.name, kind), func() {
				id := idOf(kind, fmt.Sprint("invalid ", n))
				answers[id] = a.text
				got := h.bytesOf(path, id)
				if kind == "stream" && a.part == "trailer" {
					Expect(got).To(HavePrefix("HTTP/1.1 200 "))
					Expect(got).NotTo(HaveSuffix("0\r\n\r\n"), "the events have been passed on, but the stream is not complete")
					return
				}
				Expect(got).To(HavePrefix("HTTP/1.1 502 "))
				Expect(got).To(ContainSubstring(`"executed":"unknown"`))
				Expect(strings.ToLower(got)).NotTo(Or(ContainSubstring("payload"), ContainSubstring("marker")))
				Expect(target.ran(id)).To(Equal(1))
			})
			// Guards against broken answers that an operator can't find.
			It(fmt.Sprintf("names %s in a log line and in a counter (%s)", a.name, kind), func() {
				id := idOf(kind, fmt.Sprint("named ", n))
				answers[id] = a.text
				counter := "gateway.answers_invalid." + a.part
				before := h.sumCounters(counter)
				h.bytesOf(path, id)
				Expect(h.sumCounters(counter) - before).To(Equal(1))
				Eventually(h.logText, stepTimeout).Should(MatchRegexp(`"msg":"target's answer is invalid".*"request":"%s".*"target":"t-.*".*"part":"%s"`, id, a.part))
			})
		}
		for n, a := range soundAnswers() {
			// Guards against a check that refuses what the RFCs allow.
			It(fmt.Sprintf("passes on %q (%s)", a.name, kind), func() {
				id := idOf(kind, fmt.Sprint("sound ", n))
				answers[id] = a.text
				resp, body := parsed(h.bytesOf(path, id))
				Expect(resp.StatusCode).To(Equal(a.status))
				Expect(body).To(Equal(a.body))
				Expect(resp.Header.Get("X-Marker")).To(Equal(a.marker))
				Expect(target.ran(id)).To(Equal(1))
			})
		}
	}
})

var _ = Describe("a gateway process before targets some of which send invalid answers", func() {
	const invalid = "HTTP/1.1 200 OK\r\n" + standin.HeaderRequestID + ": @id@\r\n" + standin.HeaderSeal + ": s-1\r\nX Marker: m\r\nContent-Length: 0\r\n\r\n"
	sound := answerHead("HTTP/1.1 200 OK", sized) + payload
	var store *standin.Store
	BeforeEach(func() {
		store = standin.New()
		DeferCleanup(store.Close)
		store.PutMixedConfig(1, "app", "llm", 2, "key-1")
	})
	startTargets := func(answers ...func(*http.Request) string) (targets []*rawTarget) {
		for n, answer := range answers {
			t := startRawTarget(answer)
			store.PutServer(fmt.Sprintf("t-plain-%d", n), "app", t.address, "ready")
			store.PutServer(fmt.Sprintf("t-engine-%d", n), "llm", t.address, "ready")
			targets = append(targets, t)
		}
		return targets
	}
	always := func(text string) func(*http.Request) string { return func(*http.Request) string { return text } }
	start := func(peers ...string) *host {
		h := startHost(serveStore(store), peers...)
		Eventually(h.isReady, stepTimeout).Should(BeTrue())
		return h
	}

	// sendUntil sends requests until one has met a condition. A host allows no retries until it
	// knows the number of hosts, and avoids a target that has failed for a while.
	sendUntil := func(h *host, path, name string, met func(id, got string) bool) {
		n := 0
		Eventually(func() bool {
			n++
			id := fmt.Sprintf("%s-%d", name, n)
			got := h.bytesOf(path, id)
			Expect(strings.ToLower(got)).NotTo(ContainSubstring("marker"))
			return met(id, got)
		}, stepTimeout, "50ms").Should(BeTrue())
	}

	// Guards against an invalid answer that ends a request which another target could serve, and
	// against one after which a request that may have run is sent again.
	It("sends again what may be repeated, and nothing else", func() {
		targets := startTargets(always(invalid), always(sound))
		h := start()
		for _, path := range []string{"/q/x", "/s/x"} {
			sendUntil(h, path, "repeats"+path[1:2], func(id, got string) bool {
				Expect(targets[0].ran(id)).To(BeNumerically("<=", 1))
				Expect(targets[1].ran(id)).To(BeNumerically("<=", 1))
				return targets[0].ran(id) == 1 && targets[1].ran(id) == 1 && strings.HasPrefix(got, "HTTP/1.1 200 ") && strings.Contains(got, "payload")
			})
		}
		sendUntil(h, "/b/x", "runs-once", func(id, got string) bool {
			Expect(targets[0].ran(id) + targets[1].ran(id)).To(Equal(1))
			if targets[0].ran(id) == 0 {
				return false
			}
			Expect(got).To(HavePrefix("HTTP/1.1 502 "))
			Expect(got).To(ContainSubstring(`"executed":"unknown"`))
			return true
		})
	})

	// Guards against a stream that goes on with the invalid answer of another engine.
	It("does not go on with a stream from one", func() {
		const event = "id: 1\ndata: first\n\n"
		var continued atomic.Int64
		answer := func(r *http.Request) string {
			if r.Header.Get(standin.HeaderLastEventID) != "" {
				continued.Add(1)
				return answerHead("HTTP/1.1 200 OK", "X Marker: m") + payload
			}
			return answerHead("HTTP/1.1 200 OK", "Content-Length: 100") + event
		}
		startTargets(answer, answer)
		h := start()
		sendUntil(h, "/s/x", "broken-off", func(_, got string) bool {
			Expect(got).To(HavePrefix("HTTP/1.1 200 "))
			Expect(got).To(ContainSubstring(event))
			Expect(got).NotTo(ContainSubstring("payload"))
			Expect(got).NotTo(HaveSuffix("0\r\n\r\n"), "the stream is not complete")
			return continued.Load() > 0
		})
		Expect(h.sumCounters("gateway.answers_invalid.field_name")).To(Equal(1))
	})

	// Guards against invalid answers that count as crashes: sound requests that share a part of
	// their prompts with the failed ones would be refused.
	It("takes no answer for the end of its target", func() {
		answers := map[string]string{"control": answerHead("HTTP/1.1 200 OK", sized, "X\x01Marker: m") + payload, "blank": invalid, "status": answerHead("HTTP/1.1 000 Trouble", sized) + payload, "sound": sound}
		answer := func(r *http.Request) string {
			kind, _, _ := strings.Cut(r.Header.Get(standin.HeaderRequestID), "-")
			return answers[kind]
		}
		startTargets(answer, answer, answer)
		first := start()
		second := start(first.peerAddress)
		hosts := []*host{first, second}
		parts := standin.HeaderPromptPrefix + ": shared:5,"
		for n := range 6 {
			for _, kind := range []string{"control", "blank", "status"} {
				id := fmt.Sprintf("%s-%d", kind, n)
				Expect(hosts[n%2].bytesOf("/s/x", id, parts+id+":5")).To(HavePrefix("HTTP/1.1 502 "))
			}
		}
		Consistently(func() int {
			return first.sumCounters("gateway.crashes_recorded") + second.sumCounters("gateway.crashes_recorded")
		}, "1s", "100ms").Should(BeZero())
		for n := range 6 {
			id := fmt.Sprintf("sound-%d", n)
			Expect(hosts[n%2].bytesOf("/s/x", id, parts+id+":5")).To(HavePrefix("HTTP/1.1 200 "))
		}
	})

	Describe("and through which other hosts send requests", func() {
		var h *host
		// send sends a request to the target through the process, once it takes such requests.
		send := func(target *rawTarget) (resp *http.Response, body []byte, err error) {
			h = start()
			begun := time.Now()
			client := relay.NewClient(relay.ClientConfig{
				Hosts: func() (near, all []string) { return []string{h.peerAddress}, []string{h.peerAddress} },
				Log:   slog.New(slog.DiscardHandler), Metrics: gometrics.NewRegistry(), Now: func() time.Duration { return time.Since(begun) },
			})
			DeferCleanup(client.Close)
			Eventually(func() int {
				attempt := &call.Attempt{
					Request: &call.Request{ID: "r-1", Method: http.MethodPost, Host: "a.example", URI: "/b/x", Header: http.Header{}, Body: []byte("x")},
					Target:  directory.Target{ID: "t-plain-0", Service: "app", Address: "127.0.0.1:1", StartedUnixMilli: startedTarget}, TimeRemaining: time.Minute, Priority: -1,
				}
				req, buildErr := platform.Dialect{}.BuildRequest(context.Background(), attempt)
				Expect(buildErr).NotTo(HaveOccurred())
				if resp, err = client.Do(req, attempt, func() error { return nil }); err == nil {
					body, err = io.ReadAll(resp.Body)
					_ = resp.Body.Close()
				}
				return target.ran("r-1")
			}, stepTimeout).Should(Equal(1))
			return resp, body, err
		}

		// Guards against an invalid answer that another host passes on, or whose request it
		// reports as one that did not run.
		DescribeTable("refuses what it reads for them", func(answer, part string) {
			_, _, err := send(startTargets(always(answer))[0])
			Expect(failure.KindOf(err)).To(Equal(failure.KindTargetFailed))
			Expect(failure.FromError(err).Executed).To(Equal(failure.ExecutedUnknown))
			Expect(h.sumCounters("gateway.answers_invalid." + part)).To(Equal(1))
		},
			Entry("a status", answerHead("HTTP/1.1 000 Trouble", sized)+payload, "status"),
			Entry("a name", invalid, "field_name"),
			Entry("a trailer", answerHead("HTTP/1.1 200 OK", "Transfer-Encoding: chunked")+chunks("", "X Marker: m\r\n"), "trailer"),
		)

		// Guards against a value that is lost, or ends the request, between hosts.
		It("passes on bytes beyond ASCII in a value", func() {
			resp, body, err := send(startTargets(always(answerHead("HTTP/1.1 200 OK", sized, "X-Marker: \xe9\xff") + payload))[0])
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Header.Get("X-Marker")).To(Equal("\xe9\xff"))
			Expect(string(body)).To(Equal(payload))
		})
	})
})

// Guards against records, and an era, that are read from an invalid answer of the store, and
// against such answers that an operator can't find.
var _ = Describe("a gateway process before a store with invalid answers", func() {
	It("keeps what it knows until the store answers again", func() {
		env := newEnvironment()
		var broken atomic.Bool
		front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !broken.Load() {
				env.store.ServeHTTP(w, r)
				return
			}
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			body := `{"items":[],"events":[{"key":"servers/i-1","deleted":true,"revision":900}],"at":900}`
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nStore-Era : 7\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			_ = conn.Close()
		}))
		DeferCleanup(func() { front.CloseClientConnections(); front.Close() })
		h := startHost(hostPort(front))
		Eventually(h.isReady, stepTimeout).Should(BeTrue())
		Expect(h.post("/b/x", "key-1")).To(Equal(http.StatusOK))
		broken.Store(true)
		Eventually(func() int { return h.sumCounters("published.answers_invalid") }, stepTimeout).Should(BeNumerically(">=", 3))
		Expect(h.logText()).To(And(ContainSubstring(`"msg":"store lost"`), ContainSubstring(`invalid response: field name \"Store-Era \"`)))
		Expect(h.post("/b/x", "key-1")).To(Equal(http.StatusOK))
		broken.Store(false)
		env.publishKeys(4, "key-2")
		Eventually(func() int { return h.post("/b/x", "key-2") }, stepTimeout).Should(Equal(http.StatusOK))
	})
})
