package gatewayhost

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/blackboard"
	"filbertdeck/internal/controller/gossip"
	"filbertdeck/internal/controller/recordsync"
	"filbertdeck/internal/decide/membership"
	"filbertdeck/internal/decide/waitlist"
)

// newManualClock returns a clock that only its spec advances.
func newManualClock() (*atomic.Int64, Clock) {
	clock := &atomic.Int64{}
	clock.Store(int64(time.Minute))
	return clock, func() time.Duration { return time.Duration(clock.Load()) }
}

// startWaitingOrder runs the exchange of one host with the order of waiting generations.
func startWaitingOrder(t *testing.T, self string, members []string) *waitingOrder {
	t.Helper()
	start := time.Now()
	return startWaitingOrderAt(t, self, members, func() time.Duration { return time.Since(start) })
}

// startWaitingOrderAt is startWaitingOrder by a given clock.
func startWaitingOrderAt(t *testing.T, self string, members []string, now Clock) *waitingOrder {
	t.Helper()
	var w *waitingOrder
	startOwnerExchangeAt(t, self, members, now, func(o *ownerExchange) {
		w = newWaitingOrder(o, o.fleet, o.board, o.now)
		o.waiting = w
	})
	return w
}

// loneWaitingOrder returns the order of the only host of a fleet, with the configuration of
// engineView.
func loneWaitingOrder(t *testing.T, now Clock) *waitingOrder {
	t.Helper()
	board := &recordsync.Board{}
	publish, err := board.View.Claim()
	if err != nil {
		t.Fatal(err)
	}
	publish.Publish(engineView())
	return newWaitingOrder(nil, newTestFleetView(t, "10.0.0.1:81", membership.Member{Address: "10.0.0.1:81"}), board, now)
}

// waitingHosts starts the hosts of a fleet, the first holder of the service's list first.
func waitingHosts(t *testing.T, service string, count int) []*waitingOrder {
	t.Helper()
	start := time.Now()
	return waitingHostsAt(t, service, count, func() time.Duration { return time.Since(start) })
}

// waitingHostsAt is waitingHosts by a given clock.
func waitingHostsAt(t *testing.T, service string, count int, now Clock) (hosts []*waitingOrder) {
	t.Helper()
	var addresses []string
	for range count {
		addresses = append(addresses, freeUDPAddress(t))
	}
	for _, address := range membership.Rank("waiting/"+service, addresses) {
		hosts = append(hosts, startWaitingOrderAt(t, address, addresses, now))
	}
	return hosts
}

func waitingEntry(id uint64, waited time.Duration) waitlist.Entry {
	return waitlist.Entry{ID: id, Service: "llm", Priority: 2, Account: "a", Waited: waited, Objective: 4 * time.Second, FirstToken: 250 * time.Millisecond, Tokens: 3000}
}

// Guards against generations of different hosts that are not ordered by one list.
func TestWaitingGenerationsOfAllHostsAreOrdered(t *testing.T) {
	hosts := waitingHostsAt(t, "llm", 3, stoppedClock)
	for _, host := range hosts {
		waitForAnswers(host.exchange)
	}
	for i := range uint64(6) {
		if _, ok := hosts[i%3].Report(t.Context(), waitingEntry(i+1, time.Duration(6-i)*100*time.Millisecond)); !ok {
			t.Fatal("the holder did not answer")
		}
	}
	answer, ok := hosts[2].Report(t.Context(), waitingEntry(6, 100*time.Millisecond))
	if !ok || answer.Search || answer.Ahead != 5 {
		t.Fatalf("the last of six generations has the answer %+v", answer)
	}
	for i := range uint64(3) {
		hosts[1].Done(waitingEntry(i+1, time.Second), true)
	}
	deadline := time.Now().Add(answerLimit)
	for !answer.Search {
		if time.Now().After(deadline) {
			t.Fatalf("it has no turn after three were placed: %+v", answer)
		}
		time.Sleep(10 * time.Millisecond)
		answer, _ = hosts[2].Report(t.Context(), waitingEntry(6, 100*time.Millisecond))
	}
}

// Guards against a holder's death that leaves the generations without order, and against
// one lost report that divides the list between two holders.
func TestSecondHostTakesOverFromSilentHolder(t *testing.T) {
	clock, now := newManualClock()
	hosts := waitingHostsAt(t, "llm", 3, now)
	first, second, host := hosts[0], hosts[1], hosts[2]
	_ = first.exchange.conn.Close()
	if _, ok := host.Report(t.Context(), waitingEntry(1, time.Second)); ok {
		t.Fatal("a dead holder answered")
	}
	if holder, _ := host.holder("llm"); holder != first.fleet.self {
		t.Fatal("one report without an answer changed the holder")
	}
	clock.Add(int64(silenceBeforeTakeover))
	waitForAnswers(host.exchange)
	if _, ok := host.Report(t.Context(), waitingEntry(1, time.Second)); !ok {
		t.Fatal("the second host did not answer")
	}
	second.mu.Lock()
	defer second.mu.Unlock()
	if n := second.lists.EntryCount(waitlist.Key{Service: "llm"}); n != 1 {
		t.Fatalf("the second host has %d entries, want 1", n)
	}
}

// Guards against a new generation that takes the room of those that wait elsewhere.
func TestHostsHearThatOthersWait(t *testing.T) {
	// On a clock that only the spec advances, neither the report nor the announcement
	// expires while the machine is busy.
	clock, now := newManualClock()
	hosts := waitingHostsAt(t, "llm", 3, now)
	waitForAnswers(hosts[1].exchange)
	if _, ok := hosts[1].Report(t.Context(), waitingEntry(1, time.Second)); !ok {
		t.Fatal("the holder did not answer")
	}
	hosts[0].announce()
	for deadline := time.Now().Add(answerLimit); !hosts[2].OthersWait("llm", 2); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a host did not hear that others wait")
		}
	}
	if !hosts[0].OthersWait("llm", 3) || hosts[0].OthersWait("llm", 1) || hosts[0].OthersWait("other", 2) {
		t.Fatal("an announcement holds for generations that are as urgent or less, of its service")
	}
	clock.Add(int64(announcementLifetime))
	if !hosts[2].OthersWait("llm", 2) {
		t.Fatal("an announcement holds for less than its lifetime")
	}
	clock.Add(1)
	if hosts[2].OthersWait("llm", 2) {
		t.Fatal("an announcement holds for ever")
	}
}

// Guards against hosts that wait for turns from a holder that runs an older build.
func TestHolderWithoutTheOrderIsNoAnswer(t *testing.T) {
	ranked := membership.Rank("waiting/llm", []string{freeUDPAddress(t), freeUDPAddress(t)})
	startOwnerExchange(t, ranked[0], ranked)
	host := startWaitingOrder(t, ranked[1], ranked)
	waitForAnswers(host.exchange)
	if _, ok := host.Report(t.Context(), waitingEntry(1, time.Second)); ok {
		t.Fatal("an answer without a turn was taken for one")
	}
	host.mu.Lock()
	defer host.mu.Unlock()
	if len(host.silent) != 0 {
		t.Fatal("a host that answers is taken for silent")
	}
}

// largeFleet returns the order of one of 3,300 hosts, with the writer of its membership.
func largeFleet(tb testing.TB) (*waitingOrder, *blackboard.Writer[membership.View], []membership.Member) {
	tb.Helper()
	members := make([]membership.Member, 3300)
	for i := range members {
		members[i].Address = fmt.Sprintf("10.0.%d.%d:81", i/250, i%250+1)
	}
	board := &gossip.Board{}
	out, err := board.Members.Claim()
	if err != nil {
		tb.Fatal(err)
	}
	out.Publish(&membership.View{Version: 1, Members: members})
	s := &Settings{}
	s.Deployment.ListenPeers = members[0].Address
	now := func() time.Duration { return time.Minute }
	return newWaitingOrder(nil, newFleetView(s, board, now), &recordsync.Board{}, now), out, members
}

// Guards against a ranking of all hosts for each report: it allocates the list of those
// that rank first.
func TestHolderIsNotRankedForEachReport(t *testing.T) {
	w, _, _ := largeFleet(t)
	if n := testing.AllocsPerRun(100, func() { w.holder("llm") }); n != 0 {
		t.Fatalf("finding the holder takes %v allocations, want 0", n)
	}
}

// Guards against a holder that is kept after the membership has changed, and against one of
// another service.
func TestHolderFollowsMembership(t *testing.T) {
	w, out, members := largeFleet(t)
	expect := func(service string, members []membership.Member) string {
		t.Helper()
		var live []string
		for _, m := range members {
			if m.State == membership.Alive {
				live = append(live, m.Address)
			}
		}
		key := "waiting/" + service
		if partition := waitlist.NewFleet(1, live).Partition(w.fleet.self); partition > 0 {
			key = fmt.Sprintf("%s/%d", key, partition)
		}
		want := membership.Rank(key, live)[0]
		if holder, known := w.holder(service); !known || holder != want {
			t.Fatalf("the holder of %s is %s, want %s", service, holder, want)
		}
		return want
	}
	first := expect("llm", members)
	expect("other", members)
	changed := slices.Clone(members)
	for i := range changed {
		if changed[i].Address == first {
			changed[i].State = membership.Dead
		}
	}
	out.Publish(&membership.View{Version: 2, Members: changed})
	if expect("llm", changed) == first {
		t.Fatal("a dead host holds the list")
	}
	out.Publish(&membership.View{Version: 3, Members: members[:100]})
	expect("llm", members[:100])
}

// BenchmarkHolder measures what a report or the end of a wait spends on finding the holder.
func BenchmarkHolder(b *testing.B) {
	w, _, _ := largeFleet(b)
	b.ReportAllocs()
	for b.Loop() {
		w.holder("llm")
	}
}

// Guards against a message that is changed on the way.
func TestWaitingMessagesAreKeptBetweenHosts(t *testing.T) {
	entry := waitingEntry(1<<60, 1234*time.Millisecond)
	if got := decodeWaiting(encodeWaiting(entry)); got != entry {
		t.Errorf("decoded %+v, want %+v", got, entry)
	}
	answer := waitlist.Answer{Search: true, Ahead: 7, ExpectedWait: 1500 * time.Millisecond, ExpectedWaitKnown: true}
	if got := decodeWaitAnswer(encodeWaitAnswer(answer)); got != answer {
		t.Errorf("decoded %+v, want %+v", got, answer)
	}
}

// Guards against lists and names without a bound that other hosts cause.
func TestUnusedListsAndLongNamesAreNotKept(t *testing.T) {
	now := time.Minute
	w := loneWaitingOrder(t, func() time.Duration { return now })
	long := encodeWaiting(waitingEntry(1, 0))
	long.Service = strings.Repeat("x", maxWaitText+1)
	w.handle(netip.MustParseAddrPort("10.0.0.1:81"), &filbertv1.TargetLoads{WaitReport: long})
	w.record("10.0.0.1:81", waitingEntry(1, 0))
	if n := w.lists.Len(); n != 1 {
		t.Fatalf("%d lists, want 1", n)
	}
	now += time.Minute + time.Second
	w.announce()
	if w.lists.Len() != 0 {
		t.Fatal("a list without reports is kept")
	}
	if _, ok := w.Report(t.Context(), waitingEntry(2, 0)); !ok {
		t.Fatal("the holder itself has no answer for its generation")
	}
}

// Guards against memory that a faulty host, or one with another configuration, takes by
// messages about services without engines here.
func TestUnknownServicesTakeNoMemory(t *testing.T) {
	w := loneWaitingOrder(t, func() time.Duration { return time.Minute })
	sender := netip.MustParseAddrPort("10.0.0.1:81")
	for i := range 1000 {
		report := encodeWaiting(waitingEntry(uint64(i), 0))
		report.Service, report.Done, report.Placed = fmt.Sprint("s-", i), true, true
		w.handle(sender, &filbertv1.TargetLoads{WaitReport: report})
		w.handle(sender, &filbertv1.TargetLoads{Answer: true, WaitReport: &filbertv1.WaitReport{Service: report.Service}})
		if _, ok := w.record("10.0.0.1:81", decodeWaiting(report)); ok {
			t.Fatal("a report of an unknown service has a list")
		}
	}
	if w.lists.Len() != 0 || len(w.announced) != 0 {
		t.Fatalf("%d lists and %d announcements of unknown services are kept", w.lists.Len(), len(w.announced))
	}
	if _, ok := w.record("10.0.0.1:81", waitingEntry(1, 0)); !ok {
		t.Fatal("a report of a known service has no list")
	}
}

// Guards against generations without an order after their holder was restarted, until it has
// the configuration.
func TestHolderWithoutConfigurationHoldsLists(t *testing.T) {
	fleet := newTestFleetView(t, "10.0.0.1:81", membership.Member{Address: "10.0.0.1:81"})
	w := newWaitingOrder(nil, fleet, &recordsync.Board{}, func() time.Duration { return time.Minute })
	if _, ok := w.record("10.0.0.1:81", waitingEntry(1, 0)); !ok {
		t.Fatal("a report has no list")
	}
}

// Guards against a holder that is taken for silent, or an answer that holds generations back,
// when it has no list for them.
func TestReportWithoutListIsNotAnswered(t *testing.T) {
	hosts := waitingHosts(t, "unknown", 2)
	entry := waitingEntry(1, time.Second)
	entry.Service = "unknown"
	for _, host := range hosts {
		waitForAnswers(host.exchange)
		if _, ok := host.Report(t.Context(), entry); ok {
			t.Fatal("a report without a list has an answer")
		}
	}
	hosts[1].mu.Lock()
	defer hosts[1].mu.Unlock()
	if len(hosts[1].silent) != 0 {
		t.Fatal("a host that answers is taken for silent")
	}
}

// Guards against announcements and silent holders that are kept after services were removed
// and hosts have left.
func TestOutdatedAnnouncementsAndSilenceAreNotKept(t *testing.T) {
	now := time.Minute
	w := loneWaitingOrder(t, func() time.Duration { return now })
	w.recordAnnouncement("llm", 2)
	w.recordAnswer("10.0.0.9:81", false)
	now += announcementLifetime
	w.announce()
	if !w.OthersWait("llm", 2) || len(w.silent) != 1 {
		t.Fatal("an announcement or the silence of a holder is dropped too early")
	}
	now += silenceBeforeTakeover + unresponsivePeriod
	w.announce()
	if len(w.announced) != 0 || len(w.silent) != 0 {
		t.Fatalf("%d announcements and %d silent holders are kept", len(w.announced), len(w.silent))
	}
}
