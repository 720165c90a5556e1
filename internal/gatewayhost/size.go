package gatewayhost

import (
	"slices"
	"time"

	"filbertdeck/internal/controller/gossip"
	"filbertdeck/internal/decide/membership"
)

const (
	// sizeEvery is how often the number of hosts is looked up.
	sizeEvery = 500 * time.Millisecond
	// strangerFor is how long after its start a process doesn't trust the
	// number of hosts that it knows; strangerHosts is the number taken
	// meanwhile. Parts that are too small cost a few sends, parts that are too
	// large break a bound that holds for all hosts together.
	strangerFor   = 3 * time.Second
	strangerHosts = 100
)

// fleetSize tells how many hosts share what is bounded for all of them.
type fleetSize struct {
	self    string
	members *gossip.Board
	now     Clock
}

func newFleetSize(s *Settings, members *gossip.Board, now Clock) *fleetSize {
	return &fleetSize{self: s.Deployment.ListenPeers, members: members, now: now}
}

// known gives the hosts that were heard of, dead ones too: a host behind a
// partition looks dead and goes on serving.
func (f *fleetSize) known() []string {
	view := f.members.Members.Get()
	if view == nil {
		return []string{f.self}
	}
	hosts := make([]string, len(view.Members))
	for i, m := range view.Members {
		hosts[i] = m.Address
	}
	return hosts
}

func (f *fleetSize) hosts() int {
	n := max(len(f.known()), 1)
	if f.now() < strangerFor {
		n = max(n, strangerHosts)
	}
	return n
}

// owner gives the live host that has the newest counts of a target.
func (f *fleetSize) owner(target string) (string, bool) {
	view := f.members.Members.Get()
	if view == nil {
		return "", false
	}
	live := view.Live("")
	if len(live) == 0 {
		return "", false
	}
	return membership.Rank(target, live)[0], true
}

// rank gives this host's rank for a target, and the number of hosts.
func (f *fleetSize) rank(target string) (rank, hosts int) {
	rank = slices.Index(membership.Rank(target, f.known()), f.self)
	return max(rank, 0), f.hosts()
}
