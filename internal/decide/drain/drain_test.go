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

var _ = Describe("a planned stop that stays open while busy", func() {
	// Two of a data centre's three hosts are restarted at once, and the
	// balancer goes on sending to them. A caller who is refused there has one
	// try left, although the host serves its last report for seconds yet.
	It("takes new work until the last request ends or the limit is near", func() {
		cfg := drain.ShutdownConfig{
			MinAnnounce: 2 * time.Second, QuietPeriod: time.Second, MaxAnnounce: 6 * time.Second, LingerDuration: time.Second,
			DrainTimeout: 8 * time.Second, AcceptWhileBusy: true,
		}
		busy, idle := drain.NewShutdown(cfg), drain.NewShutdown(cfg)
		cfg.AcceptWhileBusy = false
		plain := drain.NewShutdown(cfg)
		for _, s := range []*drain.Shutdown{busy, idle, plain} {
			s.Begin(0)
		}
		busy.Step(4*time.Second, 1)
		idle.Step(4*time.Second, 0)
		plain.Step(4*time.Second, 1)
		Expect(busy.AcceptsNew()).To(BeTrue())
		Expect(idle.AcceptsNew()).To(BeFalse())
		Expect(plain.AcceptsNew()).To(BeFalse())
		busy.Step(6*time.Second, 1)
		Expect(busy.AcceptsNew()).To(BeFalse())
	})
})

var _ = Describe("data centres", func() {
	It("leave at once, return by a ramp, and leave again in the middle of it", func() {
		c := drain.NewDataCentres(drain.RampConfig{})
		Expect(c.Ready()).To(BeFalse())
		for _, step := range []struct {
			at    time.Duration
			out   []string
			share float64
		}{
			{0, nil, 1}, {time.Second, []string{"east"}, 0}, {2 * time.Second, nil, 0.05},
			{17 * time.Second, nil, 0.5}, {18 * time.Second, []string{"west", "east"}, 0},
			{20 * time.Second, []string{"west"}, 0.05}, {60 * time.Second, []string{"west"}, 1},
		} {
			c.SetDrained(step.at, step.out)
			Expect(c.WorkShare(step.at, "east")).To(Equal(step.share), step.at.String())
		}
		Expect(c.Ready()).To(BeTrue())
		Expect(c.MayStart("west", false)).To(BeFalse())
		Expect(c.MayStart("east", false)).To(BeTrue())
		Expect(c.MayStart("east", true)).To(BeFalse())
	})

	// A data centre comes back empty beside two that are full. Entries that go
	// by backlog alone send it everything, and its cold targets fall over.
	It("never get more than they bear on their return, unlike by backlog alone", func() {
		naive := comeback(false)
		Expect(comeback(true)).To(BeZero())
		Expect(naive).To(BeNumerically(">", 1000))
		AddReportEntry("beyond what it bore", fmt.Sprint("ramp 0, backlog alone ", naive))
	})
})

// comeback sends 300 requests a second for 30 s to three data centres that
// serve 120 a second each. One comes back, and bears a tenth at first and all
// of it after 25 s. It gives the requests beyond what it bore. By backlog alone
// it gets everything until backlogs are even again.
func comeback(ramped bool) (over int) {
	rnd := rand.New(rand.NewPCG(1, 6))
	c := drain.NewDataCentres(drain.RampConfig{})
	c.SetDrained(0, []string{"back"})
	c.SetDrained(0, nil)
	for second := range 30 {
		share, got := 1.0/3, 0
		if ramped {
			share *= c.WorkShare(time.Duration(second)*time.Second, "back")
		} else if second < 10 {
			share = 1
		}
		for range 300 {
			if rnd.Float64() < share {
				got++
			}
		}
		over += max(0, got-int(120*min(1, 0.1+0.9*float64(second)/25)))
	}
	return over
}

var _ = Describe("a planned stop", func() {
	It("announces, waits for quiet, refuses, finishes, lingers and ends", func() {
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
			s.NoteArrival(time.Duration(step.arrived) * time.Second)
			Expect(s.Step(time.Duration(step.second)*time.Second, step.running)).To(Equal(step.want), fmt.Sprint(step))
			Expect(s.Ready()).To(BeFalse())
			Expect(s.AcceptsNew()).To(Equal(step.want == drain.Announced))
		}
		Expect(s.CutWork()).To(BeFalse())
	})

	It("refuses in the end what a deaf balancer sends, and cuts only by the limit that was set", func() {
		s := drain.NewShutdown(drain.ShutdownConfig{DrainTimeout: time.Minute})
		s.Begin(0)
		s.NoteArrival(14 * time.Second)
		Expect(s.Step(14*time.Second, 1)).To(Equal(drain.Announced))
		s.NoteArrival(15 * time.Second)
		Expect(s.Step(15*time.Second, 1)).To(Equal(drain.Refusing))
		Expect(s.Step(time.Minute, 1)).To(Equal(drain.Done))
		Expect(s.CutWork()).To(BeTrue())
	})

	// A process that stops listening at once refuses what the balancer still
	// sends; callers see their connections fail during each rolling upgrade.
	It("refuses nothing that a working balancer sends", func() {
		refused, naive := upgrade(drain.ShutdownConfig{}), upgrade(drain.ShutdownConfig{MaxAnnounce: 1})
		Expect(refused).To(BeZero())
		Expect(naive).To(BeNumerically(">", 100))
		AddReportEntry("refused or cut", fmt.Sprint("announced first ", refused, ", refused at once ", naive))
	})
})

// upgrade stops a process under 100 requests a second, of which each takes up
// to 3 s; the balancer leaves it out 4 s after the announcement. It gives the
// requests that were refused or cut.
func upgrade(cfg drain.ShutdownConfig) (lost int) {
	rnd := rand.New(rand.NewPCG(1, 7))
	s := drain.NewShutdown(cfg)
	s.Begin(0)
	running, ends := 0, map[int]int{}
	for step := 0; s.Phase() != drain.Done; step++ { // of 10 ms
		now := time.Duration(step) * 10 * time.Millisecond
		running -= ends[step]
		if step < 400 {
			s.NoteArrival(now)
			if s.AcceptsNew() {
				running++
				ends[step+1+rnd.IntN(300)]++
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
