package quota_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/control/quota"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/rpc"
)

// tcpProxy forwards connections to a server. dropOpenConnections makes it
// discard all further data of the connections that are open; later ones work.
type tcpProxy struct {
	net.Listener
	upstream  string
	mu        sync.Mutex
	dropFlags []*atomic.Bool
}

func newTCPProxy(upstream string) *tcpProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &tcpProxy{Listener: l, upstream: upstream}
	go p.serve()
	return p
}

func (p *tcpProxy) serve() {
	for {
		from, err := p.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", p.upstream)
		if err != nil {
			_ = from.Close()
			continue
		}
		drop := &atomic.Bool{}
		p.mu.Lock()
		p.dropFlags = append(p.dropFlags, drop)
		p.mu.Unlock()
		go forward(from, to, drop)
		go forward(to, from, drop)
	}
}

func forward(from, to net.Conn, drop *atomic.Bool) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if !drop.Load() {
			_, _ = to.Write(buf[:n])
		}
	}
}

func (p *tcpProxy) dropOpenConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, drop := range p.dropFlags {
		drop.Store(true)
	}
}

var _ = Describe("a connection to an owner", func() {
	// Something between two hosts loses the state of a connection, which stays
	// open and passes no more data. If it were kept, the pool's accounts would
	// wait until a process is restarted, although a new connection works.
	It("is replaced after a request on it got no answer", func() {
		sim := newSimulation(1, 1, parkAccount)
		server := rpc.NewServer(rpc.Credentials{})
		filbertv1.RegisterQuotaServer(server, sim.nodes[0].controller)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = server.Serve(l) }()
		defer server.Stop()
		proxy := newTCPProxy(l.Addr().String())
		defer func() { _ = proxy.Close() }()
		peers := quota.NewPeers(rpc.Credentials{})
		defer peers.Close()

		sent := uint64(0)
		renew := func() error {
			sent++
			reply, err := peers.Renew(context.Background(), proxy.Addr().String(), &filbertv1.RenewQuotaRequest{
				From: "127.0.0.1:9", Incarnation: 1, SentUs: sent,
				Demands: []*filbertv1.QuotaDemand{{Account: "park", Pool: "p", Waiting: 1}},
			})
			if err == nil {
				Expect(reply.Grants).To(HaveLen(1), "the owner knows the sender of each request")
			}
			return err
		}
		Expect(renew()).To(Succeed())
		Expect(renew()).To(Succeed())
		proxy.dropOpenConnections()
		err = renew()
		Expect(failure.KindOf(err)).To(Equal(failure.KindControlLost))
		Expect(renew()).To(Succeed())

		// The owner's process is replaced, which closes its connections.
		server.Stop()
		Expect(renew()).NotTo(Succeed())
		peers.Close()
		Expect(failure.KindOf(renew())).To(Equal(failure.KindStopping))
	})

	// Guards against a stream that is taken for open when its time was over: the request on
	// it would fail as if the owner had answered it with an error, and the next one would use
	// the same connection.
	It("is replaced after its stream was opened too late", func() {
		sim := newSimulation(1, 1, parkAccount)
		server := rpc.NewServer(rpc.Credentials{})
		filbertv1.RegisterQuotaServer(server, sim.nodes[0].controller)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = server.Serve(l) }()
		defer server.Stop()
		owner := l.Addr().String()
		late, err := rpc.Dial(owner, rpc.Credentials{}, grpc.WithStreamInterceptor(openLate))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = late.Close() }()
		peers := quota.NewPeers(rpc.Credentials{})
		defer peers.Close()
		peers.Use(owner, late)
		renew := func() error {
			_, err := peers.Renew(context.Background(), owner, &filbertv1.RenewQuotaRequest{From: "127.0.0.1:9", Incarnation: 1, SentUs: 1})
			return err
		}
		Expect(failure.KindOf(renew())).To(Equal(failure.KindControlLost))
		Eventually(renew, "20s").Should(Succeed())
	})
})

// openLate opens a stream and returns it when its context has ended.
func openLate(ctx context.Context, desc *grpc.StreamDesc, conn *grpc.ClientConn, method string, open grpc.Streamer, options ...grpc.CallOption) (grpc.ClientStream, error) {
	stream, err := open(ctx, desc, conn, method, options...)
	<-ctx.Done()
	return stream, err
}
