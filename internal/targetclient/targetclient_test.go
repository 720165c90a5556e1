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
	"filbertdeck/internal/httpcheck"
	"filbertdeck/internal/targetclient"
)

func TestTargetClient(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "target client")
}

// recordingTarget is a target that records the calls that it ran.
type recordingTarget struct {
	listener net.Listener
	mu       sync.Mutex
	bodies   []string // of the calls that ran, in order
	keys     []string
}

// newRecordingTarget starts a target that, on each connection, responds to the
// first calls, as many as successes says, and passes the connection of the next
// call to fail.
func newRecordingTarget(successes int, fail func(net.Conn)) *recordingTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &recordingTarget{listener: l}
	DeferCleanup(l.Close)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(conn, successes, fail)
		}
	}()
	return r
}

func (r *recordingTarget) serve(conn net.Conn, successes int, fail func(net.Conn)) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		r.mu.Lock()
		r.bodies = append(r.bodies, string(body))
		r.keys = append(r.keys, req.Header.Get("Idempotency-Key")+req.Header.Get("X-Idempotency-Key"))
		r.mu.Unlock()
		if n >= successes {
			fail(conn)
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func (r *recordingTarget) executions(body string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.bodies {
		if b == body {
			n++
		}
	}
	return n
}

func (r *recordingTarget) request(method, body, header string) *http.Request {
	req, err := http.NewRequest(method, "http://"+r.listener.Addr().String()+"/book", bytes.NewReader([]byte(body)))
	Expect(err).NotTo(HaveOccurred())
	if header != "" {
		req.Header.Set(header, "key-1")
	}
	return req
}

func drainBody(resp *http.Response, err error) error {
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	return err
}

var _ = Describe("automatic retries", func() {
	// The target runs the call, then its connection drops before the response.
	// Go's transport assumes that the reused connection was closed while idle
	// and retries, so that the call runs twice and the caller sees one success.
	DescribeTable("run a call once where http.Client runs it twice",
		func(method, header string) {
			closeConn := func(net.Conn) {}
			controlTarget := newRecordingTarget(1, closeConn)
			defaultClient := &http.Client{}
			Expect(drainBody(defaultClient.Do(controlTarget.request("POST", "warm up", "")))).To(Succeed())
			Expect(drainBody(defaultClient.Do(controlTarget.request(method, "booking", header)))).To(Succeed(), "the caller receives no error")
			Expect(controlTarget.executions("booking")).To(Equal(2), "http.Client must show the double execution")

			for name, send := range map[string]func(*http.Request) (*http.Response, error){
				"once": func(req *http.Request) (*http.Response, error) {
					return targetclient.NewAtMostOnceClient(targetclient.Settings{}).Do(req, nil)
				},
				"ordinary": targetclient.New(targetclient.Settings{}).Do,
			} {
				target := newRecordingTarget(1, closeConn)
				Expect(drainBody(send(target.request("POST", "warm up", "")))).To(Succeed())
				err := drainBody(send(target.request(method, "booking", header)))
				Expect(target.executions("booking")).To(Equal(1), name)
				if name == "ordinary" {
					Expect(failure.FromError(err).Executed).To(Equal(failure.ExecutedUnknown))
				} else {
					Expect(err).NotTo(HaveOccurred(), "a new connection must not fail")
				}
				if header != "" {
					Expect(target.keys).To(ContainElement("key-1"), "the target still receives the key")
				}
			}
		},
		Entry("with Idempotency-Key", "POST", "Idempotency-Key"),
		Entry("with X-Idempotency-Key", "POST", "X-Idempotency-Key"),
		Entry("with a replayable body", "GET", ""),
	)

	// A client that follows a redirect which keeps method and body sends the
	// call a second time.
	It("do not follow a redirect", func() {
		redirect := func(conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 307 Temporary Redirect\r\nLocation: /book\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		}
		target := newRecordingTarget(0, redirect)
		_ = drainBody((&http.Client{}).Do(target.request("POST", "naive", "")))
		Expect(target.executions("naive")).To(BeNumerically(">", 1))
		resp, err := targetclient.NewAtMostOnceClient(targetclient.Settings{}).Do(target.request("POST", "once", ""), nil)
		Expect(drainBody(resp, err)).To(Succeed())
		Expect(resp.StatusCode).To(Equal(307))
		Expect(target.executions("once")).To(Equal(1))
	})

	// When an owner runs a forwarded call and crashes before its response, gRPC
	// returns Unavailable. A retry policy, which a resolver can supply in its
	// service config, would send the call again.
	It("do not follow gRPC retry policies", func() {
		const policy = `{"methodConfig":[{"name":[{}],"retryPolicy":{"maxAttempts":3,"initialBackoff":"0.001s",
			"maxBackoff":"0.001s","backoffMultiplier":1,"retryableStatusCodes":["UNAVAILABLE"]}}]}`
		for _, c := range []struct {
			options []grpc.DialOption
			runs    int
		}{{nil, 3}, {targetclient.AtMostOnceDialOptions(), 1}} {
			owner := &unavailableOwner{}
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

type unavailableOwner struct {
	filbertv1.UnimplementedForwardServer
	runs int
}

func (o *unavailableOwner) RunOnce(context.Context, *filbertv1.RunOnceRequest) (*filbertv1.RunOnceReply, error) {
	o.runs++
	return nil, status.Error(codes.Unavailable, "crashed")
}

var _ = Describe("the execution state in an error", func() {
	shortTimeouts := targetclient.Settings{DialTimeout: 200 * time.Millisecond, ResponseHeaderTimeout: 100 * time.Millisecond, ReadIdleTimeout: 100 * time.Millisecond}
	hang := func(net.Conn) { time.Sleep(time.Second) }
	errRevoked := errors.New("permission was revoked")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	unusedAddress := listener.Addr().String()
	_ = listener.Close()

	DescribeTable("is certain before the first byte and unknown after it",
		func(beforeWrite func() error, fail func(net.Conn), unreachable bool, kind failure.Kind, executed failure.Executed, runs int) {
			target := newRecordingTarget(0, fail)
			req := target.request("POST", "booking", "Idempotency-Key")
			if unreachable {
				req.URL.Host = unusedAddress
			}
			err := drainBody(targetclient.NewAtMostOnceClient(shortTimeouts).Do(req, beforeWrite))
			Expect(failure.KindOf(err)).To(Equal(kind))
			Expect(failure.FromError(err).Executed).To(Equal(executed))
			Expect(target.executions("booking")).To(Equal(runs))
		},
		Entry("nothing listens at the address", nil, nil, true, failure.KindTargetFailed, failure.ExecutedNo, 0),
		Entry("beforeWrite fails", func() error { return failure.Wrap(errRevoked, failure.KindKeyUnvouched, "late").WithExecutionUnknown() },
			nil, false, failure.KindKeyUnvouched, failure.ExecutedUnknown, 0),
		Entry("the target runs the call, then drops the connection", nil, func(net.Conn) {}, false, failure.KindTargetLost, failure.ExecutedUnknown, 1),
		Entry("the target runs the call, then hangs", nil, hang, false, failure.KindTargetTimeout, failure.ExecutedUnknown, 1),
		Entry("the target sends an invalid response", nil, func(c net.Conn) { _, _ = io.WriteString(c, "???\r\n\r\n") }, false,
			failure.KindTargetLost, failure.ExecutedUnknown, 1),
	)

	// An error status with the header is the only response after which a caller
	// may repeat a call; a success status contradicts the header.
	DescribeTable("is no only for an error status with the header",
		func(code int, header string, want bool) {
			answer := fmt.Sprintf("HTTP/1.1 %d X\r\nFilbert-Executed: %s\r\nContent-Length: 0\r\n\r\n", code, header)
			target := newRecordingTarget(0, func(c net.Conn) { _, _ = io.WriteString(c, answer) })
			resp, err := targetclient.NewAtMostOnceClient(shortTimeouts).Do(target.request("POST", "x", ""), nil)
			Expect(drainBody(resp, err)).To(Succeed())
			Expect(targetclient.ReportsNotExecuted(resp)).To(Equal(want))
		},
		Entry(nil, 503, "no", true), Entry(nil, 503, "", false), Entry(nil, 503, "yes", false), Entry(nil, 200, "no", false),
	)

	// When a middlebox drops the state of a connection within a response, neither
	// data nor an error arrives; without a timeout the caller waits forever.
	It("comes after a timeout when a response stalls", func() {
		target := newRecordingTarget(0, func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
			time.Sleep(time.Second)
		})
		for _, send := range []func(*http.Request) (*http.Response, error){
			targetclient.New(shortTimeouts).Do,
			func(r *http.Request) (*http.Response, error) {
				return targetclient.NewAtMostOnceClient(shortTimeouts).Do(r, nil)
			},
		} {
			resp, err := send(target.request("POST", "x", ""))
			Expect(err).NotTo(HaveOccurred())
			text, err := io.ReadAll(resp.Body)
			Expect(string(text)).To(Equal("half"))
			Expect(err).To(HaveOccurred())
			_ = resp.Body.Close()
		}
	})

	// The caller cancels while the connection is being established. Once Do has
	// returned ExecutedNo, the request must not be written any more.
	It("stays true when a call is cancelled while connecting", func() {
		target := newRecordingTarget(0, func(net.Conn) {})
		var notExecuted []string
		for i := range 50 {
			body := fmt.Sprint("call ", i)
			ctx, cancel := context.WithCancel(context.Background())
			go cancel()
			err := drainBody(targetclient.NewAtMostOnceClient(shortTimeouts).Do(target.request("POST", body, "").WithContext(ctx), nil))
			if err != nil && failure.FromError(err).Executed == failure.ExecutedNo {
				notExecuted = append(notExecuted, body)
			}
		}
		Consistently(func() (ran int) {
			for _, body := range notExecuted {
				ran += target.executions(body)
			}
			return ran
		}, "100ms", "10ms").Should(BeZero())
	})
})

var _ = Describe("an invalid response", func() {
	// Guards against a response that is passed on, or learned from, by a caller of either client
	// though it is invalid, and against one after which its call counts as not run.
	DescribeTable("is a failure after which the call may have run", func(response string, part httpcheck.Part) {
		for name, send := range map[string]func(*http.Request) (*http.Response, error){
			"once": func(req *http.Request) (*http.Response, error) {
				return targetclient.NewAtMostOnceClient(targetclient.Settings{}).Do(req, nil)
			},
			"ordinary": targetclient.New(targetclient.Settings{}).Do,
		} {
			for _, method := range []string{"POST", "GET"} {
				target := newRecordingTarget(0, func(conn net.Conn) { _, _ = io.WriteString(conn, response) })
				resp, err := send(target.request(method, "booking", ""))
				Expect(resp).To(BeNil(), name)
				Expect(failure.KindOf(err)).To(Equal(failure.KindTargetFailed), name)
				Expect(failure.FromError(err).Executed).To(Equal(failure.ExecutedUnknown), name)
				var invalid *httpcheck.Error
				Expect(errors.As(err, &invalid)).To(BeTrue(), name)
				Expect(invalid.Part).To(Equal(part), name)
				Expect(target.executions("booking")).To(Equal(1), name)
			}
		}
	},
		Entry("status 000", "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nok", httpcheck.PartStatus),
		Entry("a blank in a name", "HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 2\r\n\r\nok", httpcheck.PartFieldName),
		Entry("a blank in a name of a refusal", "HTTP/1.1 503 Service Unavailable\r\nFilbert-Executed: no\r\nX Bad: 1\r\nContent-Length: 0\r\n\r\n", httpcheck.PartFieldName),
		Entry("chunks in an older version", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", httpcheck.PartFraming),
	)
})
