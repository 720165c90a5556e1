package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/directory"
	"filbertdeck/internal/gateway"
)

// appTargets returns a view with a number of targets of the service "app", i-1
// and so on.
func appTargets(count int) *directory.View {
	targets := map[string]*directory.ObservedTarget{}
	for i := range count {
		id := fmt.Sprintf("i-%d", i+1)
		targets[id] = &directory.ObservedTarget{Published: true, Target: directory.Target{ID: id, Service: "app", DataCentre: "dc-1", Slots: 6}}
	}
	return directory.NewView(1, testConfig(), targets, nil)
}

// startFleet returns the target loads of a number of hosts, with fixed seeds.
func startFleet(hosts int, now func() time.Duration) []*gateway.TargetLoads {
	fleet := make([]*gateway.TargetLoads, hosts)
	for i := range fleet {
		fleet[i] = gateway.NewTargetLoads(fmt.Sprintf("host-%d", i), "dc-1", now)
		fleet[i].SetRand(rand.New(rand.NewPCG(3, uint64(i))))
	}
	return fleet
}

// departurePlay has hosts send requests to a service while one of its targets
// leaves and the store is silent, and returns how many requests reach that
// target after its first answer. With sharing, alerts reach all other hosts after
// alertDelay.
func departurePlay(hosts, targets, perSecond int, share bool) int {
	const duration, alertDelay = 12 * time.Second, 200 * time.Millisecond
	var now time.Duration
	view, fleet := appTargets(targets), startFleet(hosts, func() time.Duration { return now })
	rng := rand.New(rand.NewPCG(1, 2))
	var alertAt time.Duration
	var announcing int
	reached := 0
	for ; now < duration; now += time.Second / time.Duration(perSecond) {
		if alertAt > 0 && now >= alertAt {
			alertAt = 0
			for i, l := range fleet {
				if i != announcing {
					l.MergeAlerts("host", fleet[announcing].PendingAlerts(fmt.Sprintf("host-%d", i)))
				}
			}
		}
		host := rng.IntN(hosts)
		target, reservation, ok := fleet[host].Acquire(view, gateway.PlacementRequest{Service: "app", Locality: gateway.PreferLocal})
		Expect(ok).To(BeTrue())
		reservation.Release()
		if target.ID != "i-1" {
			continue
		}
		reached++
		fleet[host].RecordLeaving(target.Target, false)
		if share && reached == 1 {
			alertAt, announcing = now+alertDelay, host
		}
	}
	return reached - 1
}

var _ = Describe("hosts that share what targets say", func() {
	// Guards against each host of a fleet sending a leaving target a request
	// before it believes that the target leaves.
	DescribeTable("send fewer requests to a target that leaves while the store is silent",
		func(hosts, targets, perSecond int) {
			alone, shared := departurePlay(hosts, targets, perSecond, false), departurePlay(hosts, targets, perSecond, true)
			AddReportEntry("requests after the first answer", fmt.Sprintf("alone %d, shared %d", alone, shared))
			Expect(alone).To(BeNumerically(">", shared))
			// The alert takes 0.2 s, and the target gets its part of the requests.
			Expect(shared).To(BeNumerically("<=", 2*(perSecond/targets/5+1)))
		},
		Entry("8 hosts", 8, 3, 45), Entry("71 hosts", 71, 3, 112), Entry("195 hosts", 195, 6, 110), Entry("3,300 hosts", 3300, 12, 6000),
	)

	// Guards against a target that restarted under its id and is avoided for what
	// another host heard before.
	It("share it for the lifetime that it holds for", func() {
		now := func() time.Duration { return time.Second }
		first, second := gateway.NewTargetLoads("host-1", "dc-1", now), gateway.NewTargetLoads("host-2", "dc-1", now)
		old := directory.Target{ID: "i-1", Service: "app", StartedUnixMilli: 10}
		first.RecordLeaving(old, false)
		Expect(second.MergeAlerts("host-1", first.PendingAlerts("host-2"))).To(ConsistOf(old.Lifetime()))
		restarted := old
		restarted.StartedUnixMilli++
		Expect(second.SaidLeaving(old)).To(BeTrue())
		Expect(second.SaidLeaving(restarted)).To(BeFalse())
	})

	// Guards against alerts from every host when a target leaves that the
	// directory already lists as leaving.
	It("share nothing that the directory or another host told", func() {
		now := func() time.Duration { return time.Second }
		first, second := gateway.NewTargetLoads("host-1", "dc-1", now), gateway.NewTargetLoads("host-2", "dc-1", now)
		published, told := directory.Target{ID: "i-1"}, directory.Target{ID: "i-2"}
		first.RecordLeaving(published, true)
		Expect(first.PendingAlerts("host-3")).To(BeEmpty())
		second.RecordLeaving(told, false)
		first.MergeAlerts("host-2", second.PendingAlerts("host-1"))
		first.RecordLeaving(told, false)
		for _, alert := range first.PendingAlerts("host-3") {
			Expect(alert.Host).To(Equal("host-2"))
		}
	})
})
