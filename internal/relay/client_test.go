package relay_test

import (
	"context"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	gometrics "github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/call"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/relay"
	"filbertdeck/internal/rpc"
)

var suiteT *testing.T

func TestRelay(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

// inFakeTime runs f with a clock that advances when all goroutines wait. Expectations
// belong after it.
func inFakeTime(f func()) { synctest.Test(suiteT, func(*testing.T) { f() }) }

var (
	answerReply = &filbertv1.RelayReply{Step: &filbertv1.RelayReply_Answer{Answer: &filbertv1.RelayAnswer{Status: http.StatusOK}}}
	aliveReply  = &filbertv1.RelayReply{Step: &filbertv1.RelayReply_Alive{Alive: &filbertv1.RelayAlive{}}}
)

func bodyReply(text string) *filbertv1.RelayReply {
	return &filbertv1.RelayReply{Step: &filbertv1.RelayReply_Body{Body: []byte(text)}}
}

func failureReply(kind failure.Kind) *filbertv1.RelayReply {
	return &filbertv1.RelayReply{Step: &filbertv1.RelayReply_Failure{Failure: &filbertv1.RelayFailure{Kind: string(kind), Executed: string(failure.ExecutedNo)}}}
}

// scriptedStream is a stream to a host. Its replies arrive at once, except the late one,
// which arrives when the stream has been ended.
type scriptedStream struct {
	grpc.ClientStream
	replies []*filbertv1.RelayReply
	late    *filbertv1.RelayReply
	ended   chan struct{}
	end     func()
}

func newScriptedStream(late *filbertv1.RelayReply, replies ...*filbertv1.RelayReply) *scriptedStream {
	ended := make(chan struct{})
	return &scriptedStream{replies: replies, late: late, ended: ended, end: sync.OnceFunc(func() { close(ended) })}
}

func (*scriptedStream) Send(*filbertv1.RelayCall) error { return nil }

func (s *scriptedStream) Recv() (*filbertv1.RelayReply, error) {
	if len(s.replies) > 0 {
		reply := s.replies[0]
		s.replies = s.replies[1:]
		return reply, nil
	}
	<-s.ended
	if late := s.late; late != nil {
		s.late = nil
		return late, nil
	}
	return nil, status.Error(codes.Canceled, "context canceled")
}

func startOn(stream *scriptedStream) (*http.Response, error) {
	client := relay.NewClient(relay.ClientConfig{
		Log: slog.New(slog.DiscardHandler), Metrics: gometrics.NewRegistry(), Now: func() time.Duration { return 0 },
	})
	attempt := &call.Attempt{Request: &call.Request{ID: "r-1"}, Target: directory.Target{ID: "i-1", Service: "app"}}
	return client.StartOn(stream, stream.end, httptest.NewRequest(http.MethodGet, "http://127.0.0.1:1/", nil), attempt)
}

var _ = Describe("a host that says nothing for too long", func() {
	// Guards against an answer on an exchange that has been ended: its caller would get a
	// status whose body can't be read.
	It("has not answered with a header that arrives when the exchange is ended", func() {
		var resp *http.Response
		var err error
		inFakeTime(func() { resp, err = startOn(newScriptedStream(answerReply)) })
		Expect(resp).To(BeNil())
		Expect(failure.KindOf(err)).To(Equal(failure.KindTargetLost))
		Expect(failure.FromError(err).Executed).To(Equal(failure.ExecutedUnknown))
		Expect(err).To(MatchError(ContainSubstring("said nothing")))
	})

	// Guards against the end of an exchange by this host that is told as a broken connection.
	DescribeTable("is named as the cause", func(late *filbertv1.RelayReply) {
		var err error
		inFakeTime(func() { _, err = startOn(newScriptedStream(late)) })
		Expect(failure.KindOf(err)).To(Equal(failure.KindTargetLost))
		Expect(failure.FromError(err).Executed).To(Equal(failure.ExecutedUnknown))
		Expect(err).To(MatchError(ContainSubstring("said nothing")))
	},
		Entry("when nothing arrives", nil),
		Entry("when a keep-alive arrives at the end", aliveReply),
	)

	// Guards against the loss of a refusal, which says that the request did not run.
	It("has refused the request with a failure that arrives when the exchange is ended", func() {
		var err error
		inFakeTime(func() { _, err = startOn(newScriptedStream(failureReply(failure.KindTargetFailed))) })
		Expect(failure.KindOf(err)).To(Equal(failure.KindTargetFailed))
		Expect(failure.FromError(err).Executed).To(Equal(failure.ExecutedNo))
	})

	// Guards against the loss of a last event that has arrived.
	It("ends a body after what has arrived of it", func() {
		var text []byte
		var err, bodyErr error
		inFakeTime(func() {
			var resp *http.Response
			if resp, err = startOn(newScriptedStream(bodyReply("last"), answerReply, bodyReply("first "))); err == nil {
				text, bodyErr = io.ReadAll(resp.Body)
			}
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(Equal("first last"))
		Expect(failure.KindOf(bodyErr)).To(Equal(failure.KindTargetLost))
		Expect(bodyErr).To(MatchError(ContainSubstring("said nothing")))
	})
})

// deafSender does not connect to a target until deaf is closed.
type deafSender struct {
	immediateSender
	deaf chan struct{}
}

func (s deafSender) SendForPeer(req *http.Request, t *directory.ObservedTarget, a *call.Attempt, ready func() error) (*http.Response, error) {
	<-s.deaf
	return s.immediateSender.SendForPeer(req, t, a, ready)
}

// lateContext is a context whose deadline has passed and whose timer has not run yet.
type lateContext struct {
	context.Context
	deadline time.Time
}

func (c lateContext) Deadline() (time.Time, bool) { return c.deadline, true }

var _ = Describe("a request that ends while a host connects to its target", func() {
	// Guards against a deadline that counts as a failure of the host: each request with
	// little time left would take a sound host from those that follow.
	DescribeTable("says nothing about the host", func(end func() (context.Context, context.CancelFunc)) {
		sender := deafSender{deaf: make(chan struct{})}
		host := serveRelay(sender)
		metrics := gometrics.NewRegistry()
		client := relay.NewClient(relay.ClientConfig{
			Hosts: func() (near, all []string) { return []string{host}, []string{host} }, HostTimeout: time.Minute,
			Log: slog.New(slog.DiscardHandler), Metrics: metrics, Now: func() time.Duration { return time.Minute },
		})
		DeferCleanup(client.Close)
		send := func(ctx context.Context) error {
			req := httptest.NewRequest(http.MethodPost, "http://127.0.0.1:1/", nil).WithContext(ctx)
			attempt := &call.Attempt{Request: &call.Request{ID: "r-1"}, Target: directory.Target{ID: "i-1", Service: "app"}}
			resp, err := client.Do(req, attempt, func() error { return nil })
			if err != nil {
				return err
			}
			return resp.Body.Close()
		}
		ctx, cancel := end()
		defer cancel()
		err := send(ctx)
		Expect(failure.KindOf(err)).To(Equal(failure.KindNoTarget))
		Expect(failure.FromError(err).Executed).To(Equal(failure.ExecutedNo))
		close(sender.deaf)
		Expect(send(context.Background())).To(Succeed())
		Expect(gometrics.GetOrRegisterCounter("relay.failed", metrics).Count()).To(BeZero())
	},
		Entry("when its deadline passes", func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.Background(), 100*time.Millisecond)
		}),
		Entry("when its deadline has passed and its context has not ended yet", func() (context.Context, context.CancelFunc) {
			return lateContext{context.Background(), time.Now()}, func() {}
		}),
		Entry("when its caller leaves", func() (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(100*time.Millisecond, cancel)
			return ctx, cancel
		}),
	)

	// Guards against a silent host that is asked again and again.
	It("says that a host which had its whole time does not answer", func() {
		sender := deafSender{deaf: make(chan struct{})}
		host := serveRelay(sender)
		DeferCleanup(func() { close(sender.deaf) })
		metrics := gometrics.NewRegistry()
		client := relay.NewClient(relay.ClientConfig{
			Hosts: func() (near, all []string) { return []string{host}, []string{host} }, HostTimeout: 10 * time.Millisecond,
			Log: slog.New(slog.DiscardHandler), Metrics: metrics, Now: func() time.Duration { return time.Minute },
		})
		DeferCleanup(client.Close)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		req := httptest.NewRequest(http.MethodPost, "http://127.0.0.1:1/", nil).WithContext(ctx)
		_, err := client.Do(req, &call.Attempt{Request: &call.Request{ID: "r-1"}, Target: directory.Target{ID: "i-1", Service: "app"}}, func() error { return nil })
		Expect(failure.KindOf(err)).To(Equal(failure.KindNoTarget))
		Expect(gometrics.GetOrRegisterCounter("relay.failed", metrics).Count()).To(BeEquivalentTo(1))
	})
})

// serveRelay serves the requests of other hosts until the spec ends, and returns the address.
func serveRelay(sender relay.Sender) string {
	return serveRelayWithin(sender, newMemory(math.MaxInt64))
}

// serveRelayWithin is serveRelay with limited memory.
func serveRelayWithin(sender relay.Sender, m *memory) string {
	server := rpc.NewServer(rpc.Credentials{})
	filbertv1.RegisterRelayServer(server, relay.NewServer(relay.ServerConfig{
		Sender: sender, IsHost: func(string) bool { return true }, Begin: func() (func(), error) { return func() {}, nil },
		Reserve: m.reserve, Log: slog.New(slog.DiscardHandler), Metrics: gometrics.NewRegistry(),
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(l) }()
	DeferCleanup(server.Stop)
	return l.Addr().String()
}

// Guards against the invalid answer of a target that a host of an earlier version passes on.
var _ = DescribeTable("an invalid answer that another host passes on", func(answer *filbertv1.RelayAnswer) {
	stream := newScriptedStream(nil, &filbertv1.RelayReply{Step: &filbertv1.RelayReply_Answer{Answer: answer}}, bodyReply("ok"))
	resp, err := startOn(stream)
	Expect(resp).To(BeNil())
	Expect(failure.KindOf(err)).To(Equal(failure.KindTargetFailed))
	Expect(failure.FromError(err).Executed).To(Equal(failure.ExecutedUnknown))
	Expect(stream.ended).To(BeClosed())
},
	Entry("status 000", &filbertv1.RelayAnswer{Status: 0}),
	Entry("status 600", &filbertv1.RelayAnswer{Status: 600}),
	Entry("a switch of protocols", &filbertv1.RelayAnswer{Status: http.StatusSwitchingProtocols}),
	Entry("a blank in a name", &filbertv1.RelayAnswer{Status: http.StatusOK, Headers: []*filbertv1.Header{{Name: "X Bad", Value: []byte("1")}}}),
	Entry("a blank at the end of a name", &filbertv1.RelayAnswer{Status: http.StatusServiceUnavailable, Headers: []*filbertv1.Header{{Name: "Content-Length ", Value: []byte("1")}}}),
)
