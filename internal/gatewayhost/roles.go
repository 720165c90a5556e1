package gatewayhost

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"filbertdeck/internal/controller/gossip"
	"filbertdeck/internal/decide/membership"
	"filbertdeck/internal/decide/readers"
)

// rankKey seeds the rank of hosts as readers of the store.
const rankKey = "published"

// smallFleet is the number of hosts up to which all of them ask the readers of
// the store. In a larger one a relay in each data centre does, and the others ask
// their relay: neither the calls to the store nor the questions to a reader grow
// with the fleet.
const smallFleet = 32

// roles tells which hosts read the store, and which ask those that do.
type roles struct {
	self, dataCentre string
	members          *gossip.Board
	now              Clock
	log              *slog.Logger
	// patient is set at a host that waits for others' news when it starts.
	patient bool
	// age tells how old what this host knows is, false when it knows nothing;
	// set before the first question.
	age func() (time.Duration, bool)
	// storeRejects tells whether the store rejected a call of this host lately; set like age.
	storeRejects func() bool

	mu      sync.Mutex
	readers *readers.Selector
	// relays are those whose news are new enough, stale those that have the role
	// and nothing new: all of them while the store is away.
	relays, stale *readers.Selector
	turn          int
	// relayed is whether this host was a relay when it was last looked.
	relayed bool
	// ranks are those of the live hosts in the view of a version.
	ranks   ranks
	version uint64
}

// ranks are lists of hosts, best first.
type ranks struct {
	known bool
	// nearby are the hosts that share this one's relay: those of its data centre,
	// in a small fleet all.
	nearby []string
	// heads are this host and the first of each other data centre, in a small
	// fleet all.
	heads []string
	small bool
}

func newRoles(s *Settings, members *gossip.Board, now Clock, log *slog.Logger) *roles {
	relays, stale := readers.DefaultConfig(), readers.DefaultConfig()
	relays.ReaderCount, stale.ReaderCount = 1, staleRelays
	d := s.Deployment
	seed := len(d.Seeds) == 0 || slices.Contains(d.Seeds, d.ListenPeers)
	return &roles{
		patient: d.FirstStart && !seed,
		self:    d.ListenPeers, dataCentre: s.DataCentre, members: members, now: now, log: log,
		readers: readers.New(readers.DefaultConfig()), relays: readers.New(relays), stale: readers.New(stale),
	}
}

// ranked gives the ranks of the hosts that are live now.
func (r *roles) ranked() ranks {
	view := r.members.Members.Get()
	if view == nil {
		return ranks{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ranks.known || r.version != view.Version {
		r.ranks, r.version = r.rank(view), view.Version
	}
	return r.ranks
}

func (r *roles) rank(view *membership.View) ranks {
	all := membership.Rank(rankKey, view.LiveAddresses(""))
	if len(all) <= smallFleet {
		return ranks{known: true, nearby: all, heads: all, small: true}
	}
	dataCentres := make(map[string]string, len(view.Members))
	for _, m := range view.Members {
		dataCentres[m.Address] = m.DataCentre
	}
	out := ranks{known: true}
	taken := map[string]bool{r.dataCentre: true}
	for _, host := range all {
		dataCentre := dataCentres[host]
		if dataCentre == r.dataCentre {
			out.nearby = append(out.nearby, host)
		}
		if host == r.self || !taken[dataCentre] {
			taken[dataCentre] = true
			out.heads = append(out.heads, host)
		}
	}
	return out
}

// shares tells whether another host belongs to this one's part of the fleet.
func (r *roles) shares(host string) bool { return slices.Contains(r.ranked().nearby, host) }

// rankOfSelf is this host's place in its part of the fleet, 0 for the first.
func (r *roles) rankOfSelf() int { return max(slices.Index(r.ranked().nearby, r.self), 0) }

// firstWait is how long a host that starts together with all others leaves it to
// the seeds to read the store: no caller is there yet, and hundreds of hosts would
// read everything at the same moment.
const firstWait = 2 * time.Second

// reads tells whether this host is to read the store.
func (r *roles) reads() bool {
	if _, known := r.age(); r.patient && !known && r.now() < firstWait {
		return false
	}
	ranked := r.ranked()
	if !r.relaysBy(ranked) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers.ShouldRead(r.now(), r.self, ranked.heads, r.fresh())
}

// relaysBy tells whether this host asks readers for its data centre.
func (r *roles) relaysBy(ranked ranks) bool {
	if ranked.small || !ranked.known {
		return true
	}
	age, known := r.age()
	storeRejects := r.storeRejects()
	r.mu.Lock()
	defer r.mu.Unlock()
	fresh := known && age < staleAfter
	relays := r.relays.ShouldRead(r.now(), r.self, ranked.nearby, fresh)
	if storeRejects && len(r.relays.KnownReaders(r.now(), r.self, ranked.nearby)) > 0 {
		// Another host of the data centre gets news where this one gets none.
		relays = false
	}
	if relays && !r.stale.IsPreferred(r.self, ranked.nearby) {
		// Without news from any of them more than a few would change nothing.
		relays = len(r.stale.KnownReaders(r.now(), r.self, ranked.nearby)) == 0
	}
	if relays != r.relayed {
		r.relayed = relays
		r.log.Info("role of relay changed", "relaying", relays,
			"rank", slices.Index(ranked.nearby, r.self), "hosts", len(ranked.nearby),
			"relays", r.relays.KnownReaders(r.now(), r.self, ranked.nearby),
			"readers", r.readers.KnownReaders(r.now(), r.self, ranked.heads), "age", age, "known", known)
	}
	return relays
}

const (
	// relayLostAfter is the age of what a relay knows from which it counts as
	// stale. It is longer than what makes a host blind: if readers are late for a
	// moment, all hosts of a data centre would else ask them in its place.
	relayLostAfter = 2 * staleAfter
	// staleRelays is the number of hosts of a data centre that have the role while
	// none of them has news: a relay that is cut off is replaced, and while the
	// store is away a few hosts call it and not all.
	staleRelays = 2
)

// relaying tells whether this host has the role of a relay.
func (r *roles) relaying() bool {
	ranked := r.ranked()
	return ranked.known && !ranked.small && r.relaysBy(ranked)
}

// fresh tells whether this host can do without reading for the moment.
func (r *roles) fresh() bool {
	age, known := r.age()
	return known && age < staleAfter
}

// heard notes what another host said of its roles, whether the store rejects it, and
// the age of what it knows, negative when it knows nothing.
func (r *roles) heard(host string, reading, relaying, storeRejects bool, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers.RecordReport(r.now(), host, reading)
	r.relays.RecordReport(r.now(), host, reading || relaying && !storeRejects && age >= 0 && age < relayLostAfter)
	r.stale.RecordReport(r.now(), host, reading || relaying)
}

// sources gives what this host's news come from: the hosts in question, and what
// is known of their roles.
func (r *roles) sources() ([]string, *readers.Selector) {
	ranked := r.ranked()
	if r.relaysBy(ranked) {
		return ranked.heads, r.readers
	}
	return ranked.nearby, r.relays
}

// next gives a host to ask, each in turn: the best known to have the role or, when
// fewer are known than there should be, those that should have it by their rank.
// In a fleet where a host has only a few neighbours it hears from no reader
// unasked, and would read for itself for good. False when there is no other host.
func (r *roles) next() (string, bool) {
	hosts, role := r.sources()
	ranked := r.ranked()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn++
	turn := r.turn
	if !ranked.small && role == r.readers && !r.relays.IsPreferred(r.self, ranked.nearby) {
		// Others should be this data centre's relay by their rank. They may be by
		// now, and a host that asks the heads alone would never hear of it.
		turn /= 2
		if r.turn%2 == 0 {
			return inTurn(r.best(ranked.nearby), turn)
		}
	}
	known := role.KnownReaders(r.now(), r.self, hosts)
	if len(known) < role.ReaderCount() {
		return inTurn(r.best(hosts), turn)
	}
	return inTurn(known[:role.ReaderCount()], turn)
}

func inTurn(hosts []string, turn int) (string, bool) {
	if len(hosts) == 0 {
		return "", false
	}
	return hosts[turn%len(hosts)], true
}

// bestAsked is the number of hosts, by rank, that are asked while too few are
// known to have a role: those that should, and the next in line should one of
// them be gone.
const bestAsked = 3

// best gives the other hosts that should have a role by their rank.
func (r *roles) best(ranked []string) []string {
	others := slices.DeleteFunc(slices.Clone(ranked), func(host string) bool { return host == r.self })
	return others[:min(len(others), bestAsked)]
}

// unsure tells whether this host reads although others should by their rank:
// they may read already, and not be heard of.
func (r *roles) unsure() bool {
	if !r.reads() {
		return false
	}
	ranked := r.ranked()
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.readers.IsPreferred(r.self, ranked.heads) || !ranked.small && !r.relays.IsPreferred(r.self, ranked.nearby)
}

// cutOff tells whether no other host is known from which news would come.
func (r *roles) cutOff() bool {
	hosts, role := r.sources()
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(role.KnownReaders(r.now(), r.self, hosts)) == 0
}

// others gives the hosts that are told at once what this one read: the heads of
// the other data centres; none in a small fleet, where neighbours are told.
func (r *roles) others() []string {
	ranked := r.ranked()
	if ranked.small {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(ranked.heads), func(host string) bool { return host == r.self })
}
