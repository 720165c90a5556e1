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

// This file sends messages outside the regular probes: to neighbours when
// something changed, and to members whose documents are to be compared.

// probeUnsyncedPeer probes a member whose documents have not been compared with
// those held here, until enough members have confirmed them. Regular probes go
// to neighbours only. In a small fleet a process may have fewer neighbours than
// the number of confirmations needed; without these probes it would wait out
// the startup grace period each time, serve on the configuration service's data
// alone, and report permanently that its peers were not asked.
func (c *Controller) probeUnsyncedPeer(ctx context.Context, view *membership.View) {
	if time.Since(c.lastUnsyncedProbe) < unsyncedProbeInterval {
		return
	}
	others := slices.DeleteFunc(view.EligibleAddresses(""), func(address string) bool { return address == view.Self.Address })
	unsynced := c.cfg.Store.UnsyncedPeers(others)
	if len(unsynced) == 0 {
		return
	}
	c.lastUnsyncedProbe = time.Now()
	c.ProbeNow(ctx, unsynced[rand.IntN(len(unsynced))])
}

// pushDocuments sends changes of the documents to the neighbours without
// waiting for the next probes.
func (c *Controller) pushDocuments(ctx context.Context) {
	if wait := minPushInterval - time.Since(c.lastPush); wait > 0 {
		time.Sleep(wait)
	}
	c.lastPush = time.Now()
	c.mu.Lock()
	neighbours := c.core.View().Neighbours
	c.mu.Unlock()
	for _, neighbour := range neighbours {
		c.pushDocumentsTo(ctx, neighbour)
	}
}

// pushDocumentsTo probes a neighbour that may not have the documents in force
// here.
func (c *Controller) pushDocumentsTo(ctx context.Context, address string) {
	if c.mayBeBehind(address) {
		c.spawn(func() { c.probe(ctx, membership.Action{To: address, Timeout: c.probeTimeout()}) })
	}
}

// probeNeighbours probes all neighbours at once; the messages carry the hooks'
// updates.
func (c *Controller) probeNeighbours(ctx context.Context) {
	c.mu.Lock()
	neighbours := c.core.View().Neighbours
	c.mu.Unlock()
	for _, n := range neighbours {
		c.spawn(func() { c.probe(ctx, membership.Action{To: n, Timeout: c.probeTimeout()}) })
	}
}

// ProbeNow probes one process immediately, which exchanges updates with it.
func (c *Controller) ProbeNow(ctx context.Context, address string) {
	c.spawn(func() { c.probe(ctx, membership.Action{To: address, Timeout: c.probeTimeout()}) })
}

// FetchConfig fetches from a process the configuration that it announced.
func (c *Controller) FetchConfig(ctx context.Context, address string, timeout time.Duration, req *filbertv1.FetchRequest) (*filbertv1.FetchReply, error) {
	req.From = c.cfg.Membership.Self.Address
	var reply *filbertv1.FetchReply
	err := c.peers.call(ctx, address, timeout, func(ctx context.Context, peer filbertv1.GossipClient) (err error) {
		reply, err = peer.Fetch(ctx, req)
		return err
	})
	return reply, err
}

// mayBeBehind reports whether a peer is not known to hold the documents and
// refusals held here.
func (c *Controller) mayBeBehind(address string) bool {
	c.mu.Lock()
	remoteHeads := c.heads[address]
	c.mu.Unlock()
	for _, section := range configwatch.Sections {
		local := c.cfg.Store.Head(section)
		if local.Version.After(remoteHeads[section].Version) || local.Version == remoteHeads[section].Version && local.Digest != remoteHeads[section].Digest {
			return true
		}
		if c.cfg.Store.LatestRefusal(section).Version.After(remoteHeads[section].refused) {
			return true
		}
	}
	return false
}

// pruneHeads drops the recorded document versions of peers that are not
// neighbours.
func (c *Controller) pruneHeads(neighbours []string) {
	keep := make(map[string]bool, len(neighbours))
	for _, n := range neighbours {
		keep[n] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for address := range c.heads {
		if !keep[address] {
			delete(c.heads, address)
		}
	}
}
