package membership

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
)

// queueBroadcast queues a member's state for sending to peers.
func (n *Node) queueBroadcast(m Member) { n.broadcasts[m.Address] = &broadcast{Member: m} }

// selectUpdates returns the updates for one message, the least transmitted
// first. The entry of the receiver itself is always included when it is not
// alive, so that the receiver can refute it.
func (n *Node) selectUpdates(to string) []Member {
	limit := n.transmitLimit()
	pending := make([]*broadcast, 0, len(n.broadcasts))
	for address, b := range n.broadcasts {
		if b.transmits >= limit {
			delete(n.broadcasts, address)
			continue
		}
		pending = append(pending, b)
	}
	slices.SortFunc(pending, func(a, b *broadcast) int {
		return cmp.Or(cmp.Compare(a.transmits, b.transmits), cmp.Compare(a.Address, b.Address))
	})
	var out []Member
	if r := n.records[to]; r != nil && r.confirmed && r.State != Alive {
		out = append(out, r.Member)
	}
	for _, b := range pending {
		if len(out) >= n.cfg.MaxUpdates {
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

func (n *Node) transmitLimit() int {
	return transmitMultiplier * int(math.Ceil(math.Log10(float64(len(n.records)+2))))
}

// refreshView rebuilds the neighbours and the view after a change.
func (n *Node) refreshView() {
	if !n.viewStale && n.view != nil {
		return
	}
	n.viewStale = false
	n.neighbours = n.pickNeighbours()
	n.viewVersion++
	v := &View{Version: n.viewVersion, Self: n.self, Leaving: map[string]bool{}, Neighbours: n.neighbours}
	v.Members = append(v.Members, n.self)
	if n.selfLeaving {
		v.Leaving[n.self.Address] = true
	}
	for address, r := range n.records {
		if r.confirmed {
			v.Members = append(v.Members, r.Member)
		}
		if r.leaving {
			v.Leaving[address] = true
		}
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	n.view = v
}

// pickNeighbours returns this process's successor on each ring.
func (n *Node) pickNeighbours() []string {
	own := ringHashes(n.self.Address, n.cfg.RingCount)
	anyMember := func(string, *record) bool { return true }
	picked := map[string]bool{}
	for ring := range n.cfg.RingCount {
		// The unsigned difference wraps around at the end of the ring.
		if s := n.nearest(func(r *record) uint64 { return r.ringHashes[ring] - own[ring] }, anyMember); s != "" {
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
func (n *Node) relaysTo(target string) []string {
	targetRecord := n.records[target]
	inThirdDataCentre := func(r *record) bool {
		return r.DataCentre != n.self.DataCentre && r.DataCentre != targetRecord.DataCentre
	}
	inAnyDataCentre := func(*record) bool { return true }
	out := n.appendPredecessors(nil, targetRecord, target, thirdPartyRelayCount, inThirdDataCentre)
	return n.appendPredecessors(out, targetRecord, target, relayCount, inAnyDataCentre)
}

// appendPredecessors appends to out the processes that precede the target on a
// ring and that accept allows, until out has limit elements.
func (n *Node) appendPredecessors(out []string, targetRecord *record, target string, limit int, accept func(*record) bool) []string {
	for ring := range n.cfg.RingCount {
		if len(out) >= limit {
			break
		}
		predecessor := n.nearest(func(r *record) uint64 { return targetRecord.ringHashes[ring] - r.ringHashes[ring] }, func(address string, r *record) bool {
			return address != target && accept(r)
		})
		if predecessor != "" && !slices.Contains(out, predecessor) {
			out = append(out, predecessor)
		}
	}
	return out
}

// nearest returns the member at the smallest distance that is neither dead nor
// left and that accept allows, or "" if there is none.
func (n *Node) nearest(distance func(*record) uint64, accept func(string, *record) bool) string {
	best, bestDistance := "", uint64(math.MaxUint64)
	for address, r := range n.records {
		if r.isDeadOrLeft() || !accept(address, r) {
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
