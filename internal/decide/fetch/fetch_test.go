package fetch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/fetch"
)

func TestFetch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fetch")
}

func newPlan(seed uint64) *fetch.PeerSelector {
	return fetch.NewPeerSelector(fetch.DefaultConfig(), rand.New(rand.NewPCG(seed, 1)))
}

const second = time.Second

var _ = Describe("a plan", func() {
	It("fetches what is newer, from one peer at a time", func() {
		p := newPlan(1)
		p.RecordAnnouncement(0, "a", true, 5)
		p.RecordAnnouncement(0, "b", true, 5)
		_, _, ok := p.StartTransfer(0, 4, 0)
		Expect(ok).To(BeTrue())
		_, _, ok = p.StartTransfer(0, 4, 0)
		Expect(ok).To(BeFalse())
	})

	It("asks nobody for what is held", func() {
		p := newPlan(1)
		p.RecordAnnouncement(0, "a", true, 5)
		_, _, ok := p.StartTransfer(0, 5, 0)
		Expect(ok).To(BeFalse())
		Expect(p.IsBehind()).To(BeFalse())
	})

	It("leaves the other parts of the fleet alone while its own may have it", func() {
		p := newPlan(1)
		p.RecordAnnouncement(0, "far", false, 5)
		_, _, ok := p.StartTransfer(0, 4, 0)
		Expect(ok).To(BeFalse())
		p.RecordAnnouncement(0, "near", true, 5)
		peer, _, ok := p.StartTransfer(second, 4, 0)
		Expect(ok).To(BeTrue())
		Expect(peer).To(Equal("near"))
	})

	// The readers of a whole data centre are cut off from the store, and nobody
	// there has the configuration. Its hosts would deny new routes for as long
	// as the cut lasts.
	It("goes to another part when its own has nobody", func() {
		p := newPlan(1)
		p.RecordAnnouncement(0, "far", false, 5)
		peer, _, ok := p.StartTransfer(second, 4, 0)
		Expect(ok).To(BeTrue())
		Expect(peer).To(Equal("far"))
	})

	// Guards against hosts that get no news while newer ones keep being announced.
	It("goes to another part in time, however often something newer is announced", func() {
		p := newPlan(1)
		for now := time.Duration(0); now < second; now += second / 10 {
			p.RecordAnnouncement(now, "far", false, uint64(5+now/second))
			if _, _, ok := p.StartTransfer(now, 4, 0); ok {
				Expect(now).To(BeNumerically(">=", fetch.DefaultConfig().FarAfter))
				return
			}
			p.RecordAnnouncement(now, "far", false, uint64(5+10*now/second))
		}
		Fail("nobody was asked within a second")
	})

	// Guards against a transfer's timeout spent on a peer that stands still, while
	// the time for urgent news runs.
	It("asks those heard of lately before one that has fallen silent", func() {
		for seed := range uint64(50) {
			p := newPlan(seed)
			p.RecordAnnouncement(0, "silent", true, 5)
			p.RecordAnnouncement(second, "a", true, 5)
			peer, _, ok := p.StartTransfer(second, 4, 0)
			Expect(ok).To(BeTrue())
			Expect(peer).To(Equal("a"))
		}
	})

	It("waits anew for its own part once all was held", func() {
		p := newPlan(1)
		p.RecordAnnouncement(0, "far", false, 5)
		_, _, ok := p.StartTransfer(second, 5, 0)
		Expect(ok).To(BeFalse())
		p.RecordAnnouncement(second, "far", false, 6)
		_, _, ok = p.StartTransfer(second, 5, 0)
		Expect(ok).To(BeFalse())
	})

	// A peer falls silent in the middle of a transfer. A host that kept to it
	// would go on serving from an old configuration.
	It("goes to another peer after one that did not answer", func() {
		p := newPlan(1)
		p.RecordAnnouncement(0, "a", true, 5)
		first, _, _ := p.StartTransfer(0, 4, 0)
		p.FinishTransfer(second, first, fetch.Failed)
		_, _, ok := p.StartTransfer(second, 4, 0)
		Expect(ok).To(BeFalse())
		p.RecordAnnouncement(second, "b", true, 5)
		next, _, ok := p.StartTransfer(second, 4, 0)
		Expect(ok).To(BeTrue())
		Expect(next).To(Equal("b"))
	})

	// On a link that carries a document in three seconds, a bound of one would
	// begin it anew for ever.
	It("allows twice the time after each transfer that ran out of it", func() {
		p := newPlan(1)
		p.RecordAnnouncement(0, "a", true, 5)
		now, last := time.Duration(0), time.Duration(0)
		for range 6 {
			peer, timeout, ok := p.StartTransfer(now, 4, 0)
			Expect(ok).To(BeTrue())
			Expect(timeout).To(BeNumerically(">=", last))
			last = timeout
			p.FinishTransfer(now, peer, fetch.Failed)
			now += 10 * second
		}
		Expect(last).To(Equal(fetch.DefaultConfig().LastTimeout))
	})
})

// world plays the spread of one document.
type world struct {
	hosts []*playHost
	bytes int
	// crossed counts the transfers into each data centre from another.
	crossed []int
	draw    *rand.Rand
}

type playHost struct {
	name   string
	part   int
	rank   int
	plan   *fetch.PeerSelector
	giver  fetch.UploadLimiter
	has    bool
	arrive time.Duration
	from   string
	free   time.Duration
}

const (
	linkBytes = 10_000_000 / 8
	// askEvery is how often a host asks a reader for news.
	askEvery = 200 * time.Millisecond
	step     = 10 * time.Millisecond
)

func newWorld(hosts, parts, size int, holders func(i int) bool) *world {
	w := &world{bytes: size, crossed: make([]int, parts), draw: rand.New(rand.NewPCG(7, 7))}
	for i := range hosts {
		w.hosts = append(w.hosts, &playHost{
			name: fmt.Sprint("h-", i), part: i % parts, rank: i / parts, plan: newPlan(uint64(i)), has: holders(i), arrive: -1,
		})
	}
	return w
}

// play gives the time at which all hosts have the document.
func (w *world) play(limit time.Duration) time.Duration {
	byName := map[string]*playHost{}
	for _, h := range w.hosts {
		byName[h.name] = h
	}
	for now := time.Duration(0); now < limit; now += step {
		missing := 0
		for i, h := range w.hosts {
			if h.arrive >= 0 && now >= h.arrive {
				h.has, h.arrive = true, -1
				h.plan.FinishTransfer(now, h.from, fetch.Succeeded)
			}
			if h.has {
				continue
			}
			missing++
			if (now+time.Duration(i)*step)%askEvery == 0 {
				w.hear(now, h)
			}
			w.fetch(now, h, byName)
		}
		if missing == 0 {
			return now
		}
	}
	return limit
}

// hear has a host hear from its data centre's readers and from a few others.
func (w *world) hear(now time.Duration, h *playHost) {
	for _, other := range w.hosts {
		reader := other.part == h.part && other == w.hosts[h.part]
		if other.has && (reader || w.draw.IntN(len(w.hosts)) < 2) {
			h.plan.RecordAnnouncement(now, other.name, other.part == h.part, 1)
		}
	}
}

func (w *world) fetch(now time.Duration, h *playHost, byName map[string]*playHost) {
	peer, _, ok := h.plan.StartTransfer(now, 0, h.rank)
	if !ok {
		return
	}
	from := byName[peer]
	if !from.has {
		h.plan.FinishTransfer(now, peer, fetch.Busy)
		return
	}
	others, given := from.giver.Admit(now, h.name, w.bytes)
	if !given {
		for _, o := range others {
			h.plan.RecordAnnouncement(now, o, byName[o].part == h.part, 1)
		}
		h.plan.FinishTransfer(now, peer, fetch.Busy)
		return
	}
	from.free = max(from.free, now) + time.Duration(w.bytes)*second/linkBytes
	h.arrive, h.from = from.free+5*time.Millisecond, peer
	if from.part != h.part {
		w.crossed[h.part]++
	}
}

// Operators add some fourteen hundred routes, 100 KB when compressed, and one
// host in each data centre reads them. Callers of the new routes are refused by
// every host that has not got them within the promised time.
var _ = Describe("a large configuration", func() {
	const size, within = 100 << 10, 2 * second

	DescribeTable("is everywhere in time, and stays within data centres", func(hosts, parts int) {
		w := newWorld(hosts, parts, size, func(i int) bool { return i < parts })
		Expect(w.play(10 * second)).To(BeNumerically("<", within))
		for _, n := range w.crossed {
			Expect(n).To(BeZero())
		}
	},
		Entry("25 hosts", 25, 5), Entry("195 hosts", 195, 5), Entry("330 hosts of one data centre", 330, 1))

	// One data centre is cut off from the store as a whole; the others read it.
	It("comes into a data centre without readers once or twice", func() {
		w := newWorld(195, 5, size, func(i int) bool { return i < 4 })
		Expect(w.play(10 * second)).To(BeNumerically("<", 2*within))
		Expect(w.crossed[4]).To(BeNumerically("<=", 2))
	})
})
