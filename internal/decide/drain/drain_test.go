package drain_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/drain"
)

func TestDrain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "drain")
}

var _ = Describe("a graceful shutdown that accepts work while busy", func() {
	// Two of a data centre's three hosts are restarted at once, and the load
	// balancer continues to send to them. A caller that is refused there has
	// used up one attempt, although the host keeps running for seconds to
	// finish its last report.
	It("accepts new work until the last request ends or the time limit is reached", func() {
		cfg := drain.ShutdownConfig{
			MinAnnounce: 2 * time.Second, QuietPeriod: time.Second, MaxAnnounce: 6 * time.Second, LingerDuration: time.Second,
			DrainTimeout: 8 * time.Second, AcceptWhileBusy: true,
		}
		busy, idle := drain.NewShutdown(cfg), drain.NewShutdown(cfg)
		cfg.AcceptWhileBusy = false
		withoutOption := drain.NewShutdown(cfg)
		for _, s := range []*drain.Shutdown{busy, idle, withoutOption} {
			s.Begin(0)
		}
		busy.Step(4*time.Second, 1)
		idle.Step(4*time.Second, 0)
		withoutOption.Step(4*time.Second, 1)
		Expect(busy.AcceptsNew()).To(BeTrue())
		Expect(idle.AcceptsNew()).To(BeFalse())
		Expect(withoutOption.AcceptsNew()).To(BeFalse())
		busy.Step(6*time.Second, 1)
		Expect(busy.AcceptsNew()).To(BeFalse())
	})
})

var _ = Describe("data centres", func() {
	It("are drained at once, return on a ramp, and can be drained again during it", func() {
		c := drain.NewDataCentres(drain.RampConfig{})
		Expect(c.Ready()).To(BeFalse())
		for _, step := range []struct {
			at      time.Duration
			drained []string
			share   float64
		}{
			{0, nil, 1}, {time.Second, []string{"east"}, 0}, {2 * time.Second, nil, 0.05},
			{17 * time.Second, nil, 0.5}, {18 * time.Second, []string{"west", "east"}, 0},
			{20 * time.Second, []string{"west"}, 0.05}, {60 * time.Second, []string{"west"}, 1},
		} {
			c.SetDrained(step.at, step.drained)
			Expect(c.WorkShare(step.at, "east")).To(Equal(step.share), step.at.String())
		}
		Expect(c.Ready()).To(BeTrue())
		Expect(c.AcceptsWork("west", false)).To(BeFalse())
		Expect(c.AcceptsWork("east", false)).To(BeTrue())
		Expect(c.AcceptsWork("east", true)).To(BeFalse())
	})

	// A data centre returns empty beside two that are full. Entries that place
	// work by backlog alone send it everything, and its cold targets fail.
	It("never get more than their capacity on their return, unlike by backlog alone", func() {
		byBacklogAlone := simulateReturn(false)
		Expect(simulateReturn(true)).To(BeZero())
		Expect(byBacklogAlone).To(BeNumerically(">", 1000))
		AddReportEntry("requests beyond the capacity", fmt.Sprint("with ramp 0, by backlog alone ", byBacklogAlone))
	})
})

// simulateReturn sends 300 requests a second for 30 s to three data centres
// that serve 120 a second each. One returns with a tenth of its capacity, which
// grows to all of it within 25 s. The result is the number of requests beyond
// that capacity. By backlog alone the data centre gets all requests until
// backlogs are even again, after 10 s.
func simulateReturn(ramped bool) (excess int) {
	rnd := rand.New(rand.NewPCG(1, 6))
	c := drain.NewDataCentres(drain.RampConfig{})
	c.SetDrained(0, []string{"back"})
	c.SetDrained(0, nil)
	for second := range 30 {
		share, received := 1.0/3, 0
		if ramped {
			share *= c.WorkShare(time.Duration(second)*time.Second, "back")
		} else if second < 10 {
			share = 1
		}
		for range 300 {
			if rnd.Float64() < share {
				received++
			}
		}
		excess += max(0, received-int(120*min(1, 0.1+0.9*float64(second)/25)))
	}
	return excess
}

var _ = Describe("a graceful shutdown", func() {
	It("announces, waits until no work arrives, refuses, finishes, lingers and ends", func() {
		s := drain.NewShutdown(drain.ShutdownConfig{})
		Expect(s.Step(0, 3)).To(Equal(drain.Serving))
		s.Begin(time.Second)
		for _, step := range []struct {
			second, arrived, running int
			want                     drain.Phase
		}{
			{2, 0, 3, drain.Announced}, {5, 5, 3, drain.Announced}, {6, 5, 4, drain.Announced},
			{7, 5, 4, drain.Refusing}, {3000, 5, 1, drain.Refusing}, {3001, 5, 0, drain.Lingering},
			{3001, 5, 1, drain.Refusing}, {3002, 5, 0, drain.Lingering}, {3003, 5, 0, drain.Done},
		} {
			s.RecordArrival(time.Duration(step.arrived) * time.Second)
			Expect(s.Step(time.Duration(step.second)*time.Second, step.running)).To(Equal(step.want), fmt.Sprint(step))
			Expect(s.Ready()).To(BeFalse())
			Expect(s.AcceptsNew()).To(Equal(step.want == drain.Announced))
		}
		Expect(s.TimedOut()).To(BeFalse())
	})

	It("refuses requests of a load balancer that ignores readiness, and cuts work only at the configured limit", func() {
		s := drain.NewShutdown(drain.ShutdownConfig{DrainTimeout: time.Minute})
		s.Begin(0)
		s.RecordArrival(14 * time.Second)
		Expect(s.Step(14*time.Second, 1)).To(Equal(drain.Announced))
		s.RecordArrival(15 * time.Second)
		Expect(s.Step(15*time.Second, 1)).To(Equal(drain.Refusing))
		Expect(s.Step(time.Minute, 1)).To(Equal(drain.Done))
		Expect(s.TimedOut()).To(BeTrue())
	})

	// A process that stops listening at once refuses what the load balancer
	// still sends, so callers see failed connections during each rolling
	// upgrade.
	It("refuses nothing that a working load balancer sends", func() {
		announcedFirst, refusedAtOnce := simulateUpgrade(drain.ShutdownConfig{}), simulateUpgrade(drain.ShutdownConfig{MaxAnnounce: 1})
		Expect(announcedFirst).To(BeZero())
		Expect(refusedAtOnce).To(BeNumerically(">", 100))
		AddReportEntry("refused or cut", fmt.Sprint("announced first ", announcedFirst, ", refused at once ", refusedAtOnce))
	})
})

// simulateUpgrade shuts down a process that receives 100 requests a second,
// each of which takes up to 3 s. The load balancer stops sending 4 s after the
// announcement. The result is the number of requests that were refused or cut.
func simulateUpgrade(cfg drain.ShutdownConfig) (lost int) {
	rnd := rand.New(rand.NewPCG(1, 7))
	s := drain.NewShutdown(cfg)
	s.Begin(0)
	running, endingAt := 0, map[int]int{}
	for step := 0; s.Phase() != drain.Done; step++ { // steps of 10 ms
		now := time.Duration(step) * 10 * time.Millisecond
		running -= endingAt[step]
		if step < 400 {
			s.RecordArrival(now)
			if s.AcceptsNew() {
				running++
				endingAt[step+1+rnd.IntN(300)]++
			} else {
				lost++
			}
		}
		if s.Step(now, running) == drain.Done {
			lost += running
		}
	}
	return lost
}
