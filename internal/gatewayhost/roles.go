package gatewayhost

import (
	"slices"
	"sync"
	"time"

	"filbertdeck/internal/controller/gossip"
	"filbertdeck/internal/decide/membership"
	"filbertdeck/internal/decide/readers"
)

// rankKey seeds the rank of hosts as readers of the store.
const rankKey = "published"

// smallFleet is the number of hosts up to which the whole fleet shares its
// readers; in a larger one each data centre has its own, so that the questions
// to a reader don't grow with the fleet.
const smallFleet = 32

// roles tells which hosts read the store.
type roles struct {
	self, dataCentre string
	members          *gossip.Board
	now              Clock
	// age tells how old what this host knows is, false when it knows nothing;
	// set before the first question.
	age func() (time.Duration, bool)

	mu      sync.Mutex
	readers *readers.Readers
	turn    int
	// rank is the order of the live hosts in the view of a version.
	rank    []string
	version uint64
}

func newRoles(s *Settings, members *gossip.Board, now Clock) *roles {
	return &roles{
		self: s.Deployment.ListenPeers, dataCentre: s.DataCentre, members: members, now: now,
		readers: readers.New(readers.Default()),
	}
}

// ranked gives the live hosts that share readers with this one, best first.
func (r *roles) ranked() []string {
	view := r.members.Members.Get()
	if view == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rank == nil || r.version != view.Version {
		live := view.Live("")
		many := len(live) > smallFleet
		if many {
			live = view.Live(r.dataCentre)
		}
		r.readers.OneOfMany(many)
		r.rank, r.version = membership.Rank(rankKey, live), view.Version
	}
	return r.rank
}

// shares tells whether another host shares readers of the store with this one.
func (r *roles) shares(host string) bool { return slices.Contains(r.ranked(), host) }

// rankOfSelf is this host's place among those that share its readers, 0 for the
// first.
func (r *roles) rankOfSelf() int { return max(slices.Index(r.ranked(), r.self), 0) }

// reads tells whether this host is to read the store.
func (r *roles) reads() bool {
	ranked := r.ranked()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers.Read(r.now(), r.self, ranked, r.fresh())
}

// fresh tells whether this host can do without reading for the moment.
func (r *roles) fresh() bool {
	age, known := r.age()
	return known && age < staleAfter
}

// heard notes what another host said of its role.
func (r *roles) heard(host string, reading bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers.Heard(r.now(), host, reading)
}

// next gives a host to ask, each in turn: those known to read or, when fewer
// are known than there should be, those that should read by their rank. In a
// fleet where a host has only a few neighbours it hears from no reader unasked,
// and would read for itself for good. False when there is no other host.
func (r *roles) next() (string, bool) {
	hosts := r.known()
	if len(hosts) < r.wanted() {
		hosts = r.best()
	}
	if len(hosts) == 0 {
		return "", false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn++
	return hosts[r.turn%len(hosts)], true
}

func (r *roles) wanted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers.Wanted()
}

// bestAsked is the number of hosts, by rank, that are asked while too few are
// known to read: the readers, and the next in line should one of them be gone.
const bestAsked = 3

// best gives the other hosts that should read by their rank.
func (r *roles) best() []string {
	others := slices.DeleteFunc(slices.Clone(r.ranked()), func(host string) bool { return host == r.self })
	return others[:min(len(others), bestAsked)]
}

// unsure tells whether this host reads although others should by their rank:
// they may read already, and not be heard of.
func (r *roles) unsure() bool {
	ranked := r.ranked()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers.Read(r.now(), r.self, ranked, r.fresh()) && !r.readers.Among(r.self, ranked)
}

// known gives the other hosts that are known to read the store.
func (r *roles) known() []string {
	ranked := r.ranked()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers.Known(r.now(), r.self, ranked)
}
