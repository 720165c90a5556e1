package gatewayhost

import (
	"slices"
	"sync"
	"time"

	"filbertdeck/internal/controller/gossip"
	"filbertdeck/internal/decide/membership"
	"filbertdeck/internal/gateway"
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

	mu sync.Mutex
	// owned are the owners that were worked out in the view of a version.
	owned   map[gateway.TargetRef][]string
	version uint64
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

// count is the number of hosts that were heard of.
func (f *fleetSize) count() int {
	if view := f.members.Members.Get(); view != nil {
		return len(view.Members)
	}
	return 1
}

func (f *fleetSize) hosts() int {
	n := max(f.count(), 1)
	if f.now() < strangerFor {
		n = max(n, strangerHosts)
	}
	return n
}

// copiesOfCounts is the number of hosts that are told a target's counts: the
// owner, and the one that follows when it is gone.
const copiesOfCounts = 2

// mostOwned bounds the targets whose owners are remembered: engines come and go
// while members stay.
const mostOwned = 1000

// owners gives the live hosts that keep a target's counts, the owner first. They
// are hosts of the target's data centre while it has any: a cut between two
// data centres then parts a host from an owner only where it parts it from the
// target as well.
func (f *fleetSize) owners(target gateway.TargetRef) []string {
	view := f.members.Members.Get()
	if view == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.owned == nil || f.version != view.Version || len(f.owned) >= mostOwned {
		f.owned, f.version = map[gateway.TargetRef][]string{}, view.Version
	}
	owners, known := f.owned[target]
	if !known {
		owners = rankOwners(view, target)
		f.owned[target] = owners
	}
	return owners
}

func rankOwners(view *membership.View, target gateway.TargetRef) []string {
	live := view.LiveAddresses(target.DataCentre)
	if len(live) == 0 {
		live = view.LiveAddresses("")
	}
	ranked := membership.Rank(target.ID, live)
	return ranked[:min(len(ranked), copiesOfCounts)]
}

// holders gives the first hosts by their rank for a target, this one left out.
func (f *fleetSize) holders(target string, most int) []string {
	ranked := membership.Rank(target, f.known())
	ranked = ranked[:min(len(ranked), most)]
	return slices.DeleteFunc(ranked, func(host string) bool { return host == f.self })
}

// rank gives this host's rank for a target, and the number of hosts.
func (f *fleetSize) rank(target string) (rank, hosts int) {
	rank = slices.Index(membership.Rank(target, f.known()), f.self)
	return max(rank, 0), f.hosts()
}
