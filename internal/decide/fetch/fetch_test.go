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

func newSelector(seed uint64) *fetch.PeerSelector {
	return fetch.NewPeerSelector(fetch.DefaultConfig(), rand.New(rand.NewPCG(seed, 1)))
}

const second = time.Second

// version returns what a host holds that has a version of the configuration.
func version(number uint64) fetch.Holding { return fetch.Holding{Config: number} }

var _ = Describe("the choice of a peer to fetch from", func() {
	It("fetches a newer revision from one peer at a time", func() {
		p := newSelector(1)
		p.RecordAnnouncement(0, "a", true, version(5))
		p.RecordAnnouncement(0, "b", true, version(5))
		_, _, ok := p.StartTransfer(0, version(4), 0)
		Expect(ok).To(BeTrue())
		_, _, ok = p.StartTransfer(0, version(4), 0)
		Expect(ok).To(BeFalse())
	})

	It("asks no peer for a revision that the host holds", func() {
		p := newSelector(1)
		p.RecordAnnouncement(0, "a", true, version(5))
		_, _, ok := p.StartTransfer(0, version(5), 0)
		Expect(ok).To(BeFalse())
		Expect(p.IsBehind()).To(BeFalse())
	})

	It("does not ask other parts of the fleet while its own may have the document", func() {
		p := newSelector(1)
		p.RecordAnnouncement(0, "far", false, version(5))
		_, _, ok := p.StartTransfer(0, version(4), 0)
		Expect(ok).To(BeFalse())
		p.RecordAnnouncement(0, "near", true, version(5))
		peer, _, ok := p.StartTransfer(second, version(4), 0)
		Expect(ok).To(BeTrue())
		Expect(peer).To(Equal("near"))
	})

	// The readers of a whole data centre are cut off from the store, and no
	// host there has the configuration. They would deny new routes for as long
	// as that lasts.
	It("asks another part if no host of its own has the document", func() {
		p := newSelector(1)
		p.RecordAnnouncement(0, "far", false, version(5))
		peer, _, ok := p.StartTransfer(second, version(4), 0)
		Expect(ok).To(BeTrue())
		Expect(peer).To(Equal("far"))
	})

	// Guards against hosts that get no update while newer ones keep being
	// announced.
	It("asks another part in time, however often newer revisions are announced", func() {
		p := newSelector(1)
		for now := time.Duration(0); now < second; now += second / 10 {
			p.RecordAnnouncement(now, "far", false, version(uint64(5+now/second)))
			if _, _, ok := p.StartTransfer(now, version(4), 0); ok {
				Expect(now).To(BeNumerically(">=", fetch.DefaultConfig().RemoteDelay))
				return
			}
			p.RecordAnnouncement(now, "far", false, version(uint64(5+10*now/second)))
		}
		Fail("no peer was asked within a second")
	})

	// Guards against a transfer's timeout spent on a paused peer, while the
	// time for an urgent update runs out.
	It("prefers peers with recent announcements to one that has stopped sending them", func() {
		for seed := range uint64(50) {
			p := newSelector(seed)
			p.RecordAnnouncement(0, "silent", true, version(5))
			p.RecordAnnouncement(second, "a", true, version(5))
			peer, _, ok := p.StartTransfer(second, version(4), 0)
			Expect(ok).To(BeTrue())
			Expect(peer).To(Equal("a"))
		}
	})

	It("waits for its own part again once the host was up to date", func() {
		p := newSelector(1)
		p.RecordAnnouncement(0, "far", false, version(5))
		_, _, ok := p.StartTransfer(second, version(5), 0)
		Expect(ok).To(BeFalse())
		p.RecordAnnouncement(second, "far", false, version(6))
		_, _, ok = p.StartTransfer(second, version(5), 0)
		Expect(ok).To(BeFalse())
	})

	// A peer stops answering in the middle of a transfer. A host that stayed
	// with it would continue to serve from an old configuration.
	It("asks another peer after one that did not answer", func() {
		p := newSelector(1)
		p.RecordAnnouncement(0, "a", true, version(5))
		first, _, _ := p.StartTransfer(0, version(4), 0)
		p.FinishTransfer(second, first, fetch.OutcomeFailed)
		_, _, ok := p.StartTransfer(second, version(4), 0)
		Expect(ok).To(BeFalse())
		p.RecordAnnouncement(second, "b", true, version(5))
		next, _, ok := p.StartTransfer(second, version(4), 0)
		Expect(ok).To(BeTrue())
		Expect(next).To(Equal("b"))
	})

	// On a link that carries a document in three seconds, a fixed timeout of
	// one second would restart the transfer without end.
	It("doubles the timeout after each failed transfer", func() {
		p := newSelector(1)
		p.RecordAnnouncement(0, "a", true, version(5))
		now, last := time.Duration(0), time.Duration(0)
		for range 6 {
			peer, timeout, ok := p.StartTransfer(now, version(4), 0)
			Expect(ok).To(BeTrue())
			Expect(timeout).To(BeNumerically(">=", last))
			last = timeout
			p.FinishTransfer(now, peer, fetch.OutcomeFailed)
			now += 10 * second
		}
		Expect(last).To(Equal(fetch.DefaultConfig().MaxTimeout))
	})
})

// simulation models the distribution of one document.
type simulation struct {
	hosts         []*simulatedHost
	documentBytes int
	// remoteTransfers counts the transfers into each data centre from another.
	remoteTransfers []int
	rng             *rand.Rand
}

type simulatedHost struct {
	name        string
	dataCentre  int
	rank        int
	selector    *fetch.PeerSelector
	uploads     fetch.UploadLimiter
	hasDocument bool
	arrivesAt   time.Duration
	source      string
	linkFreeAt  time.Duration
}

const (
	linkBytesPerSecond = 10_000_000 / 8
	// pollInterval is how often a host asks a reader for updates.
	pollInterval = 200 * time.Millisecond
	stepInterval = 10 * time.Millisecond
)

func newSimulation(hosts, dataCentres, size int, holders func(i int) bool) *simulation {
	s := &simulation{documentBytes: size, remoteTransfers: make([]int, dataCentres), rng: rand.New(rand.NewPCG(7, 7))}
	for i := range hosts {
		s.hosts = append(s.hosts, &simulatedHost{
			name: fmt.Sprint("h-", i), dataCentre: i % dataCentres, rank: i / dataCentres, selector: newSelector(uint64(i)), hasDocument: holders(i), arrivesAt: -1,
		})
	}
	return s
}

// run returns the simulated time at which all hosts have the document.
func (s *simulation) run(limit time.Duration) time.Duration {
	byName := map[string]*simulatedHost{}
	for _, h := range s.hosts {
		byName[h.name] = h
	}
	for now := time.Duration(0); now < limit; now += stepInterval {
		missing := 0
		for i, h := range s.hosts {
			if h.arrivesAt >= 0 && now >= h.arrivesAt {
				h.hasDocument, h.arrivesAt = true, -1
				h.selector.FinishTransfer(now, h.source, fetch.OutcomeSucceeded)
			}
			if h.hasDocument {
				continue
			}
			missing++
			if (now+time.Duration(i)*stepInterval)%pollInterval == 0 {
				s.announce(now, h)
			}
			s.startTransfer(now, h, byName)
		}
		if missing == 0 {
			return now
		}
	}
	return limit
}

// announce gives a host the announcements of its data centre's reader and of a
// few other hosts.
func (s *simulation) announce(now time.Duration, h *simulatedHost) {
	for _, other := range s.hosts {
		reader := other.dataCentre == h.dataCentre && other == s.hosts[h.dataCentre]
		if other.hasDocument && (reader || s.rng.IntN(len(s.hosts)) < 2) {
			h.selector.RecordAnnouncement(now, other.name, other.dataCentre == h.dataCentre, version(1))
		}
	}
}

func (s *simulation) startTransfer(now time.Duration, h *simulatedHost, byName map[string]*simulatedHost) {
	peer, _, ok := h.selector.StartTransfer(now, version(0), h.rank)
	if !ok {
		return
	}
	source := byName[peer]
	if !source.hasDocument {
		h.selector.FinishTransfer(now, peer, fetch.OutcomeBusy)
		return
	}
	others, admitted := source.uploads.Admit(now, h.name, s.documentBytes)
	if !admitted {
		for _, o := range others {
			h.selector.RecordAnnouncement(now, o, byName[o].dataCentre == h.dataCentre, version(1))
		}
		h.selector.FinishTransfer(now, peer, fetch.OutcomeBusy)
		return
	}
	source.linkFreeAt = max(source.linkFreeAt, now) + time.Duration(s.documentBytes)*second/linkBytesPerSecond
	h.arrivesAt, h.source = source.linkFreeAt+5*time.Millisecond, peer
	if source.dataCentre != h.dataCentre {
		s.remoteTransfers[h.dataCentre]++
	}
}

// Operators add about 1,400 routes, 100 KB when compressed, and one host in each
// data centre reads them from the store. A host that does not have them within
// two seconds refuses the callers of the new routes.
var _ = Describe("the distribution of a large configuration", func() {
	const documentBytes, timeLimit = 100 << 10, 2 * second

	DescribeTable("reaches all hosts in time without transfers between data centres", func(hosts, dataCentres int) {
		sim := newSimulation(hosts, dataCentres, documentBytes, func(i int) bool { return i < dataCentres })
		Expect(sim.run(10 * second)).To(BeNumerically("<", timeLimit))
		for _, n := range sim.remoteTransfers {
			Expect(n).To(BeZero())
		}
	},
		Entry("25 hosts", 25, 5), Entry("195 hosts", 195, 5), Entry("330 hosts of one data centre", 330, 1))

	// One data centre is cut off from the store as a whole; the others read it.
	It("needs at most two transfers into a data centre without readers", func() {
		sim := newSimulation(195, 5, documentBytes, func(i int) bool { return i < 4 })
		Expect(sim.run(10 * second)).To(BeNumerically("<", 2*timeLimit))
		Expect(sim.remoteTransfers[4]).To(BeNumerically("<=", 2))
	})
})
