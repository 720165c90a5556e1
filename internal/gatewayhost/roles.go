package gatewayhost

import (
	"sync"

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

	mu      sync.Mutex
	readers *readers.Readers
	turn    int
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
	live := view.Live("")
	if len(live) > smallFleet {
		live = view.Live(r.dataCentre)
	}
	return membership.Rank(rankKey, live)
}

// reads tells whether this host is to read the store.
func (r *roles) reads() bool {
	ranked := r.ranked()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers.Read(r.now(), r.self, ranked)
}

// heard notes what another host said of its role.
func (r *roles) heard(host string, reading bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers.Heard(r.now(), host, reading)
}

// next gives the reader to ask, each in turn; false when none is known.
func (r *roles) next() (string, bool) {
	known := r.known()
	if len(known) == 0 {
		return "", false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn++
	return known[r.turn%len(known)], true
}

// known gives the other hosts that are known to read the store.
func (r *roles) known() []string {
	ranked := r.ranked()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers.Known(r.now(), r.self, ranked)
}
