package gatewayhost

import (
	"slices"
	"sync"
	"time"

	"filbertdeck/internal/controller/gossip"
	"filbertdeck/internal/decide/fleetsize"
	"filbertdeck/internal/decide/membership"
	"filbertdeck/internal/gateway"
)

const (
	// fleetSizeInterval is how often the number of hosts is updated.
	fleetSizeInterval = 500 * time.Millisecond
	// unsettledHostCount stands for the number of hosts before it is known. A share
	// of one in so many rounds to nothing, which costs a few sends; a share that is
	// too large violates a limit that holds for all hosts together.
	unsettledHostCount = 1_000_000
)

// fleetView answers questions about the hosts in the membership view: their
// number, and their ranks for a target.
type fleetView struct {
	self    string
	members *gossip.Board
	now     Clock

	mu   sync.Mutex
	size fleetsize.Estimator
	// liveByDataCentre caches the live hosts of the membership view of version
	// liveVersion, by data centre.
	liveByDataCentre map[string][]string
	liveVersion      uint64
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

// settledHostCount returns the number of hosts by which shares are divided, and false
// while it is not known.
func (f *fleetView) settledHostCount() (int, bool) {
	known := f.knownHostCount()
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(known, 1), f.size.Observe(f.now(), known)
}

// sharingHostCount returns the number of hosts that share the retry budget.
func (f *fleetView) sharingHostCount() int {
	if hosts, settled := f.settledHostCount(); settled {
		return hosts
	}
	return unsettledHostCount
}

// ownersPerTarget is the number of hosts that receive a target's counts: the
// owner and the host that takes over when the owner fails.
const ownersPerTarget = 2

// owners returns the live hosts that keep a target's counts, the owner first.
// They are hosts of the target's data centre as long as it has any: a partition
// between two data centres then separates a host from an owner only where it
// separates the host from the target as well.
func (f *fleetView) owners(target gateway.TargetRef) []string {
	live := f.liveHosts(target.DataCentre)
	if len(live) == 0 {
		live = f.liveHosts("")
	}
	return membership.TopRanked(target.ID, live, ownersPerTarget)
}

// version returns the version of the membership view; 0 before the first.
func (f *fleetView) version() uint64 {
	if view := f.members.Members.Get(); view != nil {
		return view.Version
	}
	return 0
}

// liveHosts returns the live hosts of a data centre; an empty name selects all. The
// caller must not modify the slice.
func (f *fleetView) liveHosts(dataCentre string) []string {
	view := f.members.Members.Get()
	if view == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.liveByDataCentre == nil || f.liveVersion != view.Version {
		f.liveByDataCentre, f.liveVersion = map[string][]string{}, view.Version
	}
	live, cached := f.liveByDataCentre[dataCentre]
	if !cached {
		live = view.EligibleAddresses(dataCentre)
		f.liveByDataCentre[dataCentre] = live
	}
	return live
}

// liveHostsOf returns the live hosts of some data centres, this one included.
func (f *fleetView) liveHostsOf(dataCentres []string) []string {
	var out []string
	for _, dc := range dataCentres {
		out = append(out, f.liveHosts(dc)...)
	}
	return out
}

// knownHostsOf returns the hosts of some data centres, including those marked dead.
func (f *fleetView) knownHostsOf(dataCentres []string) []string {
	view := f.members.Members.Get()
	if view == nil {
		return nil
	}
	var out []string
	for _, m := range view.Members {
		if slices.Contains(dataCentres, m.DataCentre) {
			out = append(out, m.Address)
		}
	}
	return out
}

// rateSharers returns the hosts among the first limit by rank for a target,
// without this host.
func (f *fleetView) rateSharers(target string, limit int) []string {
	top := membership.TopRanked(target, f.knownHosts(), limit)
	return slices.DeleteFunc(top, func(host string) bool { return host == f.self })
}

// rank returns this host's rank for a target and the number of hosts. Before the
// number is known the rank is behind that of any host with a share.
func (f *fleetView) rank(target string) (rank, hosts int) {
	hosts, settled := f.settledHostCount()
	if !settled {
		return unsettledHostCount, unsettledHostCount
	}
	return membership.RankOf(target, f.knownHosts(), f.self), hosts
}
