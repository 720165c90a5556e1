package membership

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
)

// tell puts news of a member up for passing on.
func (c *Node) tell(m Member) { c.news[m.Address] = &news{Member: m} }

// updates picks the news for one message: what was passed on least goes first,
// and always what is believed of the receiver itself when that is not alive,
// so that it can refute.
func (c *Node) updates(to string) []Member {
	limit := c.resendLimit()
	pending := make([]*news, 0, len(c.news))
	for address, n := range c.news {
		if n.sent >= limit {
			delete(c.news, address)
			continue
		}
		pending = append(pending, n)
	}
	slices.SortFunc(pending, func(a, b *news) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.Address, b.Address))
	})
	var out []Member
	if r := c.records[to]; r != nil && r.heard && r.State != Alive {
		out = append(out, r.Member)
	}
	for _, n := range pending {
		if len(out) >= c.cfg.MaxUpdates {
			break
		}
		if n.Address == to {
			continue
		}
		n.sent++
		out = append(out, n.Member)
	}
	return out
}

func (c *Node) resendLimit() int {
	return resend * int(math.Ceil(math.Log10(float64(len(c.records)+2))))
}

// refresh rebuilds neighbours and view after a change.
func (c *Node) refresh() {
	if !c.dirty && c.view != nil {
		return
	}
	c.dirty = false
	c.neighbours = c.pickNeighbours()
	c.version++
	v := &View{Version: c.version, Self: c.self, Leaving: map[string]bool{}, Neighbours: c.neighbours}
	v.Members = append(v.Members, c.self)
	if c.selfLeaving {
		v.Leaving[c.self.Address] = true
	}
	for address, r := range c.records {
		if r.heard {
			v.Members = append(v.Members, r.Member)
		}
		if r.leaving {
			v.Leaving[address] = true
		}
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	c.view = v
}

// pickNeighbours gives this process's successor on each ring.
func (c *Node) pickNeighbours() []string {
	own := ringHashes(c.self.Address, c.cfg.RingCount)
	all := func(string, *record) bool { return true }
	picked := map[string]bool{}
	for ring := range c.cfg.RingCount {
		// Distances wrap around, as on a ring.
		if s := c.nearest(func(r *record) uint64 { return r.rings[ring] - own[ring] }, all); s != "" {
			picked[s] = true
		}
	}
	return slices.Sorted(maps.Keys(picked))
}

// relaysFor gives other processes that have the target as their neighbour, and
// so a connection to it, and some of data centres that are neither this
// process's nor the target's. When two data centres lose each other, relays in
// either of them can't help, and members that are well would be taken for dead.
func (c *Node) relaysFor(target string) []string {
	t := c.records[target]
	third := func(r *record) bool { return r.DataCentre != c.self.DataCentre && r.DataCentre != t.DataCentre }
	anywhere := func(*record) bool { return true }
	out := c.predecessors(nil, t, target, thirdRelays, third)
	return c.predecessors(out, t, target, relays, anywhere)
}

// predecessors adds to some processes those that come before a member on a ring
// and are of a kind, until there are so many.
func (c *Node) predecessors(out []string, t *record, target string, most int, kind func(*record) bool) []string {
	for ring := range c.cfg.RingCount {
		if len(out) >= most {
			break
		}
		p := c.nearest(func(r *record) uint64 { return t.rings[ring] - r.rings[ring] }, func(address string, r *record) bool {
			return address != target && kind(r)
		})
		if p != "" && !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	return out
}

// nearest gives the member at the least distance that takes part and fits.
func (c *Node) nearest(distance func(*record) uint64, fits func(string, *record) bool) string {
	best, at := "", uint64(math.MaxUint64)
	for address, r := range c.records {
		if r.gone() || !fits(address, r) {
			continue
		}
		if d := distance(r); d < at || best == "" {
			best, at = address, d
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
