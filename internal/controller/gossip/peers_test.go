package gossip

import (
	"context"
	"net"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"filbertdeck/internal/api/filbertv1"
)

// slowPeer answers no probe, and a pull only once it is let go.
type slowPeer struct {
	filbertv1.UnimplementedGossipServer
	pulling, letGo chan struct{}
}

func (s *slowPeer) Exchange(ctx context.Context, _ *filbertv1.GossipMessage) (*filbertv1.GossipMessage, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (s *slowPeer) Pull(context.Context, *filbertv1.PullRequest) (*filbertv1.PullReply, error) {
	close(s.pulling)
	<-s.letGo
	return &filbertv1.PullReply{}, nil
}

// A host is short of processor time while a table of 11,000 rows is on its way
// to it. Its probes to the same peer time out; if that closed the connection
// under the transfer, each transfer would be cut and begun anew, and the host
// would go on with the old table. Of 32 starved processes 30 never got the
// table within three minutes.
func TestProbeThatTimesOutLeavesTransferInProgress(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peer := &slowPeer{pulling: make(chan struct{}), letGo: make(chan struct{})}
	server := grpc.NewServer()
	filbertv1.RegisterGossipServer(server, peer)
	go func() { _ = server.Serve(l) }()
	defer server.Stop()
	p := newPeers(insecure.NewCredentials(), newCounters(metrics.NewRegistry()))
	defer p.close()
	ctx, address := context.Background(), l.Addr().String()

	pulled := make(chan error, 1)
	go func() {
		pulled <- p.call(ctx, address, time.Minute, func(ctx context.Context, c filbertv1.GossipClient) error {
			_, err := c.Pull(ctx, &filbertv1.PullRequest{})
			return err
		})
	}()
	<-peer.pulling
	err = p.call(ctx, address, 50*time.Millisecond, func(ctx context.Context, c filbertv1.GossipClient) error {
		_, err := c.Exchange(ctx, &filbertv1.GossipMessage{})
		return err
	})
	if err == nil {
		t.Fatal("the probe was answered")
	}
	if p.conns[address] != nil {
		t.Error("later calls still use the connection on which a probe timed out")
	}
	close(peer.letGo)
	if err := <-pulled; err != nil {
		t.Errorf("the transfer was cut: %v", err)
	}
}
