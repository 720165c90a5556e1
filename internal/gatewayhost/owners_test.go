package gatewayhost

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/call"
	"filbertdeck/internal/controller/gossip"
	"filbertdeck/internal/controller/recordsync"
	"filbertdeck/internal/decide/membership"
	"filbertdeck/internal/decide/targetload"
	"filbertdeck/internal/decide/targetrate"
	"filbertdeck/internal/gateway"
)

// freeUDP gives an address with a free port for datagrams.
func freeUDP(t *testing.T) string {
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

// startOwners runs the owners of one host that believes in some members.
func startOwners(t *testing.T, self string, members []string) (*owners, *gateway.TargetLoads) {
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
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	loads := gateway.NewTargetLoads(self, "dc-1", now)
	s := &Settings{}
	s.Deployment.ListenPeers = self
	o := newOwners(s, loads, newFleetSize(s, board, now), &recordsync.Board{}, now, slog.New(slog.DiscardHandler), gometrics.NewRegistry())
	if err := o.listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go o.serve(ctx)
	t.Cleanup(func() { cancel(); _ = o.conn.Close() })
	return o, loads
}

// targetOwnedBy gives a target whose owner is a host.
func targetOwnedBy(t *testing.T, o *owners, host string) gateway.TargetRef {
	t.Helper()
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8", "i-9", "i-10", "i-11", "i-12"} {
		target := gateway.TargetRef{ID: id}
		if o.size.owners(target)[0] == host {
			return target
		}
	}
	t.Fatal("no target is owned by", host)
	return gateway.TargetRef{}
}

// Two hosts choose the same engine within a few milliseconds, before gossip
// tells either of the other. The owner knows of the first choice when the second
// host asks.
func TestOwnerTellsOfAnotherHostsChoice(t *testing.T) {
	addresses := []string{freeUDP(t), freeUDP(t), freeUDP(t)}
	owner, _ := startOwners(t, addresses[0], addresses)
	first, firstLoads := startOwners(t, addresses[1], addresses)
	second, _ := startOwners(t, addresses[2], addresses)
	target := targetOwnedBy(t, owner, addresses[0])
	firstLoads.Reserve(target.ID, call.Prompt{Tokens: 3000})
	own := targetload.HostLoad{Host: addresses[1], Target: target.ID, Version: 7, Load: targetload.Load{Running: 1, ReservedTokens: 3000, UnreadTokens: 3000}}
	if _, ok := first.ask(target, []targetload.HostLoad{own}); !ok {
		t.Fatal("the owner did not answer the first host")
	}
	counts, ok := second.ask(target, []targetload.HostLoad{{Host: addresses[2], Target: target.ID, Version: 1, Load: targetload.Load{Running: 1}}})
	if !ok {
		t.Fatal("the owner did not answer the second host")
	}
	for _, c := range counts {
		if c.Host == addresses[1] && c.Running == 1 && c.UnreadTokens == 3000 {
			return
		}
	}
	t.Fatalf("the owner told of %v, want the first host's choice", counts)
}

// The owner is dead or cut off, and its host answers nothing. The choice must
// not wait for it for long.
func TestSilentOwnerIsNotWaitedFor(t *testing.T) {
	addresses := []string{freeUDP(t), freeUDP(t)}
	o, _ := startOwners(t, addresses[0], addresses)
	target := targetOwnedBy(t, o, addresses[1])
	if _, ok := o.ask(target, nil); ok {
		t.Fatal("a host that is not there answered")
	}
	if n := o.unanswered.Count(); n != 1 {
		t.Fatalf("%d questions counted as unanswered, want 1", n)
	}
}

// An engineer on call looks for a counter that no page explains.
func TestOwnersMetersAreOnTheOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/gateway-counters.md")
	if err != nil {
		t.Fatal(err)
	}
	registry := gometrics.NewRegistry()
	newOwners(&Settings{}, nil, nil, nil, nil, nil, registry)
	registry.Each(func(name string, _ any) {
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("%s is not on the page", name)
		}
	})
}

// Guards against requests of a target's rate that two hosts both take for theirs.
func TestOneRequestOfATargetsRateIsLentOnce(t *testing.T) {
	addresses := []string{freeUDP(t), freeUDP(t), freeUDP(t)}
	_, lender := startOwners(t, addresses[0], addresses)
	first, _ := startOwners(t, addresses[1], addresses)
	second, _ := startOwners(t, addresses[2], addresses)
	target := ""
	for i := 0; target == ""; i++ {
		if id := fmt.Sprint("i-", i); membership.Rank(id, addresses)[0] == addresses[0] {
			target = id
		}
	}
	if first.borrow(target, 1) {
		t.Fatal("a host lent of a target that named no rate")
	}
	rate := 0.001
	lender.ObserveRate(target, &rate)
	if !first.borrow(target, 1) {
		t.Fatal("the host that has the target's rate did not lend")
	}
	if second.borrow(target, 1) {
		t.Fatal("a request was lent twice")
	}
}

// Guards against an advertised rate that grows younger on its way and overrules a
// newer one.
func TestRatesKeepTheirAgeBetweenHosts(t *testing.T) {
	told := toWire([]targetload.HostLoad{{Target: "i-1", AdvertisedRate: &targetrate.Advertisement{Limited: true, PerSecond: 3.4, At: 5 * time.Second}}}, 7*time.Second)
	heard := fromWire(told, time.Minute)[0].AdvertisedRate
	if heard == nil || !heard.Limited || heard.PerSecond != 3.4 || heard.At != time.Minute-2*time.Second {
		t.Fatalf("heard %+v, want a rate of 3.4 from two seconds before", heard)
	}
}

// Bytes that are no message of ours come to the port. The next question is
// answered all the same.
func TestOwnersPassOverUnreadableDatagrams(t *testing.T) {
	addresses := []string{freeUDP(t), freeUDP(t)}
	owner, _ := startOwners(t, addresses[0], addresses)
	asking, _ := startOwners(t, addresses[1], addresses)
	conn, err := net.Dial("udp", addresses[0])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte{0xff, 0xff, 0xff}); err != nil {
		t.Fatal(err)
	}
	target := targetOwnedBy(t, owner, addresses[0])
	if _, ok := asking.ask(target, nil); !ok {
		t.Fatal("the owner did not answer")
	}
}
