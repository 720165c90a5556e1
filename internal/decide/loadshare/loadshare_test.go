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
	It("come to every host by way of others, and each is told once", func() {
		a, b, c := loadshare.New("a", 1), loadshare.New("b", 1), loadshare.New("c", 1)
		a.SetOwn(0, "e-1", load(2, 7000))
		b.SetOwn(0, "e-1", load(1, 3000))
		b.Take(0, "a", a.News(0, "b"))
		c.Take(0, "b", b.News(0, "c"))
		Expect(c.Sums(0)["e-1"].Others).To(Equal(load(3, 10000)))
		Expect(b.News(0, "c")).To(BeEmpty())
		Expect(c.News(0, "b")).To(BeEmpty())
	})

	// A host dies with its requests. If its counts stood for ever, the engines
	// that it used would be passed over by everyone.
	It("of a host that is gone end, of one that lives they stand", func() {
		a, b := loadshare.New("a", 1), loadshare.New("b", 1)
		a.SetOwn(0, "e-1", load(1, 3000))
		b.Take(0, "a", a.News(0, "b"))
		for now := time.Duration(0); now < 20*time.Second; now += time.Second {
			b.Take(now, "a", a.News(now, "b"))
			Expect(b.Sums(now)["e-1"].Others).To(Equal(load(1, 3000)))
		}
		Expect(b.Sums(40 * time.Second)["e-1"].Others).To(Equal(load(0, 0)))
	})

	// A process is replaced on a host whose clock went back. Its counts carry
	// lower versions than its predecessor's, and the old ones would win.
	It("of a replaced process overrule its predecessor's, also when the clock went back", func() {
		old, b := loadshare.New("a", 1000), loadshare.New("b", 1)
		old.SetOwn(0, "e-1", load(5, 9000))
		b.Take(0, "a", old.News(0, "b"))
		replaced := loadshare.New("a", 10)
		replaced.SetOwn(0, "e-1", load(1, 3000))
		replaced.Take(0, "b", b.News(0, "a"))
		b.Take(0, "a", replaced.News(0, "b"))
		Expect(b.Sums(0)["e-1"].Others.Running).To(BeNumerically(">=", 1))
		echo := loadshare.New("c", 1)
		echo.Take(0, "b", b.News(0, "c"))
		replaced.Take(0, "c", echo.News(0, "a2"))
		b.Take(0, "a", replaced.News(0, "b"))
		Expect(b.Sums(0)["e-1"].Others).To(Equal(load(1, 3000)))
	})

	It("never come back in an older version", func() {
		a, b := loadshare.New("a", 1), loadshare.New("b", 1)
		a.SetOwn(0, "e-1", load(4, 0))
		before := a.News(0, "b")
		a.SetOwn(0, "e-1", load(1, 0))
		b.Take(0, "a", a.News(0, "b"))
		b.Take(0, "a", before)
		Expect(b.Sums(0)["e-1"].Others).To(Equal(load(1, 0)))
	})

	// A host meets more peers over its life than it tells apart. One that is
	// taken for another would never be told what it lacks.
	It("reach a peer that takes an older one's place, and that one when it is back", func() {
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

	It("that come by two ways are not told back by either", func() {
		a, b := loadshare.New("a", 1), loadshare.New("b", 1)
		a.SetOwn(0, "e-1", load(1, 3000))
		counts := a.News(0, "b")
		b.Take(0, "a", counts)
		b.Take(0, "c", counts)
		Expect(b.News(0, "c")).To(BeEmpty())
		Expect(b.News(0, "d")).To(HaveLen(1))
	})

	It("that change are not told again for their age alone", func() {
		a := loadshare.New("a", 1)
		a.SetOwn(0, "e-1", load(1, 3000))
		a.SetOwn(1500*time.Millisecond, "e-1", load(2, 6000))
		Expect(a.News(1500*time.Millisecond, "b")).To(HaveLen(1))
		Expect(a.News(2500*time.Millisecond, "b")).To(BeEmpty())
		Expect(a.News(4500*time.Millisecond, "b")).To(HaveLen(1))
	})
})

var _ = Describe("counts that go to owners alone", func() {
	It("are told when they change, and again while something runs", func() {
		a := loadshare.New("a", 1)
		a.SetOwn(0, "e-1", load(1, 3000))
		Expect(a.OwnNews(0)).To(HaveLen(1))
		Expect(a.OwnNews(0)).To(BeEmpty())
		Expect(a.OwnNews(loadshare.RefreshEvery)).To(HaveLen(1))
		a.SetOwn(loadshare.RefreshEvery, "e-1", load(0, 0))
		Expect(a.OwnNews(loadshare.RefreshEvery)).To(HaveLen(1))
		Expect(a.OwnNews(2 * loadshare.RefreshEvery)).To(BeEmpty())
	})

	// Hundreds of hosts ask about an engine and have nothing there. If the owner
	// kept and told that, its answers would outgrow a datagram, and hosts would
	// choose without any.
	It("say nothing of hosts that only asked", func() {
		owner := loadshare.New("owner", 1)
		for i := range 200 {
			owner.Take(0, "", []loadshare.Count{{Host: fmt.Sprint("h-", i), Target: "e-1"}})
		}
		owner.Take(0, "", []loadshare.Count{{Host: "a", Target: "e-1", Version: 3, Load: load(1, 3000)}})
		Expect(owner.Of(0, "e-1")).To(HaveLen(1))
		owner.Take(0, "", []loadshare.Count{{Host: "a", Target: "e-1", Version: 4}})
		Expect(owner.Of(0, "e-1")).To(BeEmpty())
	})

	// A generation of another host ended since this host last asked. If its count
	// stood on here, an engine with room would be passed over for seconds.
	It("end with the owner's word that they have ended", func() {
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
