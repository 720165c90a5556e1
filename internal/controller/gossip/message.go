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

// maxInlineDeltaBytes bounds the size in bytes of a delta that is sent with a
// message. An edit of a few rows fits. Larger deltas are only announced by
// their head and pulled by processes that lack them, so that no process
// receives the same delta from six neighbours at once.
const maxInlineDeltaBytes = 8 << 10

// buildMessage returns the message for a peer.
func (c *Controller) buildMessage(to string, updates []membership.Member) *filbertv1.GossipMessage {
	c.mu.Lock()
	self, memberDigest, remoteHeads := c.core.Self(), c.core.Digest(), c.heads[to]
	c.mu.Unlock()
	store := c.cfg.Store
	msg := &filbertv1.GossipMessage{
		From: toMember(self), Members: toMembers(updates), MemberDigest: memberDigest,
		Ready: store.IsReady(),
	}
	heads := c.localHeads()
	msg.HeadsDigest = headsDigest(heads)
	for _, h := range heads {
		if remoteHeads == nil || fromPeerHead(h) != remoteHeads[configwatch.Section(h.GetSection())] {
			msg.Heads = append(msg.Heads, h)
		}
	}
	if at := store.ConfirmedAt(); !at.IsZero() {
		// Rounded up: an age truncated to whole milliseconds would make the
		// list appear more recent with each hop.
		msg.HostsConfirmedMs = uint64(time.Since(at).Milliseconds()) + 1
	}
	for _, s := range configwatch.Sections {
		if d, ok := c.deltaFor(s, remoteHeads); ok {
			msg.Deltas = append(msg.Deltas, d)
		}
		if r := store.LatestRefusal(s); r.Version.After(remoteHeads[s].refused) {
			msg.Refusals = append(msg.Refusals, toRefusal(s, r))
		}
	}
	if c.cfg.Hooks.SupplyPools != nil {
		msg.Pools = c.cfg.Hooks.SupplyPools()
	}
	if c.cfg.Hooks.SupplyPoison != nil {
		msg.Poison = c.cfg.Hooks.SupplyPoison()
	}
	if c.cfg.Hooks.SupplyCompletions != nil {
		msg.Completions = c.cfg.Hooks.SupplyCompletions()
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

// deltaFor returns a delta for a peer whose version is known and older, if the
// delta is small enough.
func (c *Controller) deltaFor(section configwatch.Section, remoteHeads peerHeads) (*filbertv1.DocumentDelta, bool) {
	head, known := remoteHeads[section]
	if !known || !c.cfg.Store.Head(section).Version.After(head.Version) {
		return nil, false
	}
	delta := c.cfg.Store.DeltaSince(section, head.Version)
	size := 0
	for _, r := range delta.Rows {
		size += len(r.Key) + len(r.Text)
	}
	if size > maxInlineDeltaBytes {
		return nil, false
	}
	return rolloutwire.ToDelta(string(section), delta), true
}

func (c *Controller) localHeads() []*filbertv1.DocumentHead {
	heads := make([]*filbertv1.DocumentHead, 0, len(configwatch.Sections))
	for _, s := range configwatch.Sections {
		heads = append(heads, toPeerHead(s, peerHead{c.cfg.Store.Head(s), c.cfg.Store.LatestRefusal(s).Version}))
	}
	return heads
}

// handleMessage applies the documents, refusals and hook data in a peer's
// message. It returns what the peer holds, nil if the message does not
// determine all of it, and whether the peer holds newer documents than the
// message carries. requestSentAt is the time at which the request was sent that
// the message answers; zero for a message that was not requested.
func (c *Controller) handleMessage(msg *filbertv1.GossipMessage, requestSentAt time.Time) (remoteHeads peerHeads, behind bool) {
	stated, remoteHeads := c.decodeHeads(msg)
	c.setPeerHeads(msg.GetFrom().GetAddress(), remoteHeads)
	for s, h := range stated {
		c.cfg.Store.RecordPeerVersion(s, h.Version)
	}
	for _, d := range msg.GetDeltas() {
		c.applyDelta(d)
	}
	for _, r := range msg.GetRefusals() {
		c.cfg.Store.RecordRefusal(configwatch.Section(r.GetSection()), fromRefusal(r))
	}
	if c.cfg.Hooks.ReceivePools != nil && len(msg.GetPools()) > 0 {
		c.cfg.Hooks.ReceivePools(msg.GetPools())
	}
	if c.cfg.Hooks.ReceivePoison != nil && len(msg.GetPoison()) > 0 {
		c.cfg.Hooks.ReceivePoison(msg.GetPoison())
	}
	if c.cfg.Hooks.ReceiveCompletions != nil && len(msg.GetCompletions()) > 0 {
		c.cfg.Hooks.ReceiveCompletions(msg.GetCompletions())
	}
	if c.cfg.Hooks.ReceiveLoads != nil && len(msg.GetLoads()) > 0 {
		c.cfg.Hooks.ReceiveLoads(msg.GetFrom().GetAddress(), msg.GetLoads())
	}
	if c.cfg.Hooks.ReceiveAlerts != nil && len(msg.GetAlerts()) > 0 {
		c.cfg.Hooks.ReceiveAlerts(msg.GetFrom().GetAddress(), msg.GetAlerts())
	}
	if c.cfg.Hooks.ReceivePublished != nil && msg.GetPublished() != nil {
		c.cfg.Hooks.ReceivePublished(msg.GetFrom().GetAddress(), msg.GetPublished(), requestSentAt)
	}
	return remoteHeads, c.isBehind(stated)
}

// setPeerHeads records what a peer holds. For a peer whose message does not
// determine all of it, the record is deleted: the next message to it then
// states all heads, which corrects outdated records on either side.
func (c *Controller) setPeerHeads(peer string, heads peerHeads) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if heads == nil {
		delete(c.heads, peer)
		return
	}
	c.heads[peer] = heads
}

// decodeHeads returns the heads that a message states, and all heads that the
// peer holds. Heads that the message omits are those in force here, provided
// that the message's digest of all heads matches. If it does not, one of the
// two processes has newer documents or was restarted; remoteHeads is then nil,
// and the answer states all heads.
func (c *Controller) decodeHeads(msg *filbertv1.GossipMessage) (stated, remoteHeads peerHeads) {
	stated, remoteHeads = peerHeads{}, peerHeads{}
	for _, h := range msg.GetHeads() {
		stated[configwatch.Section(h.GetSection())] = fromPeerHead(h)
	}
	all := c.localHeads()
	for i, own := range all {
		s := configwatch.Section(own.GetSection())
		if h, ok := stated[s]; ok {
			all[i] = toPeerHead(s, h)
		}
		remoteHeads[s] = fromPeerHead(all[i])
	}
	if headsDigest(all) != msg.GetHeadsDigest() {
		return stated, nil
	}
	return stated, remoteHeads
}

// headsDigest returns a digest of the heads in the order of the sections.
func headsDigest(heads []*filbertv1.DocumentHead) uint64 {
	var hash xxhash.Digest
	hash.Reset()
	var buf []byte
	for _, h := range heads {
		buf = buf[:0]
		for _, v := range []uint64{h.GetEpoch(), h.GetRevision(), h.GetDigest(), h.GetRefusedEpoch(), h.GetRefusedRevision()} {
			buf = binary.LittleEndian.AppendUint64(buf, v)
		}
		_, _ = hash.Write(buf)
	}
	return hash.Sum64()
}

// isBehind reports whether a peer holds newer documents than this process,
// except versions that failed validation here.
func (c *Controller) isBehind(heads peerHeads) bool {
	for _, s := range configwatch.Sections {
		remote, local := heads[s], c.cfg.Store.Head(s)
		if remote.Version == c.cfg.Store.LatestRefusal(s).Version {
			continue
		}
		newer := remote.Version.After(local.Version)
		conflict := remote.Version == local.Version && remote.Digest > local.Digest
		if newer || conflict {
			return true
		}
	}
	return false
}

func (c *Controller) applyDelta(d *filbertv1.DocumentDelta) rollout.Verdict {
	return c.cfg.Store.Apply(configwatch.Section(d.GetHead().GetSection()), rolloutwire.FromDelta(d))
}
