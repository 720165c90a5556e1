package quota_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/control/quota"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/rpc"
)

// relay passes connections on to a server. A connection that was made before
// silence was called for passes nothing on for good; later ones work.
type relay struct {
	net.Listener
	to   string
	mu   sync.Mutex
	open []*atomic.Bool
}

func newRelay(to string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &relay{Listener: l, to: to}
	go r.serve()
	return r
}

func (r *relay) serve() {
	for {
		from, err := r.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = from.Close()
			continue
		}
		dead := &atomic.Bool{}
		r.mu.Lock()
		r.open = append(r.open, dead)
		r.mu.Unlock()
		go pass(from, to, dead)
		go pass(to, from, dead)
	}
}

func pass(from, to net.Conn, dead *atomic.Bool) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if !dead.Load() {
			_, _ = to.Write(buf[:n])
		}
	}
}

func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, dead := range r.open {
		dead.Store(true)
	}
}

var _ = Describe("a connection to an owner", func() {
	// Something between two hosts loses track of a connection, which stays open
	// and passes nothing on. Were it kept, the pool's accounts would wait until
	// somebody restarts a process, though a new connection works.
	It("is replaced once a request on it got no answer", func() {
		w := newWorld(1, 1, park)
		server := rpc.NewServer(rpc.Credentials{})
		filbertv1.RegisterQuotaServer(server, w.nodes[0].ctl)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = server.Serve(l) }()
		defer server.Stop()
		between := newRelay(l.Addr().String())
		defer func() { _ = between.Close() }()
		peers := quota.NewPeers(rpc.Credentials{})
		defer peers.Close()

		sent := uint64(0)
		renew := func() error {
			sent++
			reply, err := peers.Renew(context.Background(), between.Addr().String(), &filbertv1.RenewQuotaRequest{
				From: "127.0.0.1:9", Incarnation: 1, SentUs: sent,
				Demands: []*filbertv1.QuotaDemand{{Account: "park", Pool: "p", Waiting: 1}},
			})
			if err == nil {
				Expect(reply.Grants).To(HaveLen(1), "the sender of each request is known")
			}
			return err
		}
		Expect(renew()).To(Succeed())
		Expect(renew()).To(Succeed())
		between.silence()
		err = renew()
		Expect(failure.KindOf(err)).To(Equal(failure.KindControlLost))
		Expect(renew()).To(Succeed())

		// The owner's process is replaced: its connections end.
		server.Stop()
		Expect(renew()).NotTo(Succeed())
		peers.Close()
		Expect(failure.KindOf(renew())).To(Equal(failure.KindStopping))
	})
})
