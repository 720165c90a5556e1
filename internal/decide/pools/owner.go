package pools

import (
	"cmp"
	"slices"
)

// Host is a published host that runs a control process.
type Host struct {
	// ControlAddress is the control process's address.
	ControlAddress string
	DataCentre     string
	// Leaving hosts own nothing, unless all hosts leave.
	Leaving bool
}

// Ranked gives the control processes that may admit for a pool, the owner
// first: live hosts of the pool's data centre, then live hosts elsewhere, then
// leaving ones, each group by rendezvous hash. The owner's loss makes the
// second the owner and changes no other pool.
func Ranked(pool Pool, hosts []Host) []Host {
	out, key := slices.Clone(hosts), hash(pool.ID)
	slices.SortFunc(out, func(a, b Host) int { return compare(key, pool.DataCentre, a, b) })
	return out
}

// Owner gives the first of Ranked; ok is false without hosts.
func Owner(pool Pool, hosts []Host) (owner Host, ok bool) {
	return firstFor(hash(pool.ID), pool.DataCentre, hosts)
}

// AccountOwner gives the control process that leases an account's limits. Use
// Accounts for many of them.
func AccountOwner(account string, hosts []Host) (owner Host, ok bool) {
	return firstFor(accountKey(account), "", hosts)
}

func accountKey(account string) uint64 { return hash("account/" + account) }

func firstFor(key uint64, dc string, hosts []Host) (Host, bool) {
	if len(hosts) == 0 {
		return Host{}, false
	}
	return slices.MinFunc(hosts, func(a, b Host) int { return compare(key, dc, a, b) }), true
}

// compare orders two hosts for a key, the better first.
func compare(key uint64, dc string, a, b Host) int {
	if c := cmp.Compare(tier(dc, a), tier(dc, b)); c != 0 {
		return c
	}
	return cmp.Or(
		cmp.Compare(rank(key, hash(b.ControlAddress)), rank(key, hash(a.ControlAddress))),
		cmp.Compare(a.ControlAddress, b.ControlAddress),
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
