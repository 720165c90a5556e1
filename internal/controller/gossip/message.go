package gossip

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/controller/configwatch"
	"filbertdeck/internal/decide/membership"
	"filbertdeck/internal/decide/rollout"
	"filbertdeck/internal/rolloutwire"
)

// maxDelta bounds the rows sent unasked with one message, in bytes. An edit of
// a few rows fits; what is longer is announced by its head and pulled by
// those who lack it, so that nobody gets it from six neighbours at once.
const maxDelta = 8 << 10

// message puts together what a peer is told.
func (c *Controller) message(to string, updates []membership.Member) *filbertv1.GossipMessage {
	c.mu.Lock()
	self, digest, theirs := c.core.Self(), c.core.Digest(), c.heads[to]
	c.mu.Unlock()
	store := c.cfg.Store
	msg := &filbertv1.GossipMessage{
		From: toMember(self), Members: toMembers(updates), MemberDigest: digest,
		Ready: store.IsReady(),
	}
	heads := c.ownHeads()
	msg.HeadsDigest = digestOf(heads)
	for _, h := range heads {
		if theirs == nil || fromPeerHead(h) != theirs[configwatch.Section(h.GetSection())] {
			msg.Heads = append(msg.Heads, h)
		}
	}
	if at := store.ConfirmedAt(); !at.IsZero() {
		// Rounded up: an age cut to whole milliseconds would make the list
		// younger with each hop.
		msg.HostsConfirmedMs = uint64(time.Since(at).Milliseconds()) + 1
	}
	for _, s := range configwatch.Sections {
		if d, ok := c.deltaFor(s, theirs); ok {
			msg.Deltas = append(msg.Deltas, d)
		}
		if r := store.Refused(s); r.Version.After(theirs[s].refused) {
			msg.Refusals = append(msg.Refusals, toRefusal(s, r))
		}
	}
	if c.cfg.Hooks.SupplyPools != nil {
		msg.Pools = c.cfg.Hooks.SupplyPools()
	}
	if c.cfg.Hooks.SupplyPoison != nil {
		msg.Poison = c.cfg.Hooks.SupplyPoison()
	}
	if c.cfg.Hooks.SupplyLoads != nil && c.peers.isNeighbour(to) {
		msg.Loads = c.cfg.Hooks.SupplyLoads(to)
	}
	if c.cfg.Hooks.SupplyAlerts != nil && c.peers.isNeighbour(to) {
		msg.Alerts = c.cfg.Hooks.SupplyAlerts(to)
	}
	if c.cfg.Hooks.SupplyPublished != nil {
		msg.Published = c.cfg.Hooks.SupplyPublished(to)
	}
	return msg
}

// deltaFor gives a short delta to a peer whose head is known and older.
func (c *Controller) deltaFor(s configwatch.Section, theirs peerHeads) (*filbertv1.DocumentDelta, bool) {
	head, known := theirs[s]
	if !known || !c.cfg.Store.Head(s).Version.After(head.Version) {
		return nil, false
	}
	delta := c.cfg.Store.Since(s, head.Version)
	size := 0
	for _, r := range delta.Rows {
		size += len(r.Key) + len(r.Text)
	}
	if size > maxDelta {
		return nil, false
	}
	return rolloutwire.ToDelta(string(s), delta), true
}

func (c *Controller) ownHeads() []*filbertv1.DocumentHead {
	heads := make([]*filbertv1.DocumentHead, 0, len(configwatch.Sections))
	for _, s := range configwatch.Sections {
		heads = append(heads, toPeerHead(s, peerHead{c.cfg.Store.Head(s), c.cfg.Store.Refused(s).Version}))
	}
	return heads
}

// take works in what a peer's message says of documents. It gives what the
// peer holds, nil when the message does not tell all of it, and whether it
// announces more than it carries.
// asked is when the question was sent that the message answers, zero when it
// came unasked.
func (c *Controller) take(msg *filbertv1.GossipMessage, asked time.Time) (held peerHeads, behind bool) {
	stated, held := c.headsIn(msg)
	c.remember(msg.GetFrom().GetAddress(), held)
	for s, h := range stated {
		c.cfg.Store.Announced(s, h.Version)
	}
	for _, d := range msg.GetDeltas() {
		c.offer(d)
	}
	for _, r := range msg.GetRefusals() {
		c.cfg.Store.Refuse(configwatch.Section(r.GetSection()), fromRefusal(r))
	}
	if c.cfg.Hooks.ReceivePools != nil && len(msg.GetPools()) > 0 {
		c.cfg.Hooks.ReceivePools(msg.GetPools())
	}
	if c.cfg.Hooks.ReceivePoison != nil && len(msg.GetPoison()) > 0 {
		c.cfg.Hooks.ReceivePoison(msg.GetPoison())
	}
	if c.cfg.Hooks.ReceiveLoads != nil && len(msg.GetLoads()) > 0 {
		c.cfg.Hooks.ReceiveLoads(msg.GetFrom().GetAddress(), msg.GetLoads())
	}
	if c.cfg.Hooks.ReceiveAlerts != nil && len(msg.GetAlerts()) > 0 {
		c.cfg.Hooks.ReceiveAlerts(msg.GetFrom().GetAddress(), msg.GetAlerts())
	}
	if c.cfg.Hooks.ReceivePublished != nil && msg.GetPublished() != nil {
		c.cfg.Hooks.ReceivePublished(msg.GetFrom().GetAddress(), msg.GetPublished(), asked)
	}
	return held, c.behind(stated)
}

// remember keeps what a peer holds. Of a peer whose message does not tell all,
// nothing is kept: the next message to it then states all heads, so that two
// processes with wrong beliefs of each other find out.
func (c *Controller) remember(peer string, held peerHeads) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if held == nil {
		delete(c.heads, peer)
		return
	}
	c.heads[peer] = held
}

// headsIn gives the heads that a message states, and all that the peer holds:
// those stated, and for the rest what is in force here. The digest tells
// whether that is so. Where it is not, one of the two has moved on or started
// anew; the answer then states all heads.
func (c *Controller) headsIn(msg *filbertv1.GossipMessage) (stated, held peerHeads) {
	stated, held = peerHeads{}, peerHeads{}
	for _, h := range msg.GetHeads() {
		stated[configwatch.Section(h.GetSection())] = fromPeerHead(h)
	}
	all := c.ownHeads()
	for i, own := range all {
		s := configwatch.Section(own.GetSection())
		if h, ok := stated[s]; ok {
			all[i] = toPeerHead(s, h)
		}
		held[s] = fromPeerHead(all[i])
	}
	if digestOf(all) != msg.GetHeadsDigest() {
		return stated, nil
	}
	return stated, held
}

// digestOf sums up heads in the order of the sections.
func digestOf(heads []*filbertv1.DocumentHead) uint64 {
	var d xxhash.Digest
	d.Reset()
	var buf []byte
	for _, h := range heads {
		buf = buf[:0]
		for _, v := range []uint64{h.GetEpoch(), h.GetRevision(), h.GetDigest(), h.GetRefusedEpoch(), h.GetRefusedRevision()} {
			buf = binary.LittleEndian.AppendUint64(buf, v)
		}
		_, _ = d.Write(buf)
	}
	return d.Sum64()
}

// behind tells whether a peer's documents are newer than those here, other
// than what this process refused.
func (c *Controller) behind(heads peerHeads) bool {
	for _, s := range configwatch.Sections {
		theirs, ours := heads[s], c.cfg.Store.Head(s)
		if theirs.Version == c.cfg.Store.Refused(s).Version {
			continue
		}
		newer := theirs.Version.After(ours.Version)
		conflict := theirs.Version == ours.Version && theirs.Digest > ours.Digest
		if newer || conflict {
			return true
		}
	}
	return false
}

func (c *Controller) offer(d *filbertv1.DocumentDelta) rollout.Verdict {
	return c.cfg.Store.Offer(configwatch.Section(d.GetHead().GetSection()), rolloutwire.FromDelta(d))
}
