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

// Limits of the server side of a connection.
const (
	serverPingInterval = 15 * time.Second
	serverPingTimeout  = 5 * time.Second
	serverIdleTimeout  = 2 * time.Minute
	// maxMessageBytes bounds the size of a message; the largest table fits.
	maxMessageBytes = 24 << 20
)

// ServerOptions returns the options of a gossip server: keepalive pings, which
// close connections that no longer carry data and that the server would
// otherwise keep forever, and a message limit that allows whole documents.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.KeepaliveParams(keepalive.ServerParameters{
			Time: serverPingInterval, Timeout: serverPingTimeout, MaxConnectionIdle: serverIdleTimeout,
		}),
		grpc.MaxRecvMsgSize(maxMessageBytes),
	}
}

// Register adds the gossip service to a server.
func (c *Controller) Register(s grpc.ServiceRegistrar) { filbertv1.RegisterGossipServer(s, c) }

// Exchange answers a peer's probe from memory. Documents that the message
// announces but does not carry are pulled in the background.
func (c *Controller) Exchange(_ context.Context, msg *filbertv1.GossipMessage) (*filbertv1.GossipMessage, error) {
	c.metrics.received.Inc(int64(proto.Size(msg)))
	c.mu.Lock()
	updates := c.core.HandleProbe(c.now(), fromMember(msg.GetFrom()), fromMembers(msg.GetMembers()))
	c.mu.Unlock()
	if _, behind := c.handleMessage(msg, time.Time{}); behind {
		c.spawn(func() { c.pull(context.Background(), msg.GetFrom().GetAddress()) })
	}
	reply := c.buildMessage(msg.GetFrom().GetAddress(), updates)
	c.metrics.sent.Inc(int64(proto.Size(reply)))
	return reply, nil
}

// ProbeFor probes a third process on behalf of a peer.
func (c *Controller) ProbeFor(ctx context.Context, req *filbertv1.ProbeForRequest) (*filbertv1.ProbeForReply, error) {
	msg := c.buildMessage(req.GetAddress(), nil)
	err := c.peers.call(ctx, req.GetAddress(), c.probeTimeout(), func(ctx context.Context, peer filbertv1.GossipClient) error {
		_, err := peer.Exchange(ctx, msg)
		return err
	})
	return &filbertv1.ProbeForReply{Reached: err == nil}, nil
}

// Pull returns the documents of which the caller holds an older version, or
// conflicting content of the same version that has a smaller digest.
func (c *Controller) Pull(_ context.Context, req *filbertv1.PullRequest) (*filbertv1.PullReply, error) {
	reply := &filbertv1.PullReply{}
	for _, h := range req.GetHeads() {
		section, remote := configwatch.Section(h.GetSection()), rolloutwire.FromHead(h)
		local := c.cfg.Store.Head(section)
		switch {
		case local.Version.After(remote.Version):
			reply.Deltas = append(reply.Deltas, rolloutwire.ToDelta(string(section), c.cfg.Store.DeltaSince(section, remote.Version)))
		case local.Version == remote.Version && local.Digest > remote.Digest:
			reply.Deltas = append(reply.Deltas, rolloutwire.ToDelta(string(section), c.cfg.Store.FullDelta(section)))
		}
	}
	c.metrics.sent.Inc(int64(proto.Size(reply)))
	return reply, nil
}

// Fetch returns the configuration that this process announced.
func (c *Controller) Fetch(_ context.Context, req *filbertv1.FetchRequest) (*filbertv1.FetchReply, error) {
	if c.cfg.Hooks.ServeFetch == nil {
		return nil, status.Error(codes.Unimplemented, "this process does not serve configuration")
	}
	reply := c.cfg.Hooks.ServeFetch(req.GetFrom(), req)
	c.metrics.fetchSent.Inc(int64(proto.Size(reply)))
	return reply, nil
}

// Sync merges a peer's member list and returns this process's own.
func (c *Controller) Sync(_ context.Context, msg *filbertv1.SyncMessage) (*filbertv1.SyncMessage, error) {
	c.metrics.received.Inc(int64(proto.Size(msg)))
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := &filbertv1.SyncMessage{From: toMember(c.core.Self()), Members: toMembers(c.core.FullList())}
	c.core.MergeFullList(c.now(), fromMembers(msg.GetMembers()))
	c.metrics.sent.Inc(int64(proto.Size(reply)))
	return reply, nil
}
