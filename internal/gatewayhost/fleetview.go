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
	// fleetSizeInterval is how often the number of hosts is updated.
	fleetSizeInterval = 500 * time.Millisecond
	// startupPeriod is the time after the start in which the process does not
	// rely on the number of hosts that it knows and assumes at least
	// startupHostCount. A share that is too small costs a few sends; a share
	// that is too large violates a limit that holds for all hosts together.
	startupPeriod    = 3 * time.Second
	startupHostCount = 100
)

// fleetView answers questions about the hosts in the membership view: their
// number, and their ranks for a target.
type fleetView struct {
	self    string
	members *gossip.Board
	now     Clock

	mu sync.Mutex
	// ownersByTarget caches the owners computed from the membership view of
	// version ownersVersion.
	ownersByTarget map[gateway.TargetRef][]string
	ownersVersion  uint64
}

func newFleetView(s *Settings, members *gossip.Board, now Clock) *fleetView {
	return &fleetView{self: s.Deployment.ListenPeers, members: members, now: now}
}

// knownHosts returns all hosts in the membership view, including those marked
// dead: a host behind a network partition looks dead and keeps serving.
func (f *fleetView) knownHosts() []string {
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

// knownHostCount returns the number of hosts in the membership view, including
// those marked dead.
func (f *fleetView) knownHostCount() int {
	if view := f.members.Members.Get(); view != nil {
		return len(view.Members)
	}
	return 1
}

func (f *fleetView) assumedHostCount() int {
	n := max(f.knownHostCount(), 1)
	if f.now() < startupPeriod {
		n = max(n, startupHostCount)
	}
	return n
}

// ownersPerTarget is the number of hosts that receive a target's counts: the
// owner and the host that takes over when the owner fails.
const ownersPerTarget = 2

// maxCachedTargets bounds the cached targets, because engines come and go while
// the membership stays the same.
const maxCachedTargets = 1000

// owners returns the live hosts that keep a target's counts, the owner first.
// They are hosts of the target's data centre as long as it has any: a partition
// between two data centres then separates a host from an owner only where it
// separates the host from the target as well.
func (f *fleetView) owners(target gateway.TargetRef) []string {
	view := f.members.Members.Get()
	if view == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ownersByTarget == nil || f.ownersVersion != view.Version || len(f.ownersByTarget) >= maxCachedTargets {
		f.ownersByTarget, f.ownersVersion = map[gateway.TargetRef][]string{}, view.Version
	}
	owners, cached := f.ownersByTarget[target]
	if !cached {
		owners = rankOwners(view, target)
		f.ownersByTarget[target] = owners
	}
	return owners
}

func rankOwners(view *membership.View, target gateway.TargetRef) []string {
	live := view.EligibleAddresses(target.DataCentre)
	if len(live) == 0 {
		live = view.EligibleAddresses("")
	}
	ranked := membership.Rank(target.ID, live)
	return ranked[:min(len(ranked), ownersPerTarget)]
}

// rateSharers returns the hosts among the first limit by rank for a target,
// without this host.
func (f *fleetView) rateSharers(target string, limit int) []string {
	ranked := membership.Rank(target, f.knownHosts())
	ranked = ranked[:min(len(ranked), limit)]
	return slices.DeleteFunc(ranked, func(host string) bool { return host == f.self })
}

// rank returns this host's rank for a target and the assumed number of hosts.
func (f *fleetView) rank(target string) (rank, hosts int) {
	rank = slices.Index(membership.Rank(target, f.knownHosts()), f.self)
	return max(rank, 0), f.assumedHostCount()
}
