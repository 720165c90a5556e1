package gatewayhost

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"filbertdeck/internal/controller/gossip"
	"filbertdeck/internal/controller/recordsync"
	"filbertdeck/internal/decide/membership"
)

// simulatedFleet simulates hosts in several data centres, each of which queries
// another for published changes five times a second. Only readerRoles is the
// real implementation.
type simulatedFleet struct {
	t     *testing.T
	now   time.Duration
	hosts []*simulatedHost
	// partitioned reports whether two hosts can't reach each other,
	// storeUnreachable whether a host can't reach the store.
	partitioned      func(a, b *simulatedHost) bool
	storeUnreachable func(h *simulatedHost) bool
	publishMembers   func()
	// answeredQueries counts the queries that each host answered, storeReads
	// the reads of the store by all hosts.
	answeredQueries map[string]int
	storeReads      int
}

type simulatedHost struct {
	*readerRoles
	address, dataCentre string
	dead                bool
	hasRead             bool
	// currentAt is the latest time at which the host's view was up to date.
	currentAt time.Duration
	// rejectedAt is when the store last rejected the host.
	rejectedAt time.Duration
}

func newSimulatedFleet(t *testing.T, hosts, dataCentres int) *simulatedFleet {
	t.Helper()
	f := &simulatedFleet{
		t: t, answeredQueries: map[string]int{},
		partitioned: func(*simulatedHost, *simulatedHost) bool { return false }, storeUnreachable: func(*simulatedHost) bool { return false },
	}
	board := &gossip.Board{}
	out, err := board.Members.Claim()
	if err != nil {
		t.Fatal(err)
	}
	for i := range hosts {
		h := &simulatedHost{address: fmt.Sprintf("10.0.%d.%d:1", i%dataCentres, i), dataCentre: fmt.Sprint("dc-", i%dataCentres), currentAt: -time.Hour, rejectedAt: -time.Hour}
		s := &Settings{}
		s.Deployment.ListenPeers, s.DataCentre = h.address, h.dataCentre
		h.readerRoles = newReaderRoles(s, board, func() time.Duration { return f.now }, slog.New(slog.DiscardHandler))
		h.publishedAge = func() (time.Duration, bool) { return f.now - h.currentAt, h.currentAt >= 0 }
		h.recordsAnnounced, h.isSeed = func() bool { return false }, true
		h.storeRejects = func() bool { return f.now-h.rejectedAt < recordsync.RejectionTTL }
		f.hosts = append(f.hosts, h)
	}
	version := uint64(0)
	f.publishMembers = func() {
		version++
		view := &membership.View{Version: version}
		for _, h := range f.hosts {
			state := membership.Alive
			if h.dead {
				state = membership.Dead
			}
			view.Members = append(view.Members, membership.Member{Address: h.address, DataCentre: h.dataCentre, State: state})
		}
		out.Publish(view)
	}
	f.publishMembers()
	return f
}

// run simulates the fleet for a duration.
func (f *simulatedFleet) run(d time.Duration) {
	const step = 20 * time.Millisecond
	for end := f.now + d; f.now < end; f.now += step {
		for i, h := range f.hosts {
			if h.dead || (f.now/step+time.Duration(i))%(askInterval/step) != 0 {
				continue
			}
			f.updateView(h)
		}
	}
}

func (f *simulatedFleet) updateView(h *simulatedHost) {
	unreachable := f.storeUnreachable(h)
	reads := h.shouldRead()
	if reads {
		f.storeReads++
		h.hasRead = true
		if unreachable {
			h.rejectedAt = f.now
		} else {
			h.currentAt, h.rejectedAt = f.now, -time.Hour
		}
	}
	if reads && !unreachable && !h.readsAsSubstitute() {
		return
	}
	address, ok := h.nextSource()
	if !ok {
		return
	}
	for _, other := range f.hosts {
		if other.address != address || other.dead || f.partitioned(h, other) {
			continue
		}
		f.answeredQueries[address]++
		other.recordPeerRoles(h.address, reads && !unreachable, h.isRelay(), h.storeRejects(), h.ageOrNegative())
		h.recordPeerRoles(address, other.shouldRead() && !f.storeUnreachable(other), other.isRelay(), other.storeRejects(), other.ageOrNegative())
		h.currentAt = max(h.currentAt, other.currentAt)
	}
}

// ageOrNegative returns the age of the host's published view, negative when it
// has none.
func (h *simulatedHost) ageOrNegative() time.Duration {
	age, known := h.publishedAge()
	if !known {
		return -1
	}
	return age
}

// activeReaders returns the live hosts that read the store.
func (f *simulatedFleet) activeReaders() []*simulatedHost {
	var out []*simulatedHost
	for _, h := range f.hosts {
		if !h.dead && h.shouldRead() {
			out = append(out, h)
		}
	}
	return out
}

// staleHosts counts the live hosts whose published view is stale.
func (f *simulatedFleet) staleHosts() int {
	n := 0
	for _, h := range f.hosts {
		if !h.dead && !h.isFresh() {
			n++
		}
	}
	return n
}

// Each host of a large fleet needs published changes within a second. If each
// data centre read the store itself, the calls would grow with the number of
// data centres; if all hosts queried the readers directly, the readers would be
// overloaded with queries.
func TestTwoReadersSufficeForAnyFleetSize(t *testing.T) {
	for _, size := range []struct{ hosts, dataCentres int }{{6, 4}, {30, 5}, {84, 3}, {195, 5}, {300, 10}} {
		f := newSimulatedFleet(t, size.hosts, size.dataCentres)
		f.run(10 * time.Second)
		if n := len(f.activeReaders()); n != 2 {
			t.Errorf("%d hosts in %d data centres have %d readers, want 2", size.hosts, size.dataCentres, n)
		}
		if n := f.staleHosts(); n > 0 {
			t.Errorf("%d of %d hosts have a stale view", n, size.hosts)
		}
		f.answeredQueries = map[string]int{}
		f.run(time.Second)
		limit := size.hosts
		if size.hosts > maxSmallFleet {
			limit = size.hosts/size.dataCentres + size.dataCentres
		}
		for host, n := range f.answeredQueries {
			if n > limit*int(time.Second/askInterval) {
				t.Errorf("%s of %d hosts answered %d queries in a second", host, size.hosts, n)
			}
		}
	}
}

// All readers fail. Until other hosts read the store, new engines get no work
// and engines that leave still get some.
func TestDeadReadersAreReplaced(t *testing.T) {
	f := newSimulatedFleet(t, 195, 5)
	f.run(10 * time.Second)
	for _, h := range f.activeReaders() {
		h.dead = true
	}
	f.run(time.Second)
	f.publishMembers()
	f.run(2 * time.Second)
	if n := f.staleHosts(); n > 0 {
		t.Errorf("%d hosts have a stale view", n)
	}
	f.run(3 * time.Second)
	if n := len(f.activeReaders()); n != 2 {
		t.Errorf("%d readers, want 2", n)
	}
}

// Two data centres can't reach each other while both reach the other data
// centres and the store. A host that could query only a reader behind the
// partition would become stale, and one that took every role itself would read
// the store needlessly.
func TestPartitionedDataCentresStayCurrent(t *testing.T) {
	f := newSimulatedFleet(t, 195, 5)
	f.run(10 * time.Second)
	readerDataCentre := f.activeReaders()[0].dataCentre
	for other := range 5 {
		dataCentre := fmt.Sprint("dc-", other)
		if dataCentre == readerDataCentre {
			continue
		}
		f.partitioned = func(a, b *simulatedHost) bool {
			return a.dataCentre == readerDataCentre && b.dataCentre == dataCentre || a.dataCentre == dataCentre && b.dataCentre == readerDataCentre
		}
		f.run(5 * time.Second)
		if n := f.staleHosts(); n > 0 {
			t.Errorf("%s and %s partitioned: %d hosts have a stale view", readerDataCentre, dataCentre, n)
		}
		if n := len(f.activeReaders()); n > 3 {
			t.Errorf("%s and %s partitioned: %d readers", readerDataCentre, dataCentre, n)
		}
	}
}

// The store rejects a third of the hosts, including the readers, and serves the
// others. Rejected hosts must not stay readers, and no host may become stale.
func TestRejectedHostsLearnFromPeers(t *testing.T) {
	f := newSimulatedFleet(t, 195, 5)
	f.run(10 * time.Second)
	rejected := map[string]bool{}
	for i, h := range f.hosts {
		rejected[h.address] = i%3 == 0
	}
	for _, h := range f.activeReaders() {
		rejected[h.address] = true
	}
	f.storeUnreachable = func(h *simulatedHost) bool { return rejected[h.address] }
	f.run(3 * time.Second)
	if n := f.staleHosts(); n > 0 {
		t.Errorf("%d hosts have a stale view", n)
	}
}

// Guards against a fleet that learns nothing for seconds because the store
// rejects all of its relays while any other host could read.
func TestRejectedRelaysAreReplaced(t *testing.T) {
	for _, size := range []struct{ hosts, dataCentres int }{{84, 4}, {195, 5}, {300, 10}} {
		f := newSimulatedFleet(t, size.hosts, size.dataCentres)
		f.run(10 * time.Second)
		rejected := map[string]bool{}
		for _, h := range f.hosts {
			if h.isRelay() || h.shouldRead() {
				rejected[h.address] = true
			}
		}
		f.storeUnreachable = func(h *simulatedHost) bool { return rejected[h.address] }
		rejectedSince := f.now
		f.run(1500 * time.Millisecond)
		outdated := 0
		for _, h := range f.hosts {
			if h.currentAt < rejectedSince {
				outdated++
			}
		}
		if outdated > 0 {
			t.Errorf("%d of %d hosts don't know what was published 1.5 s ago", outdated, size.hosts)
		}
		f.run(10 * time.Second)
		f.storeUnreachable = func(*simulatedHost) bool { return false }
		f.run(10 * time.Second)
		if n := len(f.activeReaders()); n != 2 {
			t.Errorf("%d hosts have %d readers after the store recovered, want 2", size.hosts, n)
		}
	}
}

// Hundreds of hosts start for the first time at the same moment. If each of
// them read the store, a first start would cost the store as many calls as an
// hour of normal operation.
func TestOnlySeedsReadAtFirstStart(t *testing.T) {
	f := newSimulatedFleet(t, 195, 5)
	// A starting host knows only the seeds, so the seeds have the best ranks.
	seeds := f.hosts[0].ranking().readerCandidates[:3]
	for _, h := range f.hosts {
		h.firstStart, h.isSeed = true, slices.Contains(seeds, h.address)
	}
	f.run(2 * time.Second)
	if n := f.staleHosts(); n > 0 {
		t.Errorf("%d hosts have a stale view", n)
	}
	readHosts := 0
	for _, h := range f.hosts {
		if h.hasRead {
			readHosts++
		}
	}
	// The three seeds, and the two hosts that are readers by rank.
	if limit := 3 + 2; readHosts > limit {
		t.Errorf("%d hosts read the store, want at most %d", readHosts, limit)
	}
}

// The store is down for ten seconds and refuses every call, at its own cost. If
// all hosts read as substitutes, the store would be busy refusing them when it
// recovers.
func TestFewHostsCallUnavailableStore(t *testing.T) {
	f := newSimulatedFleet(t, 195, 5)
	f.run(10 * time.Second)
	f.storeUnreachable = func(*simulatedHost) bool { return true }
	for range 10 {
		f.run(time.Second)
		if n := len(f.activeReaders()); n > 5*maxStaleRelays {
			t.Errorf("%d hosts read the unavailable store, want at most %d", n, 5*maxStaleRelays)
		}
	}
	f.storeUnreachable = func(*simulatedHost) bool { return false }
	f.run(time.Second)
	if n := f.staleHosts(); n > 0 {
		t.Errorf("%d hosts have a stale view a second after the store recovered", n)
	}
}
