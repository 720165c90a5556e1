package gateway_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/call"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/relay"
	"filbertdeck/internal/rpc"
	"filbertdeck/platform/standin"
)

var _ = Describe("a request that goes through another host", func() {
	// start runs a host that is partitioned from its targets and a peer that is not.
	start := func(targets ...*fakeTarget) (host, peer *fixture) {
		host, peer = startPeers()
		for _, t := range targets {
			host.add(t.directoryEntry("app", "dc-1"))
			peer.add(t.directoryEntry("app", "dc-1"))
		}
		host.cut.set(refused)
		return host, peer
	}

	// Guards against request targets, headers or bodies that change on the way, and
	// against a target that is given more time than is left.
	It("arrives as it was sent, with the time that is left", func() {
		target := startTarget("app-1", respond(completeAnswer))
		host, _ := start(target)
		req := host.request(http.MethodPost, "/book/a%2Fb?x=1&y=%20")
		req.Header.Set(standin.HeaderDeadline, "900")
		req.Header.Set("X-Custom", "kept")
		// Keeps the test's own client from adding one.
		req.Header.Set("User-Agent", "")
		Expect(host.do(req).status).To(Equal(http.StatusOK))
		got := target.requests()
		Expect(got).To(HaveLen(1))
		Expect(got[0].RequestURI).To(Equal("/book/a%2Fb?x=1&y=%20"))
		Expect(got[0].Host).To(Equal("a.example"))
		Expect(got[0].Header.Get("X-Custom")).To(Equal("kept"))
		Expect(got[0].Header).NotTo(HaveKey("User-Agent"))
		Expect(target.bodies).To(Equal([]string{"hello"}))
		left, err := strconv.Atoi(got[0].Header.Get(standin.HeaderDeadline))
		Expect(err).NotTo(HaveOccurred())
		Expect(left).To(BeNumerically("<=", 900))
	})

	// Guards against a booking that runs twice: once it may have been written, its
	// outcome is unknown and it goes nowhere else.
	It("is not sent again when the target breaks the connection", func() {
		target := startTarget("app-1", func(net.Conn, *http.Request) {})
		host, _ := start(target)
		Expect(host.do(host.request(http.MethodPost, "/book/1")).status).To(Equal(http.StatusBadGateway))
		Expect(target.requests()).To(HaveLen(1))
	})

	// Guards against a host that takes a request over while it stops, and cuts it off.
	It("is not sent by a host that may exit before it has ended", func() {
		target := startTarget("app-1", respond(completeAnswer))
		host, peer := start(target)
		peer.gateway.AnnounceShutdown(time.Now().Add(time.Hour), time.Now().Add(20*time.Second))
		quick := host.request(http.MethodPost, "/book/1")
		quick.Header.Set(standin.HeaderDeadline, "2000")
		Expect(host.do(quick).status).To(Equal(http.StatusOK))
		peer.gateway.AnnounceShutdown(time.Now().Add(time.Hour), time.Now().Add(time.Second))
		Expect(host.do(host.request(http.MethodPost, "/book/2")).status).To(Equal(http.StatusServiceUnavailable))
		Expect(target.requests()).To(HaveLen(1))
	})

	// Guards against answers that look complete although the target broke off.
	It("does not end as complete when the answer breaks off", func() {
		target := startTarget("app-1", respond("HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s-1\nContent-Length: 40\n\nhalf"))
		host, _ := start(target)
		Expect(host.do(host.request(http.MethodPost, "/book/1")).status).To(Equal(http.StatusBadGateway))
	})

	// Guards against work that goes on at the target after its caller has left.
	It("ends at the target when its caller leaves", func() {
		arrived, left := make(chan struct{}), make(chan struct{})
		target := startTarget("app-1", func(conn net.Conn, _ *http.Request) {
			close(arrived)
			_, err := conn.Read(make([]byte, 1))
			if err != nil {
				close(left)
			}
		})
		host, _ := start(target)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = host.do(host.request(http.MethodPost, "/book/1").WithContext(ctx)) }()
		Eventually(arrived, "5s").Should(BeClosed())
		cancel()
		Eventually(left, "5s").Should(BeClosed())
	})

	// Guards against requests that go round between hosts that are all partitioned, and
	// against callers that wait for them.
	It("goes no further when the other host is partitioned too, and has not run", func() {
		target := startTarget("app-1", respond(completeAnswer))
		host, peer := start(target)
		peer.cut.set(refused)
		res := host.do(host.request(http.MethodPost, "/book/1"))
		Expect(res.status).To(Equal(http.StatusServiceUnavailable))
		Expect(res.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(target.requests()).To(BeEmpty())
		Expect(peer.relayedCount()).To(BeZero())
	})

	// Guards against requests that ask all hosts once for each target when none reaches
	// the service.
	It("asks a few hosts once when no host reaches the service", func() {
		var entries []*fakeTarget
		for n := range 6 {
			entries = append(entries, startTarget("app-"+strconv.Itoa(n), respond(completeAnswer)))
		}
		var addresses []string
		var peers []*fixture
		for range 12 {
			peer := startGateway()
			peer.cut.set(refused)
			peers = append(peers, peer)
			addresses = append(addresses, servePeer(peer))
		}
		client, registry := relayWithMetrics(addresses...)
		host := startGatewayWithRelay(client)
		host.cut.set(refused)
		for _, gw := range append(peers, host) {
			for _, t := range entries {
				gw.add(t.directoryEntry("app", "dc-1"))
			}
		}
		for _, peer := range peers {
			Expect(peer.do(peer.request(http.MethodPost, "/book/0")).status).To(Equal(http.StatusServiceUnavailable))
			Expect(peer.countLost()).To(Equal(1))
		}
		Expect(host.do(host.request(http.MethodPost, "/book/1")).status).To(Equal(http.StatusServiceUnavailable))
		Expect(gometrics.GetOrRegisterCounter("relay.failed", registry).Count()).To(BeNumerically("<=", 4))
	})

	// Guards against a host that sends requests to a target of which it knows that it
	// left, or that it does not know.
	It("is not sent by a host that does not know the target", func() {
		target := startTarget("app-1", respond(completeAnswer))
		host, peer := start(target)
		peer.publish()
		Expect(host.do(host.request(http.MethodPost, "/book/1")).status).To(Equal(http.StatusServiceUnavailable))
		Expect(target.requests()).To(BeEmpty())
	})

	It("is not sent to a target that told the other host that it leaves", func() {
		target := startTarget("app-1", respond(completeAnswer))
		host, peer := start(target)
		peer.loads.RecordLeaving(target.directoryEntry("app", "dc-1").Target, false)
		Expect(host.do(host.request(http.MethodPost, "/book/1")).status).To(Equal(http.StatusServiceUnavailable))
		Expect(target.requests()).To(BeEmpty())
	})

	// Guards against a rest that one of the two hosts does not keep.
	It("lets both hosts know that the target wants a rest", func() {
		target := startTarget("app-1", respond("HTTP/1.1 503 Service Unavailable\n"+requestID+": ID\n"+standin.HeaderNotExecuted+": 1\n"+standin.HeaderRetryAfter+": 5\nContent-Length: 0\n\n"))
		host, peer := start(target)
		Expect(host.do(host.request(http.MethodPost, "/book/1")).status).To(Equal(http.StatusServiceUnavailable))
		entry := target.directoryEntry("app", "dc-1").Target
		Expect(host.loads.RestRemaining(entry)).To(BeNumerically(">", 0))
		Expect(peer.loads.RestRemaining(entry)).To(BeNumerically(">", 0))
	})

	// Guards against requests that crash one target after the other because the host to
	// which they came can't tell a crash from its partition.
	It("counts as evidence at the other host when it crashes its target", func() {
		other := startTarget("app-2", respond(completeAnswer))
		var crashing *fakeTarget
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		crashing = &fakeTarget{id: "app-1", address: listener.Addr().String()}
		go func() {
			defer GinkgoRecover()
			conn, err := listener.Accept()
			Expect(err).NotTo(HaveOccurred())
			_, _ = conn.Read(make([]byte, 1))
			_ = listener.Close()
			_ = conn.Close()
		}()
		host, peer := start(crashing)
		Expect(host.do(host.request(http.MethodPost, "/book/1")).status).To(Equal(http.StatusBadGateway))
		peer.add(other.directoryEntry("app", "dc-1"))
		Eventually(peer.crashCount, "3s").Should(Equal(1))
		Expect(host.crashCount()).To(BeZero())
	})

	// Guards against a generation that is lost with its host's paths although another
	// engine has its backup.
	It("may be a generation that goes on at its backup", func() {
		const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
		header := "HTTP/1.1 200 OK\r\n" + seal + ": s-1\r\nContent-Type: text/event-stream\r\n"
		var host *fixture
		var broken atomic.Bool
		serve := func(conn net.Conn, r *http.Request) {
			head := header + requestID + ": " + r.Header.Get(requestID) + "\r\n"
			if r.Header.Get(standin.HeaderKVFrom) != "" {
				_, _ = io.WriteString(conn, head+"Content-Length: "+strconv.Itoa(len(second))+"\r\n\r\n"+second)
				return
			}
			_, _ = io.WriteString(conn, head+"Content-Length: "+strconv.Itoa(len(first)+len(second))+"\r\n\r\n"+first)
			host.cut.set(refused)
			broken.Store(true)
			time.Sleep(20 * time.Millisecond)
		}
		one, two := startTarget("llm-1", serve), startTarget("llm-2", serve)
		var peer *fixture
		host, peer = startPeers()
		for _, t := range []*fakeTarget{one, two} {
			host.add(t.directoryEntry("llm", "dc-1"))
			peer.add(t.directoryEntry("llm", "dc-1"))
		}
		req := host.request(http.MethodPost, "/report/1")
		req.Header.Set(standin.HeaderTokenUsage, "100,50")
		res := host.do(req)
		Expect(broken.Load()).To(BeTrue())
		Expect(res.err).NotTo(HaveOccurred())
		Expect(res.body).To(Equal(first + second))
		Expect(peer.relayedCount()).To(BeEquivalentTo(1))
	})
})

var _ = Describe("a generation whose connection lives on while new ones are refused", func() {
	// leave runs a generation at an engine that leaves while the host is partitioned. It
	// returns that engine once the host has been told, and the generation's result.
	leave := func(host, peer *fixture) (*fakeEngine, <-chan result) {
		first, second := startEngine("llm-1", 60, 20*time.Millisecond), startEngine("llm-2", 60, 20*time.Millisecond)
		for _, gw := range []*fixture{host, peer} {
			gw.add(first.directoryEntry("llm", "dc-1"))
		}
		done := make(chan result, 1)
		go func() { done <- host.do(host.request(http.MethodPost, "/report/1")) }()
		Eventually(first.eventsSent.Load, "5s").Should(BeNumerically(">", 3))
		host.cut.set(refused)
		for _, gw := range []*fixture{host, peer} {
			gw.add(second.directoryEntry("llm", "dc-1"))
		}
		// A request that can't be sent directly tells the host that it is partitioned.
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = host.do(host.requestWithID("r-2", http.MethodPost, "/brief/1").WithContext(ctx)) }()
		Eventually(host.countLost, "5s", "5ms").Should(Equal(1))
		cancel()
		for _, gw := range []*fixture{host, peer} {
			gw.publish(asLeaving(first.directoryEntry("llm", "dc-1")), second.directoryEntry("llm", "dc-1"))
		}
		return first, done
	}

	// Guards against generations that end with their engine because the host can't have
	// them copied.
	It("moves when its engine leaves", func() {
		host, peer := startPeers()
		first, done := leave(host, peer)
		var res result
		Eventually(done, "10s").Should(Receive(&res))
		Expect(res.err).NotTo(HaveOccurred())
		Expect(res.body).To(Equal(eventStream(60)))
		Expect(first.moveRequests.Load()).To(BeNumerically(">", 0))
	})

	// Guards against a move that is given up because no other host could be asked when it
	// began.
	It("moves once another host can be asked", func() {
		peer := startGateway()
		addresses := []string{servePeer(peer)}
		var found atomic.Bool
		client, _ := relayAmong(func() (near, all []string) {
			if !found.Load() {
				return nil, nil
			}
			return addresses, addresses
		}, 0)
		host := startGatewayWithRelay(client)
		first, done := leave(host, peer)
		Eventually(gometrics.GetOrRegisterCounter("gateway.copies_failed", host.metrics).Count, "5s", "1ms").Should(BeNumerically(">", 0))
		found.Store(true)
		var res result
		Eventually(done, "10s").Should(Receive(&res))
		Expect(res.err).NotTo(HaveOccurred())
		Expect(res.body).To(Equal(eventStream(60)))
		Expect(first.moveRequests.Load()).To(BeNumerically(">", 0))
	})
})

var _ = Describe("a generation whose connection hangs with the host's paths", func() {
	// Guards against generations without a backup that are lost although their engine
	// still runs them and is reached from other hosts.
	It("is copied off its engine through another host", func() {
		first, second := startEngine("llm-1", 60, 20*time.Millisecond), startEngine("llm-2", 60, 20*time.Millisecond)
		host, peer := startPeers()
		for _, gw := range []*fixture{host, peer} {
			gw.cfg.Services[1].Engine.KeepsBackups = false
			gw.add(first.directoryEntry("llm", "dc-1"))
		}
		done := make(chan result, 1)
		go func() { done <- host.do(host.request(http.MethodPost, "/report/1")) }()
		Eventually(first.eventsSent.Load, "5s").Should(BeNumerically(">", 3))
		host.cut.set(unanswered)
		for _, gw := range []*fixture{host, peer} {
			gw.add(second.directoryEntry("llm", "dc-1"))
		}
		go func() { _ = host.do(host.requestWithID("r-2", http.MethodPost, "/brief/1")) }()
		var res result
		Eventually(done, "15s").Should(Receive(&res))
		Expect(res.err).NotTo(HaveOccurred())
		Expect(res.body).To(Equal(eventStream(60)))
		Expect(first.moveRequests.Load()).To(BeNumerically(">", 0))
	})
})

var _ = Describe("a target that is silent for a second and goes on", func() {
	// Guards against a sound target that is given up, reported or sent more because it was
	// silent for a moment.
	It("keeps its generation, and nothing is sent twice", func() {
		var host, peer *fixture
		var pause func()
		const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
		serve := func(conn net.Conn, r *http.Request) {
			head := "HTTP/1.1 200 OK\r\n" + seal + ": s-1\r\nContent-Type: text/event-stream\r\n" + requestID + ": " + r.Header.Get(requestID) + "\r\n"
			_, _ = io.WriteString(conn, head+"Content-Length: "+strconv.Itoa(len(first)+len(second))+"\r\n\r\n"+first)
			pause()
			_, _ = io.WriteString(conn, second)
		}
		one, two := startTarget("llm-1", serve), startTarget("llm-2", serve)
		host, peer = startPeers(one.directoryEntry("llm", "dc-1"), two.directoryEntry("llm", "dc-1"))
		pause = func() {
			host.cut.set(unanswered)
			time.Sleep(1200 * time.Millisecond)
			host.cut.set(connected)
		}
		res := host.do(host.request(http.MethodPost, "/report/1"))
		Expect(res.err).NotTo(HaveOccurred())
		Expect(res.body).To(Equal(first + second))
		Expect(len(one.requestsToRun()) + len(two.requestsToRun())).To(Equal(1))
		Expect(host.loads.PendingAlerts("peer")).To(BeEmpty())
		Expect(peer.relayedCount()).To(BeZero())
	})
})

var _ = Describe("the way through a host", func() {
	// open opens the service of a host as another process would.
	open := func(config relay.ServerConfig) filbertv1.RelayClient {
		server := rpc.NewServer(rpc.Credentials{})
		config.Log, config.Metrics = slog.New(slog.DiscardHandler), startGateway().metrics
		filbertv1.RegisterRelayServer(server, relay.NewServer(config))
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = server.Serve(l) }()
		DeferCleanup(server.Stop)
		conn, err := rpc.Dial(l.Addr().String(), rpc.Credentials{})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		return filbertv1.NewRelayClient(conn)
	}
	accept := func() (func(), error) { return func() {}, nil }
	// send sends the first message and returns the first reply.
	send := func(client filbertv1.RelayClient, message *filbertv1.RelayCall) (filbertv1.Relay_SendClient, *filbertv1.RelayReply, error) {
		stream, err := client.Send(context.Background())
		Expect(err).NotTo(HaveOccurred())
		if err := stream.Send(message); err != nil {
			// The server has ended the stream already; Recv says why.
			Expect(err).To(MatchError(io.EOF))
		}
		reply, err := stream.Recv()
		return stream, reply, err
	}
	request := func(r *filbertv1.RelayRequest) *filbertv1.RelayCall {
		return &filbertv1.RelayCall{Step: &filbertv1.RelayCall_Request{Request: r}}
	}
	start := &filbertv1.RelayCall{Step: &filbertv1.RelayCall_Start{Start: &filbertv1.RelayStart{}}}

	// Guards against a process that is no host and reaches targets through one.
	It("is closed to strangers", func() {
		target := startTarget("app-1", respond(completeAnswer))
		gw := startGateway(target.directoryEntry("app", "dc-1"))
		client := open(relay.ServerConfig{Sender: gw.gateway, IsHost: func(string) bool { return false }, Begin: accept})
		_, _, err := send(client, request(&filbertv1.RelayRequest{Target: "app-1", Method: "POST", Uri: "/book/1"}))
		Expect(err).To(HaveOccurred())
		Expect(target.requests()).To(BeEmpty())
	})

	// Guards against messages that make the host send what is no request of a caller.
	DescribeTable("refuses bad input", func(message *filbertv1.RelayCall) {
		target := startTarget("app-1", respond(completeAnswer))
		gw := startGateway(target.directoryEntry("app", "dc-1"))
		client := open(relay.ServerConfig{Sender: gw.gateway, IsHost: func(string) bool { return true }, Begin: accept})
		_, reply, err := send(client, message)
		if err == nil {
			Expect(reply.GetFailure().GetExecuted()).To(Equal(string(failure.ExecutedNo)))
		}
		Expect(target.requests()).To(BeEmpty())
	},
		Entry("no request", start),
		Entry("an unknown target", request(&filbertv1.RelayRequest{Target: "app-9", Method: "POST", Uri: "/book/1"})),
		Entry("another lifetime of the target", request(&filbertv1.RelayRequest{Target: "app-1", Started: 5, Method: "POST", Uri: "/book/1"})),
		Entry("a method with spaces", request(&filbertv1.RelayRequest{Target: "app-1", Method: "POST /x HTTP/1.1", Uri: "/book/1"})),
		Entry("a request target on another host", request(&filbertv1.RelayRequest{Target: "app-1", Method: "POST", Uri: "http://10.0.0.1/book"})),
		Entry("a request target with a line break", request(&filbertv1.RelayRequest{Target: "app-1", Method: "POST", Uri: "/a HTTP/1.1\r\nX: y"})),
		Entry("no request target", request(&filbertv1.RelayRequest{Target: "app-1", Method: "POST"})),
		Entry("a header with a line break", request(&filbertv1.RelayRequest{Target: "app-1", Method: "POST", Uri: "/book/1", Headers: []*filbertv1.Header{{Name: "A", Value: []byte("b\r\nC: d")}}})),
	)

	// Guards against a request that runs although the host that it came to has given it
	// up and sent it another way.
	It("writes nothing before it is told to start", func() {
		target := startTarget("app-1", respond(completeAnswer))
		gw := startGateway(target.directoryEntry("app", "dc-1"))
		client := open(relay.ServerConfig{Sender: gw.gateway, IsHost: func(string) bool { return true }, Begin: accept})
		stream, reply, err := send(client, request(&filbertv1.RelayRequest{Target: "app-1", Method: "POST", Uri: "/book/1", RequestId: "r-9"}))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.GetConnected()).NotTo(BeNil())
		Expect(stream.CloseSend()).To(Succeed())
		reply, err = stream.Recv()
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.GetFailure().GetExecuted()).To(Equal(string(failure.ExecutedNo)))
		Expect(target.requests()).To(BeEmpty())
	})

	// Guards against a stop that cuts requests of other hosts, and against hosts that
	// send more to one that stops.
	It("is closed while the host stops", func() {
		target := startTarget("app-1", respond(completeAnswer))
		gw := startGateway(target.directoryEntry("app", "dc-1"))
		stopping := failure.New(failure.KindStopping, "stopping")
		client := open(relay.ServerConfig{Sender: gw.gateway, IsHost: func(string) bool { return true }, Begin: func() (func(), error) { return nil, stopping }})
		_, reply, err := send(client, request(&filbertv1.RelayRequest{Target: "app-1", Method: "POST", Uri: "/book/1"}))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.GetFailure().GetHostAtFault()).To(BeTrue())
	})

	// Guards against a host that is not asked any more because a caller left, or a request
	// went another way, before it had answered.
	It("leads over a host that was asked for a request which was withdrawn", func() {
		target := startTarget("app-1", respond(completeAnswer))
		entry := target.directoryEntry("app", "dc-1")
		var asked atomic.Int64
		withdrawn := make(chan struct{})
		client := relayThrough(servePeerAfter(func() { asked.Add(1); <-withdrawn }, startGateway(entry)))
		ctx, cancel := context.WithCancel(context.Background())
		ask := func(ctx context.Context) error {
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.address+"/book/1", nil)
			Expect(err).NotTo(HaveOccurred())
			resp, err := client.Do(req, &call.Attempt{Request: &call.Request{}, Target: entry.Target, Management: true}, ctx.Err)
			if err == nil {
				err = resp.Body.Close()
			}
			return err
		}
		ended := make(chan error, 1)
		go func() {
			defer GinkgoRecover()
			ended <- ask(ctx)
		}()
		Eventually(asked.Load, "5s", "1ms").Should(BeEquivalentTo(1))
		cancel()
		Eventually(ended, "5s").Should(Receive(HaveOccurred()))
		close(withdrawn)
		Expect(ask(context.Background())).To(Succeed())
		Expect(asked.Load()).To(BeEquivalentTo(2))
	})

	// Guards against a caller that is refused, or waits, because the first host that is
	// asked does not answer.
	It("leads over another host when one does not answer", func() {
		target := startTarget("app-1", respond(completeAnswer))
		dead, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(dead.Close)
		peer := startGateway(target.directoryEntry("app", "dc-1"))
		host := startGatewayWithRelay(relayThrough(dead.Addr().String(), servePeer(peer)), target.directoryEntry("app", "dc-1"))
		host.cut.set(refused)
		for range 4 {
			res := host.do(host.requestWithID("r-"+strconv.Itoa(int(time.Now().UnixNano())), http.MethodPost, "/book/1"))
			Expect(res.status).To(Equal(http.StatusOK))
			Expect(strings.TrimSpace(res.header.Get(standin.HeaderSeal))).To(Equal("s1"))
		}
	})

	// Guards against a host that is left too little time, because one that was asked before
	// did not answer. The first one takes longer than the time for all hosts.
	It("leads over a host that is asked late", func() {
		target := startTarget("app-1", respond(completeAnswer))
		dead, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(dead.Close)
		peer := startGateway(target.directoryEntry("app", "dc-1"))
		address := servePeer(peer)
		client, _ := relayAmong(func() (near, all []string) { return []string{dead.Addr().String()}, []string{address} }, time.Second)
		host := startGatewayWithRelay(client, target.directoryEntry("app", "dc-1"))
		host.cut.set(refused)
		Expect(host.do(host.request(http.MethodPost, "/book/1")).status).To(Equal(http.StatusOK))
	})
})
