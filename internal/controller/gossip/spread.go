package gossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/controller/configwatch"
	"filbertdeck/internal/decide/membership"
)

// This file sends news out of turn: to neighbours when something changed, to a
// member that is asked for its own.

// askMore asks a member that has not vouched for what is held here, until
// enough have. Probes go to neighbours only, and in a small fleet a process may
// have fewer of them than must vouch: it would wait out the grace of a start
// each time, serve from what the service alone says, and show operators for
// good that its peers were not asked.
func (c *Controller) askMore(ctx context.Context, view *membership.View) {
	if time.Since(c.asked) < askPause {
		return
	}
	others := slices.DeleteFunc(view.LiveAddresses(""), func(a string) bool { return a == view.Self.Address })
	unasked := c.cfg.Store.Unasked(others)
	if len(unasked) == 0 {
		return
	}
	c.asked = time.Now()
	c.ProbeNow(ctx, unasked[rand.IntN(len(unasked))])
}

// push tells the neighbours at once what has changed in the documents.
func (c *Controller) push(ctx context.Context) {
	if wait := pushPause - time.Since(c.lastPush); wait > 0 {
		time.Sleep(wait)
	}
	c.lastPush = time.Now()
	c.mu.Lock()
	neighbours := c.core.View().Neighbours
	c.mu.Unlock()
	for _, n := range neighbours {
		c.pushTo(ctx, n)
	}
}

// pushTo sends the news to a neighbour that is not known to have it.
func (c *Controller) pushTo(ctx context.Context, address string) {
	if c.lacks(address) {
		c.spawn(func() { c.probe(ctx, membership.Action{To: address, Timeout: c.probeTimeout()}) })
	}
}

// pushNews probes all neighbours at once, which carries the hooks' news.
func (c *Controller) pushNews(ctx context.Context) {
	c.mu.Lock()
	neighbours := c.core.View().Neighbours
	c.mu.Unlock()
	for _, n := range neighbours {
		c.spawn(func() { c.probe(ctx, membership.Action{To: n, Timeout: c.probeTimeout()}) })
	}
}

// ProbeNow exchanges news with one process out of turn.
func (c *Controller) ProbeNow(ctx context.Context, address string) {
	c.spawn(func() { c.probe(ctx, membership.Action{To: address, Timeout: c.probeTimeout()}) })
}

// FetchConfig gets from a process the configuration that its news announced.
func (c *Controller) FetchConfig(ctx context.Context, address string, timeout time.Duration, req *filbertv1.FetchRequest) (*filbertv1.FetchReply, error) {
	req.From = c.cfg.Membership.Self.Address
	var reply *filbertv1.FetchReply
	err := c.peers.call(ctx, address, timeout, func(ctx context.Context, peer filbertv1.GossipClient) (err error) {
		reply, err = peer.Fetch(ctx, req)
		return err
	})
	return reply, err
}

// lacks tells whether a peer is not known to hold what is in force here.
func (c *Controller) lacks(address string) bool {
	c.mu.Lock()
	theirs := c.heads[address]
	c.mu.Unlock()
	for _, s := range configwatch.Sections {
		ours := c.cfg.Store.Head(s)
		if ours.Version.After(theirs[s].Version) || ours.Version == theirs[s].Version && ours.Digest != theirs[s].Digest {
			return true
		}
		if c.cfg.Store.Refused(s).Version.After(theirs[s].refused) {
			return true
		}
	}
	return false
}

// forgetHeads keeps the memory of peers to the neighbours.
func (c *Controller) forgetHeads(neighbours []string) {
	keep := make(map[string]bool, len(neighbours))
	for _, n := range neighbours {
		keep[n] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for a := range c.heads {
		if !keep[a] {
			delete(c.heads, a)
		}
	}
}
