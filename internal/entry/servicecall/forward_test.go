package servicecall_test

import (
	"context"
	"net"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/decide/idempotency"
	"filbertdeck/internal/entry/servicecall"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/rpc"
	"filbertdeck/internal/table"
)

func TestServiceCall(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "service calls")
}

// heldOwner holds calls until they are released by key.
type heldOwner struct {
	filbertv1.UnimplementedForwardServer
	arrived  chan string
	released map[string]chan struct{}
}

func (o *heldOwner) RunOnce(_ context.Context, r *filbertv1.RunOnceRequest) (*filbertv1.RunOnceReply, error) {
	o.arrived <- r.GetKey()
	<-o.released[r.GetKey()]
	return &filbertv1.RunOnceReply{Status: 200, Body: []byte(r.GetKey())}, nil
}

var _ = Describe("calls forwarded to the entry that owns their keys", func() {
	// Guards against a caller who leaves and thereby breaks off the calls of all others
	// that were forwarded to the same entry: each would have an unknown outcome.
	It("go on when the caller of another one leaves", func() {
		owner := &heldOwner{arrived: make(chan string, 2), released: map[string]chan struct{}{"left": make(chan struct{}), "stays": make(chan struct{})}}
		server := rpc.NewServer(rpc.Credentials{})
		filbertv1.RegisterForwardServer(server, owner)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = server.Serve(l) }()
		DeferCleanup(server.Stop)
		DeferCleanup(func() { close(owner.released["left"]) })
		forwarder := servicecall.NewPeerForwarder(rpc.Credentials{})
		DeferCleanup(forwarder.Close)

		type result struct {
			answer *idempotency.Answer
			err    error
		}
		forward := func(ctx context.Context, key string) <-chan result {
			done := make(chan result, 1)
			go func() {
				call := servicecall.Call{Account: &table.Account{Name: "park"}, Service: &table.Service{Name: "booking"}, Method: "POST", Path: "/"}
				answer, _, err := forwarder.Forward(ctx, idempotency.Process{Address: l.Addr().String()}, key, 1, call)
				done <- result{answer, err}
			}()
			Eventually(owner.arrived, "20s").Should(Receive(Equal(key)))
			return done
		}
		stays := forward(context.Background(), "stays")
		ctx, leave := context.WithCancel(context.Background())
		left := forward(ctx, "left")
		leave()
		var r result
		Eventually(left, "20s").Should(Receive(&r))
		Expect(failure.KindOf(r.err)).To(Equal(failure.KindOwnerLost))
		close(owner.released["stays"])
		Eventually(stays, "20s").Should(Receive(&r))
		Expect(r.err).NotTo(HaveOccurred())
		Expect(string(r.answer.Body)).To(Equal("stays"))
	})
})
