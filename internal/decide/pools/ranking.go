package pools

import "cmp"

// HostRanking ranks one list of hosts for many pools. It gives the same order as
// RankHosts, but computes only the first hosts: at the target scale a plan has
// 2,500 pools and 3,300 hosts, and sorting all hosts for each pool took eight
// seconds.
type HostRanking struct {
	hosts []rankedHost
	// liveCount is the number of hosts in each data centre that are not
	// leaving.
	liveCount    map[string]int
	byDataCentre map[string][]int
}

type rankedHost struct {
	Host
	// mixedHash is the part of the rank that depends on the host alone.
	mixedHash uint64
}

// NewHostRanking returns a ranking of a list of hosts.
func NewHostRanking(hosts []Host) *HostRanking {
	r := &HostRanking{hosts: make([]rankedHost, len(hosts)), liveCount: map[string]int{}, byDataCentre: map[string][]int{}}
	for i, h := range hosts {
		r.hosts[i] = rankedHost{Host: h, mixedHash: mix(hash(h.ControlAddress))}
		r.byDataCentre[h.DataCentre] = append(r.byDataCentre[h.DataCentre], i)
		if !h.Leaving {
			r.liveCount[h.DataCentre]++
		}
	}
	return r
}

// TopHosts returns the first n hosts of RankHosts.
func (r *HostRanking) TopHosts(pool Pool, n int) []Host {
	best := make([]candidate, 0, n+1)
	key := hash(pool.ID)
	if r.liveCount[pool.DataCentre] >= n {
		for _, i := range r.byDataCentre[pool.DataCentre] {
			best = r.insert(best, n, key, pool.DataCentre, i)
		}
	} else {
		for i := range r.hosts {
			best = r.insert(best, n, key, pool.DataCentre, i)
		}
	}
	out := make([]Host, len(best))
	for i, c := range best {
		out[i] = r.hosts[c.index].Host
	}
	return out
}

type candidate struct {
	index, tier int
	rank        uint64
}

// insert adds a host to the sorted list of the best n candidates if it ranks
// among them.
func (r *HostRanking) insert(best []candidate, n int, key uint64, dc string, index int) []candidate {
	h := &r.hosts[index]
	c := candidate{index: index, tier: hostTier(dc, h.Host), rank: mix(key ^ h.mixedHash)}
	pos := len(best)
	for pos > 0 && r.less(c, best[pos-1]) {
		pos--
	}
	if pos == n {
		return best
	}
	best = append(best, candidate{})
	copy(best[pos+1:], best[pos:])
	best[pos] = c
	return best[:min(len(best), n)]
}

func (r *HostRanking) less(a, b candidate) bool {
	return cmp.Or(
		cmp.Compare(a.tier, b.tier), cmp.Compare(b.rank, a.rank),
		cmp.Compare(r.hosts[a.index].ControlAddress, r.hosts[b.index].ControlAddress),
	) < 0
}
