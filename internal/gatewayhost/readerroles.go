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

// readerRankKey is the hash key for ranking hosts as readers of the store.
const readerRankKey = "published"

// maxSmallFleet is the largest number of hosts that all query the store's
// readers directly. In a larger fleet one relay in each data centre queries the
// readers and the other hosts query their relay, so that neither the calls to
// the store nor the queries to a reader grow with the fleet.
const maxSmallFleet = 32

// readerRoles decides which hosts read the store, which relay its contents in
// their data centre, and which peer this host queries.
type readerRoles struct {
	self, dataCentre string
	members          *gossip.Board
	now              Clock
	log              *slog.Logger
	// firstStart is set when all hosts start for the first time, isSeed if other
	// hosts ask this one first, hasOtherSeeds if this one asks others.
	firstStart, isSeed, hasOtherSeeds bool
	// publishedAge returns the age of this host's published view, false when it
	// has none. It must be set before the first use.
	publishedAge func() (time.Duration, bool)
	// storeRejects reports whether the store recently rejected a call of this
	// host. It must be set before the first use.
	storeRejects func() bool
	// recordsAnnounced reports whether a running host has announced published data
	// that this host lacks. It must be set before the first use.
	recordsAnnounced func() bool

	mu      sync.Mutex
	readers *readers.Selector
	// relays tracks the relays whose view is recent enough. staleRelays tracks
	// those that have the role whether or not their view is recent: while the
	// store is unavailable, all relays.
	relays, staleRelays *readers.Selector
	askCount            int
	// peerAnswered is set once any host has told its roles.
	peerAnswered bool
	// wasRelay is the result of the last relay role check.
	wasRelay bool
	// cachedRanking is the ranking of the live hosts in the membership view of
	// version rankingVersion.
	cachedRanking  hostRanking
	rankingVersion uint64
}

// hostRanking holds the live hosts, ordered by rank, best first.
type hostRanking struct {
	valid bool
	// relayGroup holds the hosts that share a relay with this host: those of
	// its data centre, or all hosts of a small fleet.
	relayGroup []string
	// readerCandidates holds this host and the best ranked host of each other
	// data centre, or all hosts of a small fleet.
	readerCandidates []string
	smallFleet       bool
}

func newReaderRoles(s *Settings, members *gossip.Board, now Clock, log *slog.Logger) *readerRoles {
	relays, staleRelays := readers.DefaultConfig(), readers.DefaultConfig()
	relays.ReaderCount, staleRelays.ReaderCount = 1, maxStaleRelays
	deployment := s.Deployment
	return &readerRoles{
		hasOtherSeeds: slices.ContainsFunc(deployment.Seeds, func(seed string) bool { return seed != deployment.ListenPeers }),
		firstStart:    deployment.FirstStart, isSeed: len(deployment.Seeds) == 0 || slices.Contains(deployment.Seeds, deployment.ListenPeers),
		self: deployment.ListenPeers, dataCentre: s.DataCentre, members: members, now: now, log: log,
		readers: readers.New(readers.DefaultConfig()), relays: readers.New(relays), staleRelays: readers.New(staleRelays),
	}
}

// ranking returns the ranking of the currently live hosts.
func (r *readerRoles) ranking() hostRanking {
	view := r.members.Members.Get()
	if view == nil {
		return hostRanking{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.cachedRanking.valid || r.rankingVersion != view.Version {
		r.cachedRanking, r.rankingVersion = r.computeRanking(view), view.Version
	}
	return r.cachedRanking
}

func (r *readerRoles) computeRanking(view *membership.View) hostRanking {
	hosts := membership.Rank(readerRankKey, view.EligibleAddresses(""))
	if len(hosts) <= maxSmallFleet {
		return hostRanking{valid: true, relayGroup: hosts, readerCandidates: hosts, smallFleet: true}
	}
	dataCentres := make(map[string]string, len(view.Members))
	for _, m := range view.Members {
		dataCentres[m.Address] = m.DataCentre
	}
	out := hostRanking{valid: true}
	seen := map[string]bool{r.dataCentre: true}
	for _, host := range hosts {
		dataCentre := dataCentres[host]
		if dataCentre == r.dataCentre {
			out.relayGroup = append(out.relayGroup, host)
		}
		if host == r.self || !seen[dataCentre] {
			seen[dataCentre] = true
			out.readerCandidates = append(out.readerCandidates, host)
		}
	}
	return out
}

// inRelayGroup reports whether a host shares a relay with this host.
func (r *readerRoles) inRelayGroup(host string) bool {
	return slices.Contains(r.ranking().relayGroup, host)
}

// relayGroupRank returns this host's rank in its relay group, 0 for the first.
func (r *readerRoles) relayGroupRank() int {
	return max(slices.Index(r.ranking().relayGroup, r.self), 0)
}

// shouldRead reports whether this host has to read the store.
func (r *readerRoles) shouldRead() bool {
	if _, known := r.publishedAge(); !known && r.startup().WaitsForPeers() {
		return false
	}
	ranking := r.ranking()
	if !r.actsAsRelay(ranking) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers.ShouldRead(r.now(), r.self, ranking.readerCandidates, r.isFresh())
}

// startup returns the state of this host while it has no published data.
func (r *readerRoles) startup() readers.Startup {
	announced := r.recordsAnnounced()
	r.mu.Lock()
	defer r.mu.Unlock()
	return readers.Startup{
		Uptime: r.now(), FirstStart: r.firstStart, Seed: r.isSeed, RecordsAnnounced: announced,
		HasOtherSeeds: r.hasOtherSeeds, PeerAnswered: r.peerAnswered,
	}
}

// actsAsRelay reports whether this host queries the readers itself. In a small
// fleet every host does.
func (r *readerRoles) actsAsRelay(ranking hostRanking) bool {
	if ranking.smallFleet || !ranking.valid {
		return true
	}
	age, known := r.publishedAge()
	storeRejects := r.storeRejects()
	r.mu.Lock()
	defer r.mu.Unlock()
	fresh := known && age < staleAfter
	relay := r.relays.ShouldRead(r.now(), r.self, ranking.relayGroup, fresh)
	if storeRejects && len(r.relays.KnownReaders(r.now(), r.self, ranking.relayGroup)) > 0 {
		// Another host of the data centre receives published changes while the
		// store rejects this host.
		relay = false
	}
	if relay && !r.staleRelays.IsPreferred(r.self, ranking.relayGroup) {
		// No relay has a recent view. More than maxStaleRelays relays would not
		// help.
		relay = len(r.staleRelays.KnownReaders(r.now(), r.self, ranking.relayGroup)) == 0
	}
	if relay != r.wasRelay {
		r.wasRelay = relay
		r.log.Info("role of relay changed", "relaying", relay,
			"rank", slices.Index(ranking.relayGroup, r.self), "hosts", len(ranking.relayGroup),
			"relays", r.relays.KnownReaders(r.now(), r.self, ranking.relayGroup),
			"readers", r.readers.KnownReaders(r.now(), r.self, ranking.readerCandidates), "age", age, "known", known)
	}
	return relay
}

const (
	// relayStaleAfter is the age of a relay's view from which other hosts
	// replace the relay. It is longer than staleAfter: otherwise all hosts of a
	// data centre would query the readers directly whenever the readers are
	// late for a moment.
	relayStaleAfter = 2 * staleAfter
	// maxStaleRelays is the number of relays of a data centre while none of
	// them has a recent view. A relay that is cut off is replaced, and while
	// the store is unavailable only a few hosts call it.
	maxStaleRelays = 2
)

// isRelay reports whether this host is a relay of its data centre. A small
// fleet has no relays.
func (r *readerRoles) isRelay() bool {
	ranking := r.ranking()
	return ranking.valid && !ranking.smallFleet && r.actsAsRelay(ranking)
}

// isFresh reports whether this host's published view is recent enough that the
// host need not read the store now.
func (r *readerRoles) isFresh() bool {
	age, known := r.publishedAge()
	return known && age < staleAfter
}

// recordPeerRoles records the roles that a peer announced, whether the store
// rejects the peer, and the age of its published view, negative when it has
// none.
func (r *readerRoles) recordPeerRoles(host string, reading, relaying, storeRejects bool, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peerAnswered = true
	r.readers.RecordReport(r.now(), host, reading)
	r.relays.RecordReport(r.now(), host, reading || relaying && !storeRejects && age >= 0 && age < relayStaleAfter)
	r.staleRelays.RecordReport(r.now(), host, reading || relaying)
}

// newsSources returns the hosts that this host may query for published changes,
// and the tracker of the role that they need.
func (r *readerRoles) newsSources() ([]string, *readers.Selector) {
	ranking := r.ranking()
	if r.actsAsRelay(ranking) {
		return ranking.readerCandidates, r.readers
	}
	return ranking.relayGroup, r.relays
}

// nextSource returns the host to query next, in rotation: among the best ranked
// hosts known to have the role or, when fewer are known than wanted, among
// those that should have it by rank. The latter is needed because in a fleet
// where a host has few neighbours no reader would make itself known without a
// query, and the host would read the store itself permanently. It returns false
// when there is no other host.
func (r *readerRoles) nextSource() (string, bool) {
	hosts, tracker := r.newsSources()
	ranking := r.ranking()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.askCount++
	turn := r.askCount
	if !ranking.smallFleet && tracker == r.readers && !r.relays.IsPreferred(r.self, ranking.relayGroup) {
		// By rank, other hosts should be this data centre's relays and may have
		// become so. A host that queried only the reader candidates would never
		// learn of it, so every second query goes to the relay group.
		turn /= 2
		if r.askCount%2 == 0 {
			return roundRobin(r.topRankedPeers(ranking.relayGroup), turn)
		}
	}
	holders := tracker.KnownReaders(r.now(), r.self, hosts)
	if len(holders) < tracker.ReaderCount() {
		return roundRobin(r.topRankedPeers(hosts), turn)
	}
	return roundRobin(holders[:tracker.ReaderCount()], turn)
}

func roundRobin(hosts []string, turn int) (string, bool) {
	if len(hosts) == 0 {
		return "", false
	}
	return hosts[turn%len(hosts)], true
}

// maxRankedPeers is the number of best ranked hosts that are queried while too
// few hosts are known to have a role. It includes hosts that follow in rank in
// case one of the first is down.
const maxRankedPeers = 3

// topRankedPeers returns the best ranked hosts other than this one, which
// should have a role by their rank.
func (r *readerRoles) topRankedPeers(hosts []string) []string {
	others := slices.DeleteFunc(slices.Clone(hosts), func(host string) bool { return host == r.self })
	return others[:min(len(others), maxRankedPeers)]
}

// readsAsSubstitute reports whether this host reads the store although other
// hosts should by rank. Those hosts may already read without this host knowing.
func (r *readerRoles) readsAsSubstitute() bool {
	if !r.shouldRead() {
		return false
	}
	ranking := r.ranking()
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.readers.IsPreferred(r.self, ranking.readerCandidates) || !ranking.smallFleet && !r.relays.IsPreferred(r.self, ranking.relayGroup)
}

// lacksSource reports whether no other host is known from which published
// changes can be received.
func (r *readerRoles) lacksSource() bool {
	hosts, tracker := r.newsSources()
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(tracker.KnownReaders(r.now(), r.self, hosts)) == 0
}

// peersToNotify returns the hosts that are notified immediately of what this
// host read: the reader candidates of the other data centres. It returns none
// in a small fleet, where the neighbours are notified.
func (r *readerRoles) peersToNotify() []string {
	ranking := r.ranking()
	if ranking.smallFleet {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(ranking.readerCandidates), func(host string) bool { return host == r.self })
}
