package gossip

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/controller/configwatch"
	"filbertdeck/internal/rolloutwire"
)

// Bounds of the server's side of a connection.
const (
	serverPing    = 15 * time.Second
	serverTimeout = 5 * time.Second
	serverIdle    = 2 * time.Minute
	// maxMessage bounds a message: a whole table at its largest.
	maxMessage = 24 << 20
)

// ServerOptions gives what a server of gossip needs: pings that end
// connections which have gone silent, since a server otherwise keeps each of
// them for good, and a bound on messages that lets whole documents pass.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.KeepaliveParams(keepalive.ServerParameters{
			Time: serverPing, Timeout: serverTimeout, MaxConnectionIdle: serverIdle,
		}),
		grpc.MaxRecvMsgSize(maxMessage),
	}
}

// Register adds the gossip service to a server.
func (c *Controller) Register(s grpc.ServiceRegistrar) { filbertv1.RegisterGossipServer(s, c) }

// Exchange answers a peer's probe. It answers from memory alone: what the
// message announces but does not carry is fetched afterwards.
func (c *Controller) Exchange(_ context.Context, msg *filbertv1.GossipMessage) (*filbertv1.GossipMessage, error) {
	c.metrics.received.Inc(int64(proto.Size(msg)))
	c.mu.Lock()
	updates := c.core.HandleProbe(c.now(), fromMember(msg.GetFrom()), fromMembers(msg.GetMembers()))
	c.mu.Unlock()
	if _, behind := c.take(msg, time.Time{}); behind {
		c.spawn(func() { c.pull(context.Background(), msg.GetFrom().GetAddress()) })
	}
	reply := c.message(msg.GetFrom().GetAddress(), updates)
	c.metrics.sent.Inc(int64(proto.Size(reply)))
	return reply, nil
}

// ProbeFor probes a third process on behalf of a peer.
func (c *Controller) ProbeFor(ctx context.Context, req *filbertv1.ProbeForRequest) (*filbertv1.ProbeForReply, error) {
	msg := c.message(req.GetAddress(), nil)
	err := c.peers.call(ctx, req.GetAddress(), c.probeTimeout(), func(ctx context.Context, peer filbertv1.GossipClient) error {
		_, err := peer.Exchange(ctx, msg)
		return err
	})
	return &filbertv1.ProbeForReply{Reached: err == nil}, nil
}

// Pull answers with the documents of which the caller holds less.
func (c *Controller) Pull(_ context.Context, req *filbertv1.PullRequest) (*filbertv1.PullReply, error) {
	reply := &filbertv1.PullReply{}
	for _, h := range req.GetHeads() {
		section, theirs := configwatch.Section(h.GetSection()), rolloutwire.FromHead(h)
		ours := c.cfg.Store.Head(section)
		switch {
		case ours.Version.After(theirs.Version):
			reply.Deltas = append(reply.Deltas, rolloutwire.ToDelta(string(section), c.cfg.Store.Since(section, theirs.Version)))
		case ours.Version == theirs.Version && ours.Digest > theirs.Digest:
			reply.Deltas = append(reply.Deltas, rolloutwire.ToDelta(string(section), c.cfg.Store.All(section)))
		}
	}
	c.metrics.sent.Inc(int64(proto.Size(reply)))
	return reply, nil
}

// Fetch answers with the configuration that news announced.
func (c *Controller) Fetch(_ context.Context, req *filbertv1.FetchRequest) (*filbertv1.FetchReply, error) {
	if c.cfg.Hooks.ServeFetch == nil {
		return nil, status.Error(codes.Unimplemented, "no configuration is given here")
	}
	reply := c.cfg.Hooks.ServeFetch(req.GetFrom(), req)
	c.metrics.fetchSent.Inc(int64(proto.Size(reply)))
	return reply, nil
}

// Sync takes a peer's list of members and answers with this process's own.
func (c *Controller) Sync(_ context.Context, msg *filbertv1.SyncMessage) (*filbertv1.SyncMessage, error) {
	c.metrics.received.Inc(int64(proto.Size(msg)))
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := &filbertv1.SyncMessage{From: toMember(c.core.Self()), Members: toMembers(c.core.FullList())}
	c.core.MergeFullList(c.now(), fromMembers(msg.GetMembers()))
	c.metrics.sent.Inc(int64(proto.Size(reply)))
	return reply, nil
}
