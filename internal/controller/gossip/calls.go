package gossip

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/controller/configwatch"
	"filbertdeck/internal/decide/membership"
)

// probe exchanges news with a peer and hands the answer to the core.
func (c *Controller) probe(ctx context.Context, a membership.Action) {
	c.metrics.probes.Inc(1)
	msg := c.message(a.To, a.Updates)
	asked := time.Now()
	var reply *filbertv1.GossipMessage
	err := c.peers.call(ctx, a.To, a.Timeout, func(ctx context.Context, peer filbertv1.GossipClient) (err error) {
		c.metrics.sent.Inc(int64(proto.Size(msg)))
		reply, err = peer.Exchange(ctx, msg)
		return err
	})
	if err != nil {
		c.metrics.probesFailed.Inc(1)
		c.mu.Lock()
		c.core.HandleProbeFailure(c.now(), a.ProbeID)
		c.mu.Unlock()
		return
	}
	c.metrics.received.Inc(int64(proto.Size(reply)))
	c.mu.Lock()
	c.core.HandleProbeAck(c.now(), a.ProbeID, fromMember(reply.GetFrom()), fromMembers(reply.GetMembers()), reply.GetMemberDigest())
	c.mu.Unlock()
	heads, behind := c.take(reply, asked)
	if behind {
		c.pull(ctx, a.To)
	}
	c.takeConfirmed(reply, heads, asked)
	c.takeJoin(reply, heads)
}

// takeConfirmed takes over when the host list was confirmed. The age in an
// answer counts from a moment after the question was sent, so counting it
// from the question errs towards the past. The age in a message that comes
// unasked proves nothing: the message may have lain in a paused process.
func (c *Controller) takeConfirmed(reply *filbertv1.GossipMessage, heads peerHeads, asked time.Time) {
	ms := reply.GetHostsConfirmedMs()
	// Only a peer with the same list vouches for ours.
	if ms == 0 || heads == nil || heads[configwatch.SectionHosts].Head != c.cfg.Store.Head(configwatch.SectionHosts) {
		return
	}
	c.cfg.Store.Confirmed(asked.Add(-time.Duration(ms) * time.Millisecond))
}

// takeJoin notes that all that a ready peer holds is held here too.
func (c *Controller) takeJoin(reply *filbertv1.GossipMessage, heads peerHeads) {
	if !reply.GetReady() || heads == nil {
		return
	}
	for s, h := range heads {
		if h.Version.After(c.cfg.Store.Head(s).Version) {
			return
		}
	}
	c.cfg.Store.PeerTaken(reply.GetFrom().GetAddress())
}

func (c *Controller) probeVia(ctx context.Context, a membership.Action) {
	reached := false
	// The relay needs the probe's time for itself.
	err := c.peers.call(ctx, a.To, 2*a.Timeout, func(ctx context.Context, peer filbertv1.GossipClient) error {
		reply, err := peer.ProbeFor(ctx, &filbertv1.ProbeForRequest{Address: a.Target})
		reached = reply.GetReached()
		return err
	})
	if err != nil || !reached {
		return
	}
	c.mu.Lock()
	c.core.HandleIndirectProbeAck(a.ProbeID)
	c.mu.Unlock()
}

func (c *Controller) sync(ctx context.Context, a membership.Action) {
	c.metrics.syncs.Inc(1)
	c.mu.Lock()
	msg := &filbertv1.SyncMessage{From: toMember(c.core.Self()), Members: toMembers(c.core.FullList())}
	c.mu.Unlock()
	_ = c.peers.call(ctx, a.To, syncTimeout, func(ctx context.Context, peer filbertv1.GossipClient) error {
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

// pull fetches what a peer holds and this process lacks, one pull from a peer
// at a time.
func (c *Controller) pull(ctx context.Context, address string) {
	c.mu.Lock()
	busy := c.pulling[address]
	c.pulling[address] = true
	c.mu.Unlock()
	if busy {
		return
	}
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.pulling, address)
	}()
	c.metrics.pulls.Inc(1)
	_ = c.peers.call(ctx, address, pullTimeout, func(ctx context.Context, peer filbertv1.GossipClient) error {
		reply, err := peer.Pull(ctx, &filbertv1.PullRequest{Heads: c.ownHeads()})
		if err != nil {
			return err
		}
		c.metrics.received.Inc(int64(proto.Size(reply)))
		for _, d := range reply.GetDeltas() {
			c.offer(d)
		}
		return nil
	})
}
