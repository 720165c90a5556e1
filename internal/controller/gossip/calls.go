package gossip

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/controller/configwatch"
	"filbertdeck/internal/decide/membership"
)

// probe exchanges messages with a peer and passes the result to the core.
func (c *Controller) probe(ctx context.Context, action membership.Action) {
	c.metrics.probes.Inc(1)
	msg := c.buildMessage(action.To, action.Updates)
	sentAt := time.Now()
	var reply *filbertv1.GossipMessage
	err := c.peers.call(ctx, action.To, action.Timeout, func(ctx context.Context, peer filbertv1.GossipClient) (err error) {
		c.metrics.sent.Inc(int64(proto.Size(msg)))
		reply, err = peer.Exchange(ctx, msg)
		return err
	})
	if err != nil {
		c.metrics.probesFailed.Inc(1)
		c.mu.Lock()
		c.core.HandleProbeFailure(c.now(), action.ProbeID)
		c.mu.Unlock()
		return
	}
	c.metrics.received.Inc(int64(proto.Size(reply)))
	c.mu.Lock()
	c.core.HandleProbeAck(c.now(), action.ProbeID, fromMember(reply.GetFrom()), fromMembers(reply.GetMembers()), reply.GetMemberDigest())
	c.mu.Unlock()
	heads, behind := c.handleMessage(reply, sentAt)
	if behind {
		c.pull(ctx, action.To)
	}
	c.confirmHosts(reply, heads, sentAt)
	c.recordSyncedPeer(reply, heads)
}

// confirmHosts takes over the time at which a peer's host list was confirmed.
// The age in an answer is relative to a time after the request was sent, so
// counting it from the request can only give a time that is too early. The age
// in a message that was not requested is not used: the message may have been
// delayed in a paused process.
func (c *Controller) confirmHosts(reply *filbertv1.GossipMessage, heads peerHeads, requestSentAt time.Time) {
	ms := reply.GetHostsConfirmedMs()
	// Only a peer with the same list can confirm the one held here.
	if ms == 0 || heads == nil || heads[configwatch.SectionHosts].Head != c.cfg.Store.Head(configwatch.SectionHosts) {
		return
	}
	c.cfg.Store.ConfirmHosts(requestSentAt.Add(-time.Duration(ms) * time.Millisecond))
}

// recordSyncedPeer records that this process holds everything that a ready peer
// holds.
func (c *Controller) recordSyncedPeer(reply *filbertv1.GossipMessage, heads peerHeads) {
	if !reply.GetReady() || heads == nil {
		return
	}
	for s, h := range heads {
		if h.Version.After(c.cfg.Store.Head(s).Version) {
			return
		}
	}
	c.cfg.Store.RecordSyncedPeer(reply.GetFrom().GetAddress())
}

func (c *Controller) probeIndirectly(ctx context.Context, action membership.Action) {
	reached := false
	// The relay needs the probe's timeout for its own call.
	err := c.peers.call(ctx, action.To, 2*action.Timeout, func(ctx context.Context, peer filbertv1.GossipClient) error {
		reply, err := peer.ProbeFor(ctx, &filbertv1.ProbeForRequest{Address: action.Target})
		reached = reply.GetReached()
		return err
	})
	if err != nil || !reached {
		return
	}
	c.mu.Lock()
	c.core.HandleIndirectProbeAck(action.ProbeID)
	c.mu.Unlock()
}

func (c *Controller) syncMembers(ctx context.Context, action membership.Action) {
	c.metrics.syncs.Inc(1)
	c.mu.Lock()
	msg := &filbertv1.SyncMessage{From: toMember(c.core.Self()), Members: toMembers(c.core.FullList())}
	c.mu.Unlock()
	_ = c.peers.call(ctx, action.To, syncTimeout, func(ctx context.Context, peer filbertv1.GossipClient) error {
		c.metrics.sent.Inc(int64(proto.Size(msg)))
		reply, err := peer.Sync(ctx, msg)
		if err != nil {
			return err
		}
		c.metrics.received.Inc(int64(proto.Size(reply)))
		c.mu.Lock()
		defer c.mu.Unlock()
		c.core.MergeFullList(c.now(), fromMembers(reply.GetMembers()))
		return nil
	})
}

// pull fetches the documents of which a peer holds newer versions, with at most
// one pull from a peer at a time.
func (c *Controller) pull(ctx context.Context, address string) {
	c.mu.Lock()
	inProgress := c.pulling[address]
	c.pulling[address] = true
	c.mu.Unlock()
	if inProgress {
		return
	}
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.pulling, address)
	}()
	c.metrics.pulls.Inc(1)
	_ = c.peers.call(ctx, address, pullTimeout, func(ctx context.Context, peer filbertv1.GossipClient) error {
		reply, err := peer.Pull(ctx, &filbertv1.PullRequest{Heads: c.localHeads()})
		if err != nil {
			return err
		}
		c.metrics.received.Inc(int64(proto.Size(reply)))
		for _, d := range reply.GetDeltas() {
			c.applyDelta(d)
		}
		return nil
	})
}
