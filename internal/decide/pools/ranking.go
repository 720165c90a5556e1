package pools

import "cmp"

// HostRanking ranks one list of hosts for many pools. It gives the order of Ranked,
// its first hosts only: at the target size a plan has 2,500 pools and 3,300
// hosts, and sorting all hosts for each pool took eight seconds.
type HostRanking struct {
	hosts []rankedHost
	// live counts the hosts of a data centre that do not leave.
	live     map[string]int
	byCentre map[string][]int
}

type rankedHost struct {
	Host
	// mixed is the part of the rank that depends on the host alone.
	mixed uint64
}

// NewHostRanking prepares a list of hosts.
func NewHostRanking(hosts []Host) *HostRanking {
	r := &HostRanking{hosts: make([]rankedHost, len(hosts)), live: map[string]int{}, byCentre: map[string][]int{}}
	for i, h := range hosts {
		r.hosts[i] = rankedHost{Host: h, mixed: mix(hash(h.ControlAddress))}
		r.byCentre[h.DataCentre] = append(r.byCentre[h.DataCentre], i)
		if !h.Leaving {
			r.live[h.DataCentre]++
		}
	}
	return r
}

// TopHosts gives the first n of Ranked.
func (r *HostRanking) TopHosts(pool Pool, n int) []Host {
	best := make([]candidate, 0, n+1)
	key := hash(pool.ID)
	if r.live[pool.DataCentre] >= n {
		for _, i := range r.byCentre[pool.DataCentre] {
			best = r.offer(best, n, key, pool.DataCentre, i)
		}
	} else {
		for i := range r.hosts {
			best = r.offer(best, n, key, pool.DataCentre, i)
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

// offer keeps the best n candidates in order.
func (r *HostRanking) offer(best []candidate, n int, key uint64, dc string, index int) []candidate {
	h := &r.hosts[index]
	c := candidate{index: index, tier: tier(dc, h.Host), rank: mix(key ^ h.mixed)}
	at := len(best)
	for at > 0 && r.before(c, best[at-1]) {
		at--
	}
	if at == n {
		return best
	}
	best = append(best, candidate{})
	copy(best[at+1:], best[at:])
	best[at] = c
	return best[:min(len(best), n)]
}

func (r *HostRanking) before(a, b candidate) bool {
	return cmp.Or(
		cmp.Compare(a.tier, b.tier), cmp.Compare(b.rank, a.rank),
		cmp.Compare(r.hosts[a.index].ControlAddress, r.hosts[b.index].ControlAddress),
	) < 0
}
