package pools

import (
	"cmp"
	"slices"
)

// Host is a published host that runs a control process.
type Host struct {
	// Control is the control process's address.
	Control    string
	DataCentre string
	// Leaving hosts own nothing, unless all hosts leave.
	Leaving bool
}

// Ranked gives the control processes that may admit for a pool, the owner
// first: live hosts of the pool's data centre, then live hosts elsewhere, then
// leaving ones, each group by rendezvous hash. The owner's loss makes the
// second the owner and changes no other pool.
func Ranked(pool Pool, hosts []Host) []Host { return rankFor(pool.ID, pool.DataCentre, hosts) }

// Owner gives the first of Ranked; ok is false without hosts.
func Owner(pool Pool, hosts []Host) (owner Host, ok bool) {
	return firstFor(pool.ID, pool.DataCentre, hosts)
}

// AccountOwner gives the control process that leases an account's limits.
func AccountOwner(account string, hosts []Host) (owner Host, ok bool) {
	return firstFor("account/"+account, "", hosts)
}

func rankFor(key, dc string, hosts []Host) []Host {
	out := slices.Clone(hosts)
	k := hash(key)
	slices.SortFunc(out, func(a, b Host) int { return compare(k, dc, a, b) })
	return out
}

// firstFor finds the first in rank without sorting: at the target size each
// process does this for thousands of accounts when the list changes.
func firstFor(key, dc string, hosts []Host) (Host, bool) {
	if len(hosts) == 0 {
		return Host{}, false
	}
	k := hash(key)
	best := hosts[0]
	for _, h := range hosts[1:] {
		if compare(k, dc, h, best) < 0 {
			best = h
		}
	}
	return best, true
}

// compare orders two hosts for a key, the better first.
func compare(key uint64, dc string, a, b Host) int {
	if c := cmp.Compare(tier(dc, a), tier(dc, b)); c != 0 {
		return c
	}
	return cmp.Or(
		cmp.Compare(rank(key, hash(b.Control)), rank(key, hash(a.Control))),
		cmp.Compare(a.Control, b.Control),
	)
}

func tier(dc string, h Host) int {
	switch {
	case h.Leaving:
		return 2
	case dc != "" && h.DataCentre != dc:
		return 1
	default:
		return 0
	}
}
