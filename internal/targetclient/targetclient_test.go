package targetclient_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	filbertv1 "filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/targetclient"
)

func TestTargetClient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "target client")
}

// recorder is a target that keeps its own record of what it ran. It answers
// the first call on each connection and then does as told.
type recorder struct {
	listener net.Listener
	mu       sync.Mutex
	ran      []string // the bodies run, in order
	keys     []string
}

// newRecorder serves each connection by answering its first `healthy` calls and
// handing the next one to fail.
func newRecorder(healthy int, fail func(net.Conn)) *recorder {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &recorder{listener: l}
	DeferCleanup(l.Close)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(conn, healthy, fail)
		}
	}()
	return r
}

func (r *recorder) serve(conn net.Conn, healthy int, fail func(net.Conn)) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		r.mu.Lock()
		r.ran = append(r.ran, string(body))
		r.keys = append(r.keys, req.Header.Get("Idempotency-Key")+req.Header.Get("X-Idempotency-Key"))
		r.mu.Unlock()
		if n >= healthy {
			fail(conn)
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func (r *recorder) count(body string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.ran {
		if b == body {
			n++
		}
	}
	return n
}

func (r *recorder) request(method, body, header string) *http.Request {
	req, err := http.NewRequest(method, "http://"+r.listener.Addr().String()+"/book", bytes.NewReader([]byte(body)))
	Expect(err).NotTo(HaveOccurred())
	if header != "" {
		req.Header.Set(header, "key-1")
	}
	return req
}

func drain(resp *http.Response, err error) error {
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	return err
}

var _ = Describe("hidden re-sends", func() {
	// The target books, then its connection drops before the answer. Go's
	// transport takes the reused connection for an idle one that was closed
	// and sends the booking again by itself. The user sees one success and two
	// crews.
	DescribeTable("book once where a plain client books twice",
		func(method, header string) {
			drop := func(net.Conn) {}
			naive := newRecorder(1, drop)
			plain := &http.Client{}
			Expect(drain(plain.Do(naive.request("POST", "warm up", "")))).To(Succeed())
			Expect(drain(plain.Do(naive.request(method, "booking", header)))).To(Succeed(), "the caller sees no error")
			Expect(naive.count("booking")).To(Equal(2), "the plain client must show the fault")

			for name, do := range map[string]func(*http.Request) (*http.Response, error){
				"once": func(req *http.Request) (*http.Response, error) {
					return targetclient.NewAtMostOnceClient(targetclient.Settings{}).Do(req, nil)
				},
				"ordinary": targetclient.New(targetclient.Settings{}).Do,
			} {
				target := newRecorder(1, drop)
				Expect(drain(do(target.request("POST", "warm up", "")))).To(Succeed())
				err := drain(do(target.request(method, "booking", header)))
				Expect(target.count("booking")).To(Equal(1), name)
				if name == "ordinary" {
					Expect(failure.FromError(err).Executed).To(Equal(failure.ExecutedUnknown))
				} else {
					Expect(err).NotTo(HaveOccurred(), "its own connection was healthy")
				}
				if header != "" {
					Expect(target.keys).To(ContainElement("key-1"), "the target still receives the key")
				}
			}
		},
		Entry("by Idempotency-Key", "POST", "Idempotency-Key"),
		Entry("by X-Idempotency-Key", "POST", "X-Idempotency-Key"),
		Entry("by a replayable body", "GET", ""),
	)

	// A target answers a booking with a redirect that keeps method and body. A
	// client that follows it books at the second place too.
	It("hands a redirect back", func() {
		redirect := func(conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 307 Temporary Redirect\r\nLocation: /book\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		}
		target := newRecorder(0, redirect)
		_ = drain((&http.Client{}).Do(target.request("POST", "naive", "")))
		Expect(target.count("naive")).To(BeNumerically(">", 1))
		resp, err := targetclient.NewAtMostOnceClient(targetclient.Settings{}).Do(target.request("POST", "once", ""), nil)
		Expect(drain(resp, err)).To(Succeed())
		Expect(resp.StatusCode).To(Equal(307))
		Expect(target.count("once")).To(Equal(1))
	})

	// An owner runs a forwarded booking and then dies with the answer, which
	// grpc reports as unavailable. A retry policy, which a resolver can bring
	// unasked, sends the booking again.
	It("switches grpc's retry policies off", func() {
		const policy = `{"methodConfig":[{"name":[{}],"retryPolicy":{"maxAttempts":3,"initialBackoff":"0.001s",
			"maxBackoff":"0.001s","backoffMultiplier":1,"retryableStatusCodes":["UNAVAILABLE"]}}]}`
		for _, c := range []struct {
			options []grpc.DialOption
			runs    int
		}{{nil, 3}, {targetclient.OnceDialOptions(), 1}} {
			owner := &dyingOwner{}
			server := grpc.NewServer()
			filbertv1.RegisterForwardServer(server, owner)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			go func() { _ = server.Serve(l) }()
			options := append([]grpc.DialOption{
				grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDefaultServiceConfig(policy)}, c.options...)
			conn, err := grpc.NewClient(l.Addr().String(), options...)
			Expect(err).NotTo(HaveOccurred())
			_, err = filbertv1.NewForwardClient(conn).RunOnce(context.Background(), &filbertv1.RunOnceRequest{Key: "k"})
			Expect(status.Code(err)).To(Equal(codes.Unavailable))
			_ = conn.Close()
			server.Stop()
			Expect(owner.runs).To(Equal(c.runs))
		}
	})
})

type dyingOwner struct {
	filbertv1.UnimplementedForwardServer
	runs int
}

func (d *dyingOwner) RunOnce(context.Context, *filbertv1.RunOnceRequest) (*filbertv1.RunOnceReply, error) {
	d.runs++
	return nil, status.Error(codes.Unavailable, "dying")
}

var _ = Describe("what a failure says", func() {
	short := targetclient.Settings{DialTimeout: 200 * time.Millisecond, ResponseHeaderTimeout: 100 * time.Millisecond, ReadIdleTimeout: 100 * time.Millisecond}
	freeze := func(net.Conn) { time.Sleep(time.Second) }
	refused := errors.New("no right any more")
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	nobody := free.Addr().String()
	_ = free.Close()

	DescribeTable("is certain before the first byte and unknown after it",
		func(before func() error, fail func(net.Conn), dead bool, kind failure.Kind, executed failure.Executed, runs int) {
			target := newRecorder(0, fail)
			req := target.request("POST", "booking", "Idempotency-Key")
			if dead {
				req.URL.Host = nobody
			}
			err := drain(targetclient.NewAtMostOnceClient(short).Do(req, before))
			Expect(failure.KindOf(err)).To(Equal(kind))
			Expect(failure.FromError(err).Executed).To(Equal(executed))
			Expect(target.count("booking")).To(Equal(runs))
		},
		Entry("nobody listens", nil, nil, true, failure.KindTargetFailed, failure.ExecutedNo, 0),
		Entry("the last check fails", func() error { return failure.Wrap(refused, failure.KindKeyUnvouched, "late").WithExecutionUnknown() },
			nil, false, failure.KindKeyUnvouched, failure.ExecutedUnknown, 0),
		Entry("it runs, then drops", nil, func(net.Conn) {}, false, failure.KindTargetLost, failure.ExecutedUnknown, 1),
		Entry("it runs, then freezes", nil, freeze, false, failure.KindTargetTimeout, failure.ExecutedUnknown, 1),
		Entry("it answers nonsense", nil, func(c net.Conn) { _, _ = io.WriteString(c, "???\r\n\r\n") }, false,
			failure.KindTargetLost, failure.ExecutedUnknown, 1),
	)

	// A refusal that says so is the only answer after which a caller may book
	// again; a success with the same header contradicts itself.
	DescribeTable("believes only a refusal that says it did not run",
		func(code int, header string, want bool) {
			answer := fmt.Sprintf("HTTP/1.1 %d X\r\nFilbert-Executed: %s\r\nContent-Length: 0\r\n\r\n", code, header)
			target := newRecorder(0, func(c net.Conn) { _, _ = io.WriteString(c, answer) })
			resp, err := targetclient.NewAtMostOnceClient(short).Do(target.request("POST", "x", ""), nil)
			Expect(drain(resp, err)).To(Succeed())
			Expect(targetclient.DidNotRun(resp)).To(Equal(want))
		},
		Entry(nil, 503, "no", true), Entry(nil, 503, "", false), Entry(nil, 503, "yes", false), Entry(nil, 200, "no", false),
	)

	// A box between the two ends forgets the connection in the middle of an
	// answer. Nothing arrives any more and nothing fails either; without a
	// bound the technician waits for good.
	It("ends an answer that falls silent", func() {
		target := newRecorder(0, func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
			time.Sleep(time.Second)
		})
		for _, do := range []func(*http.Request) (*http.Response, error){
			targetclient.New(short).Do,
			func(r *http.Request) (*http.Response, error) {
				return targetclient.NewAtMostOnceClient(short).Do(r, nil)
			},
		} {
			resp, err := do(target.request("POST", "x", ""))
			Expect(err).NotTo(HaveOccurred())
			text, err := io.ReadAll(resp.Body)
			Expect(string(text)).To(Equal("half"))
			Expect(err).To(HaveOccurred())
			_ = resp.Body.Close()
		}
	})

	// The caller hangs up while the connection is being made. The write that
	// would follow must not happen after "did not run" was said.
	It("sends nothing after a call was given up", func() {
		target := newRecorder(0, func(net.Conn) {})
		var denied []string
		for i := range 50 {
			body := fmt.Sprint("call ", i)
			ctx, cancel := context.WithCancel(context.Background())
			go cancel()
			err := drain(targetclient.NewAtMostOnceClient(short).Do(target.request("POST", body, "").WithContext(ctx), nil))
			if err != nil && failure.FromError(err).Executed == failure.ExecutedNo {
				denied = append(denied, body)
			}
		}
		Consistently(func() (ran int) {
			for _, body := range denied {
				ran += target.count(body)
			}
			return ran
		}, "100ms", "10ms").Should(BeZero())
	})
})
