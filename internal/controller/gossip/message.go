package gossip

import (
	"time"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/controller/configwatch"
	"filbertdeck/internal/decide/membership"
	"filbertdeck/internal/decide/rollout"
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
		Heads: c.ownHeads(), Ready: store.Ready(),
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
	return toDelta(s, delta), true
}

func (c *Controller) ownHeads() []*filbertv1.DocumentHead {
	heads := make([]*filbertv1.DocumentHead, 0, len(configwatch.Sections))
	for _, s := range configwatch.Sections {
		head := toHead(s, c.cfg.Store.Head(s))
		refused := c.cfg.Store.Refused(s).Version
		head.RefusedEpoch, head.RefusedRevision = refused.Epoch, refused.Revision
		heads = append(heads, head)
	}
	return heads
}

// take works in what a peer's message says of documents, and tells whether it
// announces more than it carries.
func (c *Controller) take(msg *filbertv1.GossipMessage) bool {
	heads := peerHeads{}
	for _, h := range msg.GetHeads() {
		section := configwatch.Section(h.GetSection())
		heads[section] = fromPeerHead(h)
		c.cfg.Store.Announced(section, heads[section].Version)
	}
	c.mu.Lock()
	c.heads[msg.GetFrom().GetAddress()] = heads
	c.mu.Unlock()
	for _, d := range msg.GetDeltas() {
		c.offer(d)
	}
	for _, r := range msg.GetRefusals() {
		c.cfg.Store.Refuse(configwatch.Section(r.GetSection()), fromRefusal(r))
	}
	if c.cfg.Hooks.TakePools != nil && len(msg.GetPools()) > 0 {
		c.cfg.Hooks.TakePools(msg.GetPools())
	}
	if c.cfg.Hooks.TakePoison != nil && len(msg.GetPoison()) > 0 {
		c.cfg.Hooks.TakePoison(msg.GetPoison())
	}
	return c.behind(heads)
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
	section, delta := fromDelta(d)
	return c.cfg.Store.Offer(section, delta)
}
