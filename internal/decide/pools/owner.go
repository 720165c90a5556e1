package pools

import (
	"cmp"
	"slices"
)

// Host is a published host that runs a control process.
type Host struct {
	// ControlAddress is the address of the control process.
	ControlAddress string
	DataCentre     string
	// Leaving hosts own nothing, unless all hosts are leaving.
	Leaving bool
}

// RankHosts returns the hosts whose control processes may admit for a pool, the
// owner first: hosts of the pool's data centre that are not leaving, then those
// of other data centres, then leaving ones, each group by rendezvous hash. If
// the owner is lost, the second host becomes the owner, and no other pool is
// affected.
func RankHosts(pool Pool, hosts []Host) []Host {
	out, key := slices.Clone(hosts), hash(pool.ID)
	slices.SortFunc(out, func(a, b Host) int { return compareHosts(key, pool.DataCentre, a, b) })
	return out
}

// Owner returns the first host of RankHosts. ok is false if there are no hosts.
func Owner(pool Pool, hosts []Host) (owner Host, ok bool) {
	return highestRankedHost(hash(pool.ID), pool.DataCentre, hosts)
}

// AccountOwner returns the host whose control process leases an account's
// limits. For many accounts, use the index in account_index.go instead.
func AccountOwner(account string, hosts []Host) (owner Host, ok bool) {
	return highestRankedHost(accountKey(account), "", hosts)
}

func accountKey(account string) uint64 { return hash("account/" + account) }

func highestRankedHost(key uint64, dc string, hosts []Host) (Host, bool) {
	if len(hosts) == 0 {
		return Host{}, false
	}
	return slices.MinFunc(hosts, func(a, b Host) int { return compareHosts(key, dc, a, b) }), true
}

// compareHosts orders two hosts by their rank for a key, the higher one first.
func compareHosts(key uint64, dc string, a, b Host) int {
	if c := cmp.Compare(hostTier(dc, a), hostTier(dc, b)); c != 0 {
		return c
	}
	return cmp.Or(
		cmp.Compare(rank(key, hash(b.ControlAddress)), rank(key, hash(a.ControlAddress))),
		cmp.Compare(a.ControlAddress, b.ControlAddress),
	)
}

func hostTier(dc string, h Host) int {
	switch {
	case h.Leaving:
		return 2
	case dc != "" && h.DataCentre != dc:
		return 1
	default:
		return 0
	}
}
