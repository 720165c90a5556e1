package pools

import (
	"cmp"
	"slices"
)

// AccountIndex knows the owner of each account with limits. It gives the same
// answers as AccountOwner, but looks only at what a change concerns: at the
// target size the list changes twice a minute, and ranking 3,300 hosts anew for
// each of 11,000 accounts would take a second of processor time each. It is not
// safe for concurrent use.
type AccountIndex struct {
	hosts []member
	byKey map[string]*owned
}

// member is a host that may own accounts.
type member struct {
	control string
	hash    uint64
}

type owned struct {
	key   uint64
	owner member
}

// NewAccountIndex returns an index without hosts and accounts.
func NewAccountIndex() *AccountIndex { return &AccountIndex{byKey: map[string]*owned{}} }

// SetHosts takes a published list. An account moves when its owner left the
// list, or when a host joined that ranks higher.
func (a *AccountIndex) SetHosts(hosts []Host) {
	next := eligible(hosts)
	joined := missing(next, a.hosts)
	left := missing(a.hosts, next)
	a.hosts = next
	gone := make(map[string]bool, len(left))
	for _, m := range left {
		gone[m.control] = true
	}
	for _, o := range a.byKey {
		if o.owner.control == "" || gone[o.owner.control] {
			o.owner = best(o.key, member{}, a.hosts)
			continue
		}
		o.owner = best(o.key, o.owner, joined)
	}
}

// SetAccounts takes the names of the accounts that have limits.
func (a *AccountIndex) SetAccounts(names []string) {
	old := a.byKey
	a.byKey = make(map[string]*owned, len(names))
	for _, name := range names {
		o := old[name]
		if o == nil {
			key := accountKey(name)
			o = &owned{key: key, owner: best(key, member{}, a.hosts)}
		}
		a.byKey[name] = o
	}
}

// Owner gives the control process that owns an account; ok is false for an
// account without limits, and while no host is known.
func (a *AccountIndex) Owner(account string) (control string, ok bool) {
	o := a.byKey[account]
	if o == nil || o.owner.control == "" {
		return "", false
	}
	return o.owner.control, true
}

// OwnedBy lists the accounts that a process owns, in the order of their names.
func (a *AccountIndex) OwnedBy(control string) []string {
	var out []string
	for name, o := range a.byKey {
		if o.owner.control == control {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// eligible gives the live hosts, or all when none is live, sorted.
func eligible(hosts []Host) []member {
	live := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Leaving })
	if len(live) == 0 {
		live = hosts
	}
	out := make([]member, len(live))
	for i, h := range live {
		out[i] = member{control: h.ControlAddress, hash: hash(h.ControlAddress)}
	}
	slices.SortFunc(out, func(a, b member) int { return cmp.Compare(a.control, b.control) })
	return out
}

// missing gives the members of a that are not in b; both are sorted.
func missing(a, b []member) []member {
	var out []member
	for _, m := range a {
		_, found := slices.BinarySearchFunc(b, m.control, func(x member, control string) int {
			return cmp.Compare(x.control, control)
		})
		if !found {
			out = append(out, m)
		}
	}
	return out
}

// best gives the first in rank of a host that is known and of others.
func best(key uint64, known member, others []member) member {
	top := rank(key, known.hash)
	for _, m := range others {
		r := rank(key, m.hash)
		if known.control == "" || r > top || (r == top && m.control < known.control) {
			known, top = m, r
		}
	}
	return known
}
