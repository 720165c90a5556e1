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

// playedFleet is the hosts of some data centres, of which each asks another for
// news five times a second. Only the roles are real.
type playedFleet struct {
	t     *testing.T
	now   time.Duration
	hosts []*playedHost
	// cut tells whether two hosts can't reach each other, storeLost whether a
	// host can't reach the store.
	cut       func(a, b *playedHost) bool
	storeLost func(h *playedHost) bool
	members   func()
	// questions counts those that a host answered, reads the readings of the store.
	questions map[string]int
	reads     int
}

type playedHost struct {
	*roles
	address, dataCentre string
	dead                bool
	everRead            bool
	// current is when nothing newer was published than the host knows.
	current time.Duration
	// failedAt is when the store last rejected the host.
	failedAt time.Duration
}

func newPlayedFleet(t *testing.T, hosts, dataCentres int) *playedFleet {
	t.Helper()
	f := &playedFleet{
		t: t, questions: map[string]int{},
		cut: func(*playedHost, *playedHost) bool { return false }, storeLost: func(*playedHost) bool { return false },
	}
	board := &gossip.Board{}
	out, err := board.Members.Claim()
	if err != nil {
		t.Fatal(err)
	}
	for i := range hosts {
		h := &playedHost{address: fmt.Sprintf("10.0.%d.%d:1", i%dataCentres, i), dataCentre: fmt.Sprint("dc-", i%dataCentres), current: -time.Hour, failedAt: -time.Hour}
		s := &Settings{}
		s.Deployment.ListenPeers, s.DataCentre = h.address, h.dataCentre
		h.roles = newRoles(s, board, func() time.Duration { return f.now }, slog.New(slog.DiscardHandler))
		h.age = func() (time.Duration, bool) { return f.now - h.current, h.current >= 0 }
		h.storeRejects = func() bool { return f.now-h.failedAt < recordsync.RejectionTTL }
		f.hosts = append(f.hosts, h)
	}
	version := uint64(0)
	f.members = func() {
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
	f.members()
	return f
}

// play runs the fleet for a time.
func (f *playedFleet) play(d time.Duration) {
	const step = 20 * time.Millisecond
	for end := f.now + d; f.now < end; f.now += step {
		for i, h := range f.hosts {
			if h.dead || (f.now/step+time.Duration(i))%(askEvery/step) != 0 {
				continue
			}
			f.act(h)
		}
	}
}

func (f *playedFleet) act(h *playedHost) {
	lost := f.storeLost(h)
	reads := h.reads()
	if reads {
		f.reads++
		h.everRead = true
		if lost {
			h.failedAt = f.now
		} else {
			h.current, h.failedAt = f.now, -time.Hour
		}
	}
	if reads && !lost && !h.unsure() {
		return
	}
	address, ok := h.next()
	if !ok {
		return
	}
	for _, other := range f.hosts {
		if other.address != address || other.dead || f.cut(h, other) {
			continue
		}
		f.questions[address]++
		other.heard(h.address, reads && !lost, h.relaying(), h.storeRejects(), h.ageOrNone())
		h.heard(address, other.reads() && !f.storeLost(other), other.relaying(), other.storeRejects(), other.ageOrNone())
		h.current = max(h.current, other.current)
	}
}

// ageOrNone is the age of what a host knows, negative when it knows nothing.
func (h *playedHost) ageOrNone() time.Duration {
	age, known := h.age()
	if !known {
		return -1
	}
	return age
}

// readers gives the hosts that read the store.
func (f *playedFleet) readers() []*playedHost {
	var out []*playedHost
	for _, h := range f.hosts {
		if !h.dead && h.reads() {
			out = append(out, h)
		}
	}
	return out
}

// stale counts the hosts that take themselves for blind.
func (f *playedFleet) stale() int {
	n := 0
	for _, h := range f.hosts {
		if !h.dead && !h.fresh() {
			n++
		}
	}
	return n
}

// Each host of a large fleet needs what is published within a second. If each
// data centre read the store for itself the calls would grow with the data
// centres, and if all hosts asked the readers those would do nothing else.
func TestTwoReadersServeFleetsOfAnySize(t *testing.T) {
	for _, size := range []struct{ hosts, dataCentres int }{{6, 4}, {30, 5}, {84, 3}, {195, 5}, {300, 10}} {
		f := newPlayedFleet(t, size.hosts, size.dataCentres)
		f.play(10 * time.Second)
		if n := len(f.readers()); n != 2 {
			t.Errorf("%d hosts in %d data centres have %d readers, want 2", size.hosts, size.dataCentres, n)
		}
		if n := f.stale(); n > 0 {
			t.Errorf("%d of %d hosts don't know what is published", n, size.hosts)
		}
		f.questions = map[string]int{}
		f.play(time.Second)
		most := size.hosts
		if size.hosts > smallFleet {
			most = size.hosts/size.dataCentres + size.dataCentres
		}
		for host, n := range f.questions {
			if n > most*int(time.Second/askEvery) {
				t.Errorf("%s of %d hosts answered %d questions in a second", host, size.hosts, n)
			}
		}
	}
}

// The readers' hosts lose power. Until others read, new engines get no work and
// engines that leave get some.
func TestReadersThatDieAreReplaced(t *testing.T) {
	f := newPlayedFleet(t, 195, 5)
	f.play(10 * time.Second)
	for _, h := range f.readers() {
		h.dead = true
	}
	f.play(time.Second)
	f.members()
	f.play(2 * time.Second)
	if n := f.stale(); n > 0 {
		t.Errorf("%d hosts don't know what is published", n)
	}
	f.play(3 * time.Second)
	if n := len(f.readers()); n != 2 {
		t.Errorf("%d readers, want 2", n)
	}
}

// Two data centres lose each other while both reach the others and the store. A
// host that could ask nobody but a reader behind the cut would be blind, and one
// that took every role itself would read the store for nothing.
func TestDataCentresThatLoseEachOtherStayCurrent(t *testing.T) {
	f := newPlayedFleet(t, 195, 5)
	f.play(10 * time.Second)
	reader := f.readers()[0].dataCentre
	for other := range 5 {
		dataCentre := fmt.Sprint("dc-", other)
		if dataCentre == reader {
			continue
		}
		f.cut = func(a, b *playedHost) bool {
			return a.dataCentre == reader && b.dataCentre == dataCentre || a.dataCentre == dataCentre && b.dataCentre == reader
		}
		f.play(5 * time.Second)
		if n := f.stale(); n > 0 {
			t.Errorf("%s and %s cut: %d hosts don't know what is published", reader, dataCentre, n)
		}
		if n := len(f.readers()); n > 3 {
			t.Errorf("%s and %s cut: %d readers", reader, dataCentre, n)
		}
	}
}

// The store turns a third of the hosts away, the readers among them, and serves
// the others. Those it turns away must not go on as readers, and nobody be blind.
func TestHostsThatTheStoreTurnsAwayLearnFromOthers(t *testing.T) {
	f := newPlayedFleet(t, 195, 5)
	f.play(10 * time.Second)
	turned := map[string]bool{}
	for i, h := range f.hosts {
		turned[h.address] = i%3 == 0
	}
	for _, h := range f.readers() {
		turned[h.address] = true
	}
	f.storeLost = func(h *playedHost) bool { return turned[h.address] }
	f.play(3 * time.Second)
	if n := f.stale(); n > 0 {
		t.Errorf("%d hosts don't know what is published", n)
	}
}

// Guards against a fleet whose relays the store all rejects, and that learns
// nothing for seconds while any other host could read.
func TestRelaysThatTheStoreRejectsAreReplacedInTime(t *testing.T) {
	for _, size := range []struct{ hosts, dataCentres int }{{84, 4}, {195, 5}, {300, 10}} {
		f := newPlayedFleet(t, size.hosts, size.dataCentres)
		f.play(10 * time.Second)
		turned := map[string]bool{}
		for _, h := range f.hosts {
			if h.relaying() || h.reads() {
				turned[h.address] = true
			}
		}
		f.storeLost = func(h *playedHost) bool { return turned[h.address] }
		begun := f.now
		f.play(1500 * time.Millisecond)
		behind := 0
		for _, h := range f.hosts {
			if h.current < begun {
				behind++
			}
		}
		if behind > 0 {
			t.Errorf("%d of %d hosts don't know what was published 1.5 s ago", behind, size.hosts)
		}
		f.play(10 * time.Second)
		f.storeLost = func(*playedHost) bool { return false }
		f.play(10 * time.Second)
		if n := len(f.readers()); n != 2 {
			t.Errorf("%d hosts have %d readers after the store's relenting, want 2", size.hosts, n)
		}
	}
}

// Hundreds of hosts start for the first time within a moment. If each read the
// store then, a first start would cost it as many calls as an hour at rest.
func TestSeedsAloneReadAtTheFirstStart(t *testing.T) {
	f := newPlayedFleet(t, 195, 5)
	// A host that starts knows the seeds alone, so that they are the first by rank.
	seeds := f.hosts[0].ranked().heads[:3]
	for _, h := range f.hosts {
		h.patient = !slices.Contains(seeds, h.address)
	}
	f.play(firstWait)
	if n := f.stale(); n > 0 {
		t.Errorf("%d hosts don't know what is published", n)
	}
	read := 0
	for _, h := range f.hosts {
		if h.everRead {
			read++
		}
	}
	// The seeds, and those that their rank makes readers.
	if most := 3 + 2; read > most {
		t.Errorf("%d hosts read the store, want at most %d", read, most)
	}
}

// The store is down for ten seconds. Every call is refused and counted all the
// same; if all hosts took it on themselves to read, the store would be busy with
// refusing them when it comes back.
func TestFewHostsCallAStoreThatIsDown(t *testing.T) {
	f := newPlayedFleet(t, 195, 5)
	f.play(10 * time.Second)
	f.storeLost = func(*playedHost) bool { return true }
	for range 10 {
		f.play(time.Second)
		if n := len(f.readers()); n > 5*staleRelays {
			t.Errorf("%d hosts read a store that is down, want at most %d", n, 5*staleRelays)
		}
	}
	f.storeLost = func(*playedHost) bool { return false }
	f.play(time.Second)
	if n := f.stale(); n > 0 {
		t.Errorf("%d hosts don't know what is published a second after the store's return", n)
	}
}
