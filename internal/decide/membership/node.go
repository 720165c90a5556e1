package membership

import (
	"math"
	"math/rand/v2"
	"time"
)

// Node is the membership state machine of one process. It is not safe for
// concurrent use.
type Node struct {
	cfg  Config
	self Member
	rng  *rand.Rand

	records map[string]*record
	// digest is the sum of the hashes of the confirmed members that are alive
	// or suspect, so that two processes can compare their member lists in eight
	// bytes.
	digest     uint64
	broadcasts map[string]*broadcast

	probes       map[uint64]*probe
	lastProbeID  uint64
	nextProbeAt  time.Duration
	probeRound   int
	lastTick     time.Duration
	nextExpiryAt time.Duration

	selfLeaving bool
	neighbours  []string
	viewStale   bool
	viewVersion uint64
	view        *View

	peerDigests map[string]digestPair
	lastSyncAt  time.Duration
	everSynced  bool
	pushPending bool
	nextPushAt  time.Duration
	actions     []Action
}

// record is what this process knows of one other member.
type record struct {
	Member
	// confirmed is set once the member itself or a peer has reported it as
	// alive or suspect. Until then it is only an address on the published list.
	confirmed bool
	published bool
	leaving   bool
	// expiresAt is when a suspect is declared dead, or the record of a member
	// that is dead or has left is removed.
	expiresAt  time.Duration
	ringHashes []uint64
}

// broadcast is a member's state that is still being sent to peers.
type broadcast struct {
	Member
	transmits int
}

type probe struct {
	target   string
	deadline time.Duration
	// indirect is set once relays have been asked to probe the target.
	indirect bool
}

// digestPair holds the digests of two processes' member lists at their last
// probe.
type digestPair struct{ local, remote uint64 }

// New returns a state machine that knows only its own process.
func New(cfg Config) *Node {
	cfg = cfg.withDefaults()
	n := &Node{
		cfg: cfg, self: cfg.Self, rng: rand.New(rand.NewPCG(cfg.Seed, hash("seed", cfg.Self.Address))),
		records: map[string]*record{}, broadcasts: map[string]*broadcast{},
		probes: map[uint64]*probe{}, peerDigests: map[string]digestPair{}, viewStale: true,
	}
	n.self.State = Alive
	n.digest = hashMember(n.self)
	n.queueBroadcast(n.self)
	return n
}

// Self returns this process's own entry, as sent to peers.
func (n *Node) Self() Member { return n.self }

// Digest returns the digest of the confirmed members that are alive or suspect.
func (n *Node) Digest() uint64 { return n.digest }

// View returns the member list as of the last tick.
func (n *Node) View() *View {
	if n.view == nil {
		n.refreshView()
	}
	return n.view
}

// SetPublishedPeers takes the platform's list of hosts or, at startup, the seed
// addresses from the settings. It adds a record for each listed peer, which is
// then probed. The list alone neither makes a member alive nor removes a
// confirmed one.
func (n *Node) SetPublishedPeers(now time.Duration, peers []Peer) {
	listed := make(map[string]Peer, len(peers))
	for _, p := range peers {
		if p.Address == n.self.Address {
			n.selfLeaving = p.Leaving
			continue
		}
		listed[p.Address] = p
		if n.records[p.Address] == nil {
			n.addRecord(Member{Address: p.Address, DataCentre: p.DataCentre})
		}
	}
	for address, r := range n.records {
		p, published := listed[address]
		if !published && !r.confirmed {
			n.removeRecord(address)
			continue
		}
		if r.published && !published {
			r.expiresAt = max(r.expiresAt, now+n.cfg.DeadRetention)
		}
		r.published, r.leaving = published, p.Leaving
	}
	n.viewStale = true
}

// Leave marks this process as stopped by plan and returns the messages that
// announce it to the neighbours.
func (n *Node) Leave() []Action {
	n.digest -= hashMember(n.self)
	n.self.State = Left
	n.queueBroadcast(n.self)
	n.viewStale = true
	n.pushAll()
	out := n.actions
	n.actions = nil
	return out
}

// Merge applies the member updates that came with a message, and queues those
// that are new for broadcast.
func (n *Node) Merge(now time.Duration, members []Member) {
	for _, m := range members {
		n.applyUpdate(now, m, true)
	}
}

// MergeFullList applies a peer's full member list. Its updates are not queued for
// broadcast: that this process lacked them does not mean that others do. A
// process that joins 3,300 others would otherwise fill its messages with them
// for half an hour. If a whole side of a partition lacks them, the other
// processes on that side find the difference by comparing digests.
func (n *Node) MergeFullList(now time.Duration, members []Member) {
	for _, m := range members {
		n.applyUpdate(now, m, false)
	}
}

// FullList returns this process and all confirmed members, the recently dead
// included, for an exchange of full lists.
func (n *Node) FullList() []Member {
	out := []Member{n.self}
	for _, r := range n.records {
		if r.confirmed {
			out = append(out, r.Member)
		}
	}
	return out
}

// applyUpdate applies a member's state and, if propagate is set, queues a
// change for broadcast.
func (n *Node) applyUpdate(now time.Duration, m Member, propagate bool) {
	if m.Address == "" || m.Incarnation == 0 || m.Incarnation >= maxIncarnation || m.State < Alive || m.State > Left {
		return
	}
	if m.Address == n.self.Address {
		n.refute(m)
		return
	}
	r := n.records[m.Address]
	if r == nil {
		if m.State >= Dead {
			// A member that is dead or has left needs no record.
			return
		}
		r = n.addRecord(m)
		r.confirmed = true
		n.digest += hashMember(r.Member)
		n.recordChanged(now, r, propagate)
		return
	}
	if r.confirmed && !m.supersedes(r.Member) {
		return
	}
	if !r.confirmed && m.State >= Dead {
		return
	}
	n.replaceMember(now, r, m, propagate)
}

// replaceMember replaces the state that a record holds.
func (n *Node) replaceMember(now time.Duration, r *record, m Member, propagate bool) {
	// A known member that fails, leaves or returns changes ownership, so its
	// update is pushed at once. A new member owns nothing yet, so its update can
	// wait for the next probe.
	n.pushPending = n.pushPending || propagate && r.confirmed && r.isDeadOrLeft() != (m.State >= Dead)
	if r.inDigest() {
		n.digest -= hashMember(r.Member)
	}
	if m.DataCentre == "" {
		m.DataCentre = r.DataCentre
	}
	r.Member, r.confirmed = m, true
	if r.inDigest() {
		n.digest += hashMember(r.Member)
	}
	n.recordChanged(now, r, propagate)
}

func (n *Node) recordChanged(now time.Duration, r *record, propagate bool) {
	switch r.State {
	case Suspect:
		r.expiresAt = now + n.suspicionTimeout()
	case Dead, Left:
		r.expiresAt = now + n.cfg.DeadRetention
	}
	if propagate {
		n.queueBroadcast(r.Member)
	}
	n.viewStale = true
}

// refute raises this process's incarnation above that of a peer's newer entry
// for it. A process that was paused, or that replaced another at the same
// address, would otherwise stay dead to the fleet while it runs.
func (n *Node) refute(m Member) {
	if n.self.State == Left || !m.supersedes(n.self) {
		return
	}
	n.digest -= hashMember(n.self)
	n.self.Incarnation = m.Incarnation + 1
	n.digest += hashMember(n.self)
	n.queueBroadcast(n.self)
	n.viewStale = true
}

// suspicionTimeout is the time in which a suspect may refute. It grows with the
// logarithm of the fleet size.
func (n *Node) suspicionTimeout() time.Duration {
	scale := max(1, math.Log10(float64(len(n.records)+1)))
	return time.Duration(scale * float64(n.cfg.SuspicionTimeout))
}

func (n *Node) addRecord(m Member) *record {
	r := &record{Member: m, ringHashes: ringHashes(m.Address, n.cfg.RingCount)}
	n.records[m.Address] = r
	n.viewStale = true
	return r
}

func (n *Node) removeRecord(address string) {
	if r := n.records[address]; r != nil && r.inDigest() {
		n.digest -= hashMember(r.Member)
	}
	delete(n.records, address)
	delete(n.broadcasts, address)
	delete(n.peerDigests, address)
	n.viewStale = true
}

// isDeadOrLeft reports whether the member is dead or has left.
func (r *record) isDeadOrLeft() bool { return r.State >= Dead }

// inDigest reports whether the member is included in the digest.
func (r *record) inDigest() bool { return r.confirmed && !r.isDeadOrLeft() }

// hashMember covers the address and the incarnation, but not the difference
// between alive and suspect, which resolves by itself.
func hashMember(m Member) uint64 {
	return hash("member", m.Address) * (2*m.Incarnation + 1)
}
