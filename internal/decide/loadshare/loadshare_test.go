package loadshare_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/loadshare"
)

func TestLoadshare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loadshare")
}

func load(running, tokens int) loadshare.Load {
	return loadshare.Load{Running: running, Tokens: tokens}
}

var _ = Describe("counts", func() {
	It("reach every host through others, each only once", func() {
		a, b, c := loadshare.New("a", 1), loadshare.New("b", 1), loadshare.New("c", 1)
		a.SetOwn(0, "e-1", load(2, 7000))
		b.SetOwn(0, "e-1", load(1, 3000))
		b.Take(0, "a", a.News(0, "b"))
		c.Take(0, "b", b.News(0, "c"))
		Expect(c.Sums(0)["e-1"].Others).To(Equal(load(3, 10000)))
		Expect(b.News(0, "c")).To(BeEmpty())
		Expect(c.News(0, "b")).To(BeEmpty())
	})

	// A failed host loses its requests. If its counts stayed, all other hosts
	// would avoid the engines that it used.
	It("expire for a failed host and stay for a live one", func() {
		a, b := loadshare.New("a", 1), loadshare.New("b", 1)
		a.SetOwn(0, "e-1", load(1, 3000))
		b.Take(0, "a", a.News(0, "b"))
		for now := time.Duration(0); now < 20*time.Second; now += time.Second {
			b.Take(now, "a", a.News(now, "b"))
			Expect(b.Sums(now)["e-1"].Others).To(Equal(load(1, 3000)))
		}
		Expect(b.Sums(40 * time.Second)["e-1"].Others).To(Equal(load(0, 0)))
	})

	// A process is restarted on a host whose clock was set back. Its counts carry
	// lower versions than those of the earlier process, which would take
	// precedence.
	It("of a restarted process supersede the earlier ones, even if the clock was set back", func() {
		old, b := loadshare.New("a", 1000), loadshare.New("b", 1)
		old.SetOwn(0, "e-1", load(5, 9000))
		b.Take(0, "a", old.News(0, "b"))
		restarted := loadshare.New("a", 10)
		restarted.SetOwn(0, "e-1", load(1, 3000))
		restarted.Take(0, "b", b.News(0, "a"))
		b.Take(0, "a", restarted.News(0, "b"))
		Expect(b.Sums(0)["e-1"].Others.Running).To(BeNumerically(">=", 1))
		relay := loadshare.New("c", 1)
		relay.Take(0, "b", b.News(0, "c"))
		restarted.Take(0, "c", relay.News(0, "a2"))
		b.Take(0, "a", restarted.News(0, "b"))
		Expect(b.Sums(0)["e-1"].Others).To(Equal(load(1, 3000)))
	})

	It("are not replaced by an older version", func() {
		a, b := loadshare.New("a", 1), loadshare.New("b", 1)
		a.SetOwn(0, "e-1", load(4, 0))
		stale := a.News(0, "b")
		a.SetOwn(0, "e-1", load(1, 0))
		b.Take(0, "a", a.News(0, "b"))
		b.Take(0, "a", stale)
		Expect(b.Sums(0)["e-1"].Others).To(Equal(load(1, 0)))
	})

	// A host meets more peers over time than it can track. If a new peer were
	// mistaken for an earlier one, it would never receive the counts that it
	// lacks.
	It("reach a peer that reuses another one's bit, and the other one when it returns", func() {
		a := loadshare.New("a", 1)
		a.SetOwn(0, "e-1", load(1, 3000))
		for i := range 64 {
			Expect(a.News(0, fmt.Sprint("old-", i))).To(HaveLen(1))
		}
		Expect(a.News(0, "new")).To(HaveLen(1))
		Expect(a.News(0, "new")).To(BeEmpty())
		Expect(a.News(0, "old-63")).To(BeEmpty())
		Expect(a.News(0, "old-0")).To(HaveLen(1))
	})

	It("received from two peers are not sent back to either", func() {
		a, b := loadshare.New("a", 1), loadshare.New("b", 1)
		a.SetOwn(0, "e-1", load(1, 3000))
		counts := a.News(0, "b")
		b.Take(0, "a", counts)
		b.Take(0, "c", counts)
		Expect(b.News(0, "c")).To(BeEmpty())
		Expect(b.News(0, "d")).To(HaveLen(1))
	})

	It("that changed recently are not resent because of an earlier refresh", func() {
		a := loadshare.New("a", 1)
		a.SetOwn(0, "e-1", load(1, 3000))
		a.SetOwn(1500*time.Millisecond, "e-1", load(2, 6000))
		Expect(a.News(1500*time.Millisecond, "b")).To(HaveLen(1))
		Expect(a.News(2500*time.Millisecond, "b")).To(BeEmpty())
		Expect(a.News(4500*time.Millisecond, "b")).To(HaveLen(1))
	})
})

var _ = Describe("counts sent to owners only", func() {
	It("are sent when they change, and resent while requests are running", func() {
		a := loadshare.New("a", 1)
		a.SetOwn(0, "e-1", load(1, 3000))
		Expect(a.OwnNews(0)).To(HaveLen(1))
		Expect(a.OwnNews(0)).To(BeEmpty())
		Expect(a.OwnNews(loadshare.RefreshInterval)).To(HaveLen(1))
		a.SetOwn(loadshare.RefreshInterval, "e-1", load(0, 0))
		Expect(a.OwnNews(loadshare.RefreshInterval)).To(HaveLen(1))
		Expect(a.OwnNews(2 * loadshare.RefreshInterval)).To(BeEmpty())
	})

	// Hundreds of hosts query an engine on which they run nothing. If the owner
	// kept and returned their empty counts, its answers would not fit a datagram,
	// and hosts would choose without an answer.
	It("leave out hosts that only queried the target", func() {
		owner := loadshare.New("owner", 1)
		for i := range 200 {
			owner.Take(0, "", []loadshare.Count{{Host: fmt.Sprint("h-", i), Target: "e-1"}})
		}
		owner.Take(0, "", []loadshare.Count{{Host: "a", Target: "e-1", Version: 3, Load: load(1, 3000)}})
		Expect(owner.Of(0, "e-1")).To(HaveLen(1))
		owner.Take(0, "", []loadshare.Count{{Host: "a", Target: "e-1", Version: 4}})
		Expect(owner.Of(0, "e-1")).To(BeEmpty())
	})

	// A generation of another host ended since this host's last query. If its
	// count stayed, an engine with free capacity would be avoided for seconds.
	It("are removed when they are missing from the owner's answer", func() {
		owner, b := loadshare.New("owner", 1), loadshare.New("b", 1)
		a := loadshare.New("a", 1)
		a.SetOwn(0, "e-1", load(1, 3000))
		a.SetOwn(0, "e-2", load(1, 3000))
		owner.Take(0, "", a.OwnNews(0))
		b.TakeAll(0, "e-1", owner.Of(0, "e-1"))
		b.TakeAll(0, "e-2", owner.Of(0, "e-2"))
		Expect(b.Sums(0)["e-1"].Others).To(Equal(load(1, 3000)))
		b.TakeAll(0, "e-1", nil)
		Expect(b.Sums(0)["e-1"].Others).To(Equal(load(0, 0)))
		Expect(b.Sums(0)["e-2"].Others).To(Equal(load(1, 3000)))
	})
})
