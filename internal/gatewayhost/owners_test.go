package gatewayhost

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/call"
	"filbertdeck/internal/controller/gossip"
	"filbertdeck/internal/controller/recordsync"
	"filbertdeck/internal/decide/brittle"
	"filbertdeck/internal/decide/membership"
	"filbertdeck/internal/decide/roomgrant"
	"filbertdeck/internal/decide/targetload"
	"filbertdeck/internal/decide/targetrate"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/gateway"
)

// freeUDPAddress returns a loopback address with a free UDP port.
func freeUDPAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	address := conn.LocalAddr().String()
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	return address
}

// startOwnerExchange runs the owner exchange of one host whose membership view
// has the given members.
func startOwnerExchange(t *testing.T, self string, members []string) (*ownerExchange, *gateway.TargetLoads) {
	t.Helper()
	return startOwnerExchangeWith(t, self, members, func(*ownerExchange) {})
}

// startOwnerExchangeWith is startOwnerExchange with a change to the exchange before it runs.
func startOwnerExchangeWith(t *testing.T, self string, members []string, change func(*ownerExchange)) (*ownerExchange, *gateway.TargetLoads) {
	t.Helper()
	start := time.Now()
	return startOwnerExchangeAt(t, self, members, func() time.Duration { return time.Since(start) }, change)
}

// answerLimit is how long a spec waits for an answer that must arrive. On a busy machine a
// round trip over loopback takes longer than queryTimeout.
const answerLimit = 10 * time.Second

// waitForAnswers makes a host wait until its queries are answered.
func waitForAnswers(o *ownerExchange) { o.answerTimeout = answerLimit }

// stoppedClock is a clock on which nothing expires, however long a busy machine takes.
func stoppedClock() time.Duration { return time.Minute }

// startOwnerExchangeAt is startOwnerExchangeWith by a given clock.
func startOwnerExchangeAt(t *testing.T, self string, members []string, now Clock, change func(*ownerExchange)) (*ownerExchange, *gateway.TargetLoads) {
	t.Helper()
	board := &gossip.Board{}
	out, err := board.Members.Claim()
	if err != nil {
		t.Fatal(err)
	}
	view := &membership.View{Version: 1}
	for _, m := range members {
		view.Members = append(view.Members, membership.Member{Address: m})
	}
	out.Publish(view)
	loads := gateway.NewTargetLoads(self, "dc-1", now)
	s := &Settings{}
	s.Deployment.ListenPeers = self
	published := &recordsync.Board{}
	publish, err := published.View.Claim()
	if err != nil {
		t.Fatal(err)
	}
	publish.Publish(engineView())
	o := newOwnerExchange(s, loads, newFleetView(s, board, now), published, now, slog.New(slog.DiscardHandler), gometrics.NewRegistry())
	change(o)
	if err := o.listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go o.serve(ctx)
	t.Cleanup(func() { cancel(); _ = o.conn.Close() })
	return o, loads
}

// publishedEngines is the number of engines in engineView. The engines' owners are drawn by
// the hosts' random ports, so there must be enough for each host to own one.
const publishedEngines = 200

func engineID(i int) string { return fmt.Sprint("i-", i+1) }

// engineView returns a published state with engines of one service.
func engineView() *directory.View {
	cfg := &directory.Config{Services: []directory.Service{{Name: "llm", Engine: &directory.Engine{MemoryTokens: 10_000}}}}
	targets := map[string]*directory.ObservedTarget{}
	for i := range publishedEngines {
		id := engineID(i)
		targets[id] = &directory.ObservedTarget{Published: true, Target: directory.Target{ID: id, Service: "llm", Slots: 24}}
	}
	return directory.NewView(1, cfg, targets, nil)
}

// targetOwnedBy returns a target that a given host owns.
func targetOwnedBy(t *testing.T, o *ownerExchange, host string) gateway.TargetRef {
	t.Helper()
	for i := range publishedEngines {
		target := gateway.TargetRef{ID: engineID(i)}
		if o.fleet.owners(target)[0] == host {
			return target
		}
	}
	t.Fatal("no target is owned by", host)
	return gateway.TargetRef{}
}

// Two hosts choose the same engine within a few milliseconds, before gossip
// tells either of the other's choice. The owner must report the first choice
// when the second host queries it.
func TestOwnerReportsLoadOfOtherHost(t *testing.T) {
	addresses := []string{freeUDPAddress(t), freeUDPAddress(t), freeUDPAddress(t)}
	owner, _ := startOwnerExchange(t, addresses[0], addresses)
	first, firstLoads := startOwnerExchange(t, addresses[1], addresses)
	second, _ := startOwnerExchange(t, addresses[2], addresses)
	target := targetOwnedBy(t, owner, addresses[0])
	firstLoads.Reserve(target.ID, call.Prompt{Tokens: 3000})
	own := targetload.HostLoad{Host: addresses[1], Target: target.ID, Version: 7, Load: targetload.Load{Running: 1, ReservedTokens: 3000, UnreadTokens: 3000}}
	if _, ok := first.queryOwner(target, []targetload.HostLoad{own}); !ok {
		t.Fatal("the owner did not answer the first host")
	}
	counts, ok := second.queryOwner(target, []targetload.HostLoad{{Host: addresses[2], Target: target.ID, Version: 1, Load: targetload.Load{Running: 1}}})
	if !ok {
		t.Fatal("the owner did not answer the second host")
	}
	for _, c := range counts {
		if c.Host == addresses[1] && c.Running == 1 && c.UnreadTokens == 3000 {
			return
		}
	}
	t.Fatalf("the owner returned %v, want the load of the first host's choice", counts)
}

// The owner is down or unreachable and does not answer. A choice must not wait
// longer than the query timeout.
func TestQueryToUnresponsiveOwnerTimesOut(t *testing.T) {
	addresses := []string{freeUDPAddress(t), freeUDPAddress(t)}
	o, _ := startOwnerExchange(t, addresses[0], addresses)
	target := targetOwnedBy(t, o, addresses[1])
	if _, ok := o.queryOwner(target, nil); ok {
		t.Fatal("a query to a host that does not exist was answered")
	}
	if n := o.unansweredQueries.Count(); n != 1 {
		t.Fatalf("%d queries counted as unanswered, want 1", n)
	}
}

// Two hosts ask for the last room of an engine. Guards against a decision, a limit or a
// count that is lost between hosts.
func TestOwnerGrantsRoomOnce(t *testing.T) {
	addresses := []string{freeUDPAddress(t), freeUDPAddress(t), freeUDPAddress(t)}
	// A grant ends with its release here, since it does not expire on a stopped clock.
	start := func(self string) *ownerExchange {
		o, _ := startOwnerExchangeAt(t, self, addresses, stoppedClock, waitForAnswers)
		return o
	}
	owner, first, second := start(addresses[0]), start(addresses[1]), start(addresses[2])
	target := targetOwnedBy(t, owner, addresses[0])
	request := roomgrant.Request{ID: 1 << 63, Tokens: 6000, PromptTokens: 3000, MemoryShare: 1.1, LimitsUnread: true, MaxUnreadTokens: 2999, Priority: 2}
	ask := func(o *ownerExchange, version uint64) gateway.RoomReply {
		reply, ok := o.RequestRoom(target, targetload.HostLoad{Host: o.self, Target: target.ID, Version: version}, request)
		if !ok || !reply.Decided {
			t.Fatalf("the owner did not decide: %+v", reply)
		}
		return reply
	}
	if !ask(first, 7).Granted {
		t.Fatal("the room was denied to the first host")
	}
	reply := ask(second, 3)
	if reply.Granted {
		t.Fatal("the room was granted twice")
	}
	if len(reply.Counts) != 1 || reply.Counts[0].Host != addresses[1] || reply.Counts[0].UnreadTokens != 3000 || reply.Counts[0].Version != 8 {
		t.Fatalf("the owner returned %+v, want the granted room", reply.Counts)
	}
	first.SendCount(target, targetload.HostLoad{Host: addresses[1], Target: target.ID, Version: 9})
	for deadline := time.Now().Add(answerLimit); !ask(second, 3).Granted; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the released room was denied")
		}
	}
	if local := ask(owner, 1); local.Granted || owner.queries.Count() != 0 {
		t.Fatalf("the owner granted its own request (%v) or sent a datagram", local.Granted)
	}
	want := roomgrant.Request{ID: 9, Tokens: 1, PromptTokens: 2, MemoryShare: 0.7, MaxUnreadTokens: 3, LimitsUnread: true, Priority: -1, Move: true}
	if got := decodeRoomRequest(encodeRoomRequest("i-1", want)); got != want {
		t.Fatalf("decoded %+v, want %+v", got, want)
	}
}

// Guards against granted room that a host takes for a host's own count, which lasts longer.
func TestGrantedRoomIsMarkedBetweenHosts(t *testing.T) {
	want := []targetload.HostLoad{{
		Host: "a", Target: "i-1", Version: 8, Load: targetload.Load{Running: 3, ReservedTokens: 7000, UnreadTokens: 4000},
		Granted: &targetload.Granted{Load: targetload.Load{Running: 2, ReservedTokens: 6000, UnreadTokens: 3000}, Version: 7, Lifetime: 321 * time.Millisecond},
	}, {Host: "b", Target: "i-1", Version: 1}}
	if got := decodeCounts(encodeCounts(want, 0), 0); !reflect.DeepEqual(got, want) {
		t.Fatalf("decoded %+v, want %+v", got, want)
	}
}

// Guards against a decision by the size of an engine that the owner does not know.
func TestRoomAtUnknownEngineIsNotDecided(t *testing.T) {
	addresses := []string{freeUDPAddress(t), freeUDPAddress(t)}
	startOwnerExchange(t, addresses[0], addresses)
	o, _ := startOwnerExchangeWith(t, addresses[1], addresses, waitForAnswers)
	unknown := gateway.TargetRef{ID: "gone"}
	reply, ok := o.RequestRoom(unknown, targetload.HostLoad{Host: o.self, Target: unknown.ID, Version: 1}, roomgrant.Request{Tokens: 1, MemoryShare: 1})
	if !ok || reply.Decided {
		t.Fatalf("got %+v, %v, want an answer with counts only", reply, ok)
	}
}

// Guards against counters that the operators' documentation does not describe.
func TestOwnerCountersAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/gateway-counters.md")
	if err != nil {
		t.Fatal(err)
	}
	registry := gometrics.NewRegistry()
	newOwnerExchange(&Settings{}, nil, nil, nil, nil, nil, registry)
	registry.Each(func(name string, _ any) {
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("%s is not documented on the operators' page", name)
		}
	})
}

// Guards against a request of a target's rate limit that is lent to two hosts.
func TestRequestOfTargetRateIsLentOnce(t *testing.T) {
	addresses := []string{freeUDPAddress(t), freeUDPAddress(t), freeUDPAddress(t)}
	_, lender := startOwnerExchange(t, addresses[0], addresses)
	first, _ := startOwnerExchange(t, addresses[1], addresses)
	second, _ := startOwnerExchange(t, addresses[2], addresses)
	target := ""
	for i := 0; target == ""; i++ {
		if id := fmt.Sprint("i-", i); membership.Rank(id, addresses)[0] == addresses[0] {
			target = id
		}
	}
	lends := func(o *ownerExchange) bool {
		_, ok := o.borrow(target, 1)
		return ok
	}
	if lends(first) {
		t.Fatal("a request was lent for a target that advertised no rate")
	}
	rate := 0.001
	lender.ObserveRate(target, &rate)
	if !lends(first) {
		t.Fatal("the host that holds the target's rate lent no request")
	}
	if lends(second) {
		t.Fatal("a request was lent twice")
	}
}

// Guards against a place at a brittle target that two hosts use at once, and against
// one that nobody uses after it was returned.
func TestPlaceAtBrittleTargetIsLentAndReturned(t *testing.T) {
	addresses := []string{freeUDPAddress(t), freeUDPAddress(t), freeUDPAddress(t)}
	_, lender := startOwnerExchange(t, addresses[0], addresses)
	first, _ := startOwnerExchange(t, addresses[1], addresses)
	second, _ := startOwnerExchange(t, addresses[2], addresses)
	target := directory.Target{ID: "i-1", Slots: 1, StartedUnixMilli: 10}
	lender.ObserveBrittle(target, true)
	host, ok := first.borrow(target.ID, len(addresses))
	for try := 0; !ok && try < 100; try++ {
		host, ok = first.borrow(target.ID, len(addresses))
	}
	if !ok || host != addresses[0] {
		t.Fatalf("the place was lent by %q, want %q", host, addresses[0])
	}
	borrowed := func() bool {
		lenderAddress, lent := second.borrow(target.ID, len(addresses))
		return lent && lenderAddress == addresses[0]
	}
	for range 20 {
		if borrowed() {
			t.Fatal("a place was lent twice")
		}
	}
	first.returnPlace(target.ID, host)
	for try := 0; try < 1000; try++ {
		if borrowed() {
			return
		}
	}
	t.Fatal("the returned place was not lent again")
}

// Guards against a brittle target of which other hosts learn a wrong lifetime or age.
func TestBrittleStatementIsKeptBetweenHosts(t *testing.T) {
	said := brittle.Statement{Brittle: true, StartedUnixMilli: 1779813826589, Slots: 6, At: 5 * time.Second}
	got := decodeCounts(encodeCounts([]targetload.HostLoad{{Target: "i-1", Brittle: &said}}, 7*time.Second), time.Minute)[0].Brittle
	said.At = time.Minute - 2*time.Second
	if got == nil || *got != said {
		t.Fatalf("decoded %+v, want %+v", got, said)
	}
}

// Guards against an advertised rate whose age shrinks in transit, so that it
// replaces a more recent one.
func TestRateAgeIsKeptBetweenHosts(t *testing.T) {
	encoded := encodeCounts([]targetload.HostLoad{{Target: "i-1", AdvertisedRate: &targetrate.Advertisement{Limited: true, PerSecond: 3.4, At: 5 * time.Second}}}, 7*time.Second)
	decoded := decodeCounts(encoded, time.Minute)[0].AdvertisedRate
	if decoded == nil || !decoded.Limited || decoded.PerSecond != 3.4 || decoded.At != time.Minute-2*time.Second {
		t.Fatalf("decoded %+v, want a rate of 3.4 that is two seconds old", decoded)
	}
}

// Guards against a notice that is lost between hosts, or applies to a lifetime
// that it was not given in.
func TestLeavingLifetimeIsKeptBetweenHosts(t *testing.T) {
	started := int64(1779813826589)
	for _, want := range []*int64{nil, new(int64), &started} {
		got := decodeCounts(encodeCounts([]targetload.HostLoad{{Target: "i-1", LeavingLifetime: want}}, 0), 0)[0].LeavingLifetime
		if (got == nil) != (want == nil) || got != nil && *got != *want {
			t.Errorf("decoded %v, want %v", got, want)
		}
	}
}

// A datagram that is not a valid message must not keep the next query from
// being answered.
func TestUnreadableDatagramsAreIgnored(t *testing.T) {
	addresses := []string{freeUDPAddress(t), freeUDPAddress(t)}
	owner, _ := startOwnerExchange(t, addresses[0], addresses)
	client, _ := startOwnerExchange(t, addresses[1], addresses)
	conn, err := net.Dial("udp", addresses[0])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte{0xff, 0xff, 0xff}); err != nil {
		t.Fatal(err)
	}
	target := targetOwnedBy(t, owner, addresses[0])
	if _, ok := client.queryOwner(target, nil); !ok {
		t.Fatal("the owner did not answer")
	}
}

// Guards against an answer that is thrown away because this process was delayed and the time
// is over as well: the other host would be skipped for a second, and what it lent is lost.
func TestAnswerThatHasArrivedIsTaken(t *testing.T) {
	timeout := make(chan time.Time)
	close(timeout)
	for range 100 {
		answers := make(chan *filbertv1.TargetLoads, 1)
		answers <- &filbertv1.TargetLoads{Lent: true}
		if answer, ok := awaitAnswer(answers, timeout); !ok || !answer.GetLent() {
			t.Fatal("the answer was not taken")
		}
	}
	if _, ok := awaitAnswer(make(chan *filbertv1.TargetLoads), timeout); ok {
		t.Fatal("an answer was taken that has not arrived")
	}
}
