package membership

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
)

// queueBroadcast queues a member's state for sending to peers.
func (c *Node) queueBroadcast(m Member) { c.broadcasts[m.Address] = &broadcast{Member: m} }

// selectUpdates returns the updates for one message, the least transmitted
// first. The entry of the receiver itself is always included when it is not
// alive, so that the receiver can refute it.
func (c *Node) selectUpdates(to string) []Member {
	limit := c.transmitLimit()
	pending := make([]*broadcast, 0, len(c.broadcasts))
	for address, b := range c.broadcasts {
		if b.transmits >= limit {
			delete(c.broadcasts, address)
			continue
		}
		pending = append(pending, b)
	}
	slices.SortFunc(pending, func(a, b *broadcast) int {
		return cmp.Or(cmp.Compare(a.transmits, b.transmits), cmp.Compare(a.Address, b.Address))
	})
	var out []Member
	if r := c.records[to]; r != nil && r.confirmed && r.State != Alive {
		out = append(out, r.Member)
	}
	for _, b := range pending {
		if len(out) >= c.cfg.MaxUpdates {
			break
		}
		if b.Address == to {
			continue
		}
		b.transmits++
		out = append(out, b.Member)
	}
	return out
}

func (c *Node) transmitLimit() int {
	return transmitMultiplier * int(math.Ceil(math.Log10(float64(len(c.records)+2))))
}

// refreshView rebuilds the neighbours and the view after a change.
func (c *Node) refreshView() {
	if !c.viewStale && c.view != nil {
		return
	}
	c.viewStale = false
	c.neighbours = c.pickNeighbours()
	c.viewVersion++
	v := &View{Version: c.viewVersion, Self: c.self, Leaving: map[string]bool{}, Neighbours: c.neighbours}
	v.Members = append(v.Members, c.self)
	if c.selfLeaving {
		v.Leaving[c.self.Address] = true
	}
	for address, r := range c.records {
		if r.confirmed {
			v.Members = append(v.Members, r.Member)
		}
		if r.leaving {
			v.Leaving[address] = true
		}
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	c.view = v
}

// pickNeighbours returns this process's successor on each ring.
func (c *Node) pickNeighbours() []string {
	own := ringHashes(c.self.Address, c.cfg.RingCount)
	anyMember := func(string, *record) bool { return true }
	picked := map[string]bool{}
	for ring := range c.cfg.RingCount {
		// The unsigned difference wraps around at the end of the ring.
		if s := c.nearest(func(r *record) uint64 { return r.ringHashes[ring] - own[ring] }, anyMember); s != "" {
			picked[s] = true
		}
	}
	return slices.Sorted(maps.Keys(picked))
}

// relaysTo returns processes that have the target as a neighbour, and so a
// connection to it, among them some in data centres that are neither this
// process's nor the target's. When two data centres lose the link between them,
// relays in either of them can't help, and healthy members would be declared
// dead.
func (c *Node) relaysTo(target string) []string {
	targetRecord := c.records[target]
	inThirdDataCentre := func(r *record) bool {
		return r.DataCentre != c.self.DataCentre && r.DataCentre != targetRecord.DataCentre
	}
	inAnyDataCentre := func(*record) bool { return true }
	out := c.appendPredecessors(nil, targetRecord, target, thirdPartyRelayCount, inThirdDataCentre)
	return c.appendPredecessors(out, targetRecord, target, relayCount, inAnyDataCentre)
}

// appendPredecessors appends to out the processes that precede the target on a
// ring and that accept allows, until out has limit elements.
func (c *Node) appendPredecessors(out []string, targetRecord *record, target string, limit int, accept func(*record) bool) []string {
	for ring := range c.cfg.RingCount {
		if len(out) >= limit {
			break
		}
		predecessor := c.nearest(func(r *record) uint64 { return targetRecord.ringHashes[ring] - r.ringHashes[ring] }, func(address string, r *record) bool {
			return address != target && accept(r)
		})
		if predecessor != "" && !slices.Contains(out, predecessor) {
			out = append(out, predecessor)
		}
	}
	return out
}

// nearest returns the member at the smallest distance that is not gone and that
// accept allows.
func (c *Node) nearest(distance func(*record) uint64, accept func(string, *record) bool) string {
	best, bestDistance := "", uint64(math.MaxUint64)
	for address, r := range c.records {
		if r.isGone() || !accept(address, r) {
			continue
		}
		if d := distance(r); d < bestDistance || best == "" {
			best, bestDistance = address, d
		}
	}
	return best
}

func ringHashes(address string, rings int) []uint64 {
	out := make([]uint64, rings)
	for i := range out {
		out[i] = hash("ring"+strconv.Itoa(i), address)
	}
	return out
}
