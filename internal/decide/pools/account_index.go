package pools

import (
	"cmp"
	"slices"
)

// AccountIndex indexes the owner of each account with limits. It gives the same
// results as AccountOwner, but updates incrementally: at the target scale the
// host list changes twice a minute, and ranking 3,300 hosts again for each of
// 11,000 accounts would take a second of CPU time per change. It is not safe
// for concurrent use.
type AccountIndex struct {
	hosts  []hashedHost
	byName map[string]*accountRecord
}

// hashedHost is a host that may own accounts, with the hash of its control
// address.
type hashedHost struct {
	control string
	hash    uint64
}

type accountRecord struct {
	key   uint64
	owner hashedHost
}

// NewAccountIndex returns an index without hosts or accounts.
func NewAccountIndex() *AccountIndex { return &AccountIndex{byName: map[string]*accountRecord{}} }

// SetHosts replaces the host list with a newly published one. An account
// changes its owner only if the owner was removed from the list, or if an added
// host ranks higher.
func (a *AccountIndex) SetHosts(hosts []Host) {
	eligible := eligibleHosts(hosts)
	added := difference(eligible, a.hosts)
	removed := difference(a.hosts, eligible)
	a.hosts = eligible
	removedControls := make(map[string]bool, len(removed))
	for _, host := range removed {
		removedControls[host.control] = true
	}
	for _, record := range a.byName {
		if record.owner.control == "" || removedControls[record.owner.control] {
			record.owner = highestRanked(record.key, hashedHost{}, a.hosts)
			continue
		}
		record.owner = highestRanked(record.key, record.owner, added)
	}
}

// SetAccounts replaces the set of accounts that have limits.
func (a *AccountIndex) SetAccounts(names []string) {
	old := a.byName
	a.byName = make(map[string]*accountRecord, len(names))
	for _, name := range names {
		record := old[name]
		if record == nil {
			key := accountKey(name)
			record = &accountRecord{key: key, owner: highestRanked(key, hashedHost{}, a.hosts)}
		}
		a.byName[name] = record
	}
}

// Owner returns the address of the control process that owns an account. ok is
// false for an account without limits, and while no host is known.
func (a *AccountIndex) Owner(account string) (control string, ok bool) {
	record := a.byName[account]
	if record == nil || record.owner.control == "" {
		return "", false
	}
	return record.owner.control, true
}

// OwnedBy returns the names of the accounts that a control process owns, sorted.
func (a *AccountIndex) OwnedBy(control string) []string {
	var out []string
	for name, record := range a.byName {
		if record.owner.control == control {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// eligibleHosts returns the hosts that are not leaving, or all hosts if all are
// leaving, sorted by control address.
func eligibleHosts(hosts []Host) []hashedHost {
	live := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Leaving })
	if len(live) == 0 {
		live = hosts
	}
	out := make([]hashedHost, len(live))
	for i, h := range live {
		out[i] = hashedHost{control: h.ControlAddress, hash: hash(h.ControlAddress)}
	}
	slices.SortFunc(out, func(a, b hashedHost) int { return cmp.Compare(a.control, b.control) })
	return out
}

// difference returns the elements of a that are not in b. Both must be sorted.
func difference(a, b []hashedHost) []hashedHost {
	var out []hashedHost
	for _, m := range a {
		_, found := slices.BinarySearchFunc(b, m.control, func(x hashedHost, control string) int {
			return cmp.Compare(x.control, control)
		})
		if !found {
			out = append(out, m)
		}
	}
	return out
}

// highestRanked returns the host with the highest rank for a key among the
// current one and others. The zero value of current means that there is none.
func highestRanked(key uint64, current hashedHost, others []hashedHost) hashedHost {
	topRank := rank(key, current.hash)
	for _, m := range others {
		r := rank(key, m.hash)
		if current.control == "" || r > topRank || (r == topRank && m.control < current.control) {
			current, topRank = m, r
		}
	}
	return current
}
