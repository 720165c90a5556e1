package membership

import (
	"math"
	"math/rand/v2"
	"time"
)

// Node is the state of one process's view. It is not safe for concurrent use.
type Node struct {
	cfg  Config
	self Member
	rng  *rand.Rand

	records map[string]*record
	// digest sums the hashes of the members that are not gone, so that two
	// cores can compare their lists in eight bytes.
	digest uint64
	news   map[string]*news

	probes    map[uint64]*probe
	nextProbe uint64
	probeAt   time.Duration
	round     int
	lastTick  time.Duration
	sweepAt   time.Duration

	selfLeaving bool
	neighbours  []string
	dirty       bool
	version     uint64
	view        *View

	peerDigests map[string]digestPair
	syncedAt    time.Duration
	synced      bool
	urgent      bool
	pushAt      time.Duration
	out         []Action
}

// record is one other member.
type record struct {
	Member
	// heard is set once it or a peer vouched for it; before that it is only a
	// name on the published list.
	heard     bool
	published bool
	leaving   bool
	// until is when a suspect is taken for dead, or a dead one forgotten.
	until time.Duration
	rings []uint64
}

// news is one member's state that is still being passed on.
type news struct {
	Member
	sent int
}

type probe struct {
	target   string
	deadline time.Duration
	// indirect is set once relays were asked.
	indirect bool
}

// digestPair is what two cores' lists looked like at their last exchange.
type digestPair struct{ ours, theirs uint64 }

// New returns a core that knows only itself.
func New(cfg Config) *Node {
	cfg = cfg.withDefaults()
	c := &Node{
		cfg: cfg, self: cfg.Self, rng: rand.New(rand.NewPCG(cfg.Seed, hash("seed", cfg.Self.Address))),
		records: map[string]*record{}, news: map[string]*news{},
		probes: map[uint64]*probe{}, peerDigests: map[string]digestPair{}, dirty: true,
	}
	c.self.State = Alive
	c.digest = hashMember(c.self)
	c.tell(c.self)
	return c
}

// Self gives this process as it presents itself to others.
func (c *Node) Self() Member { return c.self }

// Digest sums up the members that are not gone.
func (c *Node) Digest() uint64 { return c.digest }

// View gives the picture as of the last tick.
func (c *Node) View() *View {
	if c.view == nil {
		c.refresh()
	}
	return c.view
}

// SetPublishedPeers takes the platform's list of hosts, or the addresses from the
// settings at the start. It makes members known; it neither makes one alive
// nor takes one away.
func (c *Node) SetPublishedPeers(now time.Duration, peers []Peer) {
	named := make(map[string]Peer, len(peers))
	for _, p := range peers {
		if p.Address == c.self.Address {
			c.selfLeaving = p.Leaving
			continue
		}
		named[p.Address] = p
		if c.records[p.Address] == nil {
			c.newRecord(Member{Address: p.Address, DataCentre: p.DataCentre})
		}
	}
	for address, r := range c.records {
		p, published := named[address]
		if !published && !r.heard {
			c.forget(address)
			continue
		}
		if r.published && !published {
			r.until = max(r.until, now+c.cfg.ForgetAfter)
		}
		r.published, r.leaving = published, p.Leaving
	}
	c.dirty = true
}

// Leave marks this process as stopping by plan and returns who to tell.
func (c *Node) Leave() []Action {
	c.digest -= hashMember(c.self)
	c.self.State = Left
	c.tell(c.self)
	c.dirty = true
	c.pushAll()
	out := c.out
	c.out = nil
	return out
}

// Merge takes the news that came with a message, and passes on what is new.
func (c *Node) Merge(now time.Duration, members []Member) {
	for _, m := range members {
		c.learn(now, m, true)
	}
}

// MergeFullList takes a peer's whole list. What it brings is not passed on as news:
// this process lacked it, the fleet need not. A process that joins 3,300
// others would otherwise fill its messages with them for half an hour. Where
// a whole side lacks it, after a partition, the others' own comparison of
// digests finds it.
func (c *Node) MergeFullList(now time.Duration, members []Member) {
	for _, m := range members {
		c.learn(now, m, false)
	}
}

// FullList gives every member that is not gone, and the recently dead, for an
// exchange of whole lists.
func (c *Node) FullList() []Member {
	out := []Member{c.self}
	for _, r := range c.records {
		if r.heard {
			out = append(out, r.Member)
		}
	}
	return out
}

// learn takes one piece of knowledge and, if asked to, passes on what is new.
func (c *Node) learn(now time.Duration, m Member, tell bool) {
	if m.Address == "" || m.Incarnation == 0 || m.Incarnation >= maxIncarnation || m.State < Alive || m.State > Left {
		return
	}
	if m.Address == c.self.Address {
		c.refute(m)
		return
	}
	r := c.records[m.Address]
	if r == nil {
		if m.State >= Dead {
			// Nothing is lost by not knowing of someone who is gone.
			return
		}
		r = c.newRecord(m)
		r.heard = true
		c.digest += hashMember(r.Member)
		c.changed(now, r, tell)
		return
	}
	if r.heard && !m.overrules(r.Member) {
		return
	}
	if !r.heard && m.State >= Dead {
		return
	}
	c.set(now, r, m, tell)
}

// set gives a record its new state.
func (c *Node) set(now time.Duration, r *record, m Member, tell bool) {
	// Who is gone, or back, changes who owns what: that is worth a message of
	// its own. A member that merely joins is not missed yet.
	c.urgent = c.urgent || tell && r.heard && r.gone() != (m.State >= Dead)
	if r.counts() {
		c.digest -= hashMember(r.Member)
	}
	if m.DataCentre == "" {
		m.DataCentre = r.DataCentre
	}
	r.Member, r.heard = m, true
	if r.counts() {
		c.digest += hashMember(r.Member)
	}
	c.changed(now, r, tell)
}

func (c *Node) changed(now time.Duration, r *record, tell bool) {
	switch r.State {
	case Suspect:
		r.until = now + c.suspectFor()
	case Dead, Left:
		r.until = now + c.cfg.ForgetAfter
	}
	if tell {
		c.tell(r.Member)
	}
	c.dirty = true
}

// refute answers news of this process itself. A process that was paused, or
// that replaced another at this address, hears what is believed of it and
// overrules it; without this it would stay dead to the fleet while it runs.
func (c *Node) refute(m Member) {
	if c.self.State == Left || !m.overrules(c.self) {
		return
	}
	c.digest -= hashMember(c.self)
	c.self.Incarnation = m.Incarnation + 1
	c.digest += hashMember(c.self)
	c.tell(c.self)
	c.dirty = true
}

// suspectFor grows with the logarithm of the fleet.
func (c *Node) suspectFor() time.Duration {
	scale := max(1, math.Log10(float64(len(c.records)+1)))
	return time.Duration(scale * float64(c.cfg.SuspectFor))
}

func (c *Node) newRecord(m Member) *record {
	r := &record{Member: m, rings: ringHashes(m.Address, c.cfg.RingCount)}
	c.records[m.Address] = r
	c.dirty = true
	return r
}

func (c *Node) forget(address string) {
	if r := c.records[address]; r != nil && r.counts() {
		c.digest -= hashMember(r.Member)
	}
	delete(c.records, address)
	delete(c.news, address)
	delete(c.peerDigests, address)
	c.dirty = true
}

// gone tells whether the member takes no part any more.
func (r *record) gone() bool { return r.State >= Dead }

// counts tells whether the member is part of the digest.
func (r *record) counts() bool { return r.heard && !r.gone() }

// hashMember covers address and incarnation, not the difference between alive
// and suspect, which passes by itself.
func hashMember(m Member) uint64 {
	return hash("member", m.Address) * (2*m.Incarnation + 1)
}
