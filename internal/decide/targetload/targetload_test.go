package targetload_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/targetload"
)

func TestLoadshare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loadshare")
}

func load(running, tokens int) targetload.Load {
	return targetload.Load{Running: running, ReservedTokens: tokens}
}

var _ = Describe("counts", func() {
	It("come to every host by way of others, and each is told once", func() {
		a, b, c := targetload.New("a", 1), targetload.New("b", 1), targetload.New("c", 1)
		a.SetLocalLoad(0, "e-1", load(2, 7000))
		b.SetLocalLoad(0, "e-1", load(1, 3000))
		b.Merge(0, "a", a.PeerUpdates(0, "b"))
		c.Merge(0, "b", b.PeerUpdates(0, "c"))
		Expect(c.Totals(0)["e-1"].Others).To(Equal(load(3, 10000)))
		Expect(b.PeerUpdates(0, "c")).To(BeEmpty())
		Expect(c.PeerUpdates(0, "b")).To(BeEmpty())
	})

	// A host dies with its requests. If its counts stood for ever, the engines
	// that it used would be passed over by everyone.
	It("of a host that is gone end, of one that lives they stand", func() {
		a, b := targetload.New("a", 1), targetload.New("b", 1)
		a.SetLocalLoad(0, "e-1", load(1, 3000))
		b.Merge(0, "a", a.PeerUpdates(0, "b"))
		for now := time.Duration(0); now < 20*time.Second; now += time.Second {
			b.Merge(now, "a", a.PeerUpdates(now, "b"))
			Expect(b.Totals(now)["e-1"].Others).To(Equal(load(1, 3000)))
		}
		Expect(b.Totals(40 * time.Second)["e-1"].Others).To(Equal(load(0, 0)))
	})

	// A process is replaced on a host whose clock went back. Its counts carry
	// lower versions than its predecessor's, and the old ones would win.
	It("of a replaced process overrule its predecessor's, also when the clock went back", func() {
		old, b := targetload.New("a", 1000), targetload.New("b", 1)
		old.SetLocalLoad(0, "e-1", load(5, 9000))
		b.Merge(0, "a", old.PeerUpdates(0, "b"))
		replaced := targetload.New("a", 10)
		replaced.SetLocalLoad(0, "e-1", load(1, 3000))
		replaced.Merge(0, "b", b.PeerUpdates(0, "a"))
		b.Merge(0, "a", replaced.PeerUpdates(0, "b"))
		Expect(b.Totals(0)["e-1"].Others.Running).To(BeNumerically(">=", 1))
		echo := targetload.New("c", 1)
		echo.Merge(0, "b", b.PeerUpdates(0, "c"))
		replaced.Merge(0, "c", echo.PeerUpdates(0, "a2"))
		b.Merge(0, "a", replaced.PeerUpdates(0, "b"))
		Expect(b.Totals(0)["e-1"].Others).To(Equal(load(1, 3000)))
	})

	It("never come back in an older version", func() {
		a, b := targetload.New("a", 1), targetload.New("b", 1)
		a.SetLocalLoad(0, "e-1", load(4, 0))
		before := a.PeerUpdates(0, "b")
		a.SetLocalLoad(0, "e-1", load(1, 0))
		b.Merge(0, "a", a.PeerUpdates(0, "b"))
		b.Merge(0, "a", before)
		Expect(b.Totals(0)["e-1"].Others).To(Equal(load(1, 0)))
	})

	// A host meets more peers over its life than it tells apart. One that is
	// taken for another would never be told what it lacks.
	It("reach a peer that takes an older one's place, and that one when it is back", func() {
		a := targetload.New("a", 1)
		a.SetLocalLoad(0, "e-1", load(1, 3000))
		for i := range 64 {
			Expect(a.PeerUpdates(0, fmt.Sprint("old-", i))).To(HaveLen(1))
		}
		Expect(a.PeerUpdates(0, "new")).To(HaveLen(1))
		Expect(a.PeerUpdates(0, "new")).To(BeEmpty())
		Expect(a.PeerUpdates(0, "old-63")).To(BeEmpty())
		Expect(a.PeerUpdates(0, "old-0")).To(HaveLen(1))
	})

	It("that come by two ways are not told back by either", func() {
		a, b := targetload.New("a", 1), targetload.New("b", 1)
		a.SetLocalLoad(0, "e-1", load(1, 3000))
		counts := a.PeerUpdates(0, "b")
		b.Merge(0, "a", counts)
		b.Merge(0, "c", counts)
		Expect(b.PeerUpdates(0, "c")).To(BeEmpty())
		Expect(b.PeerUpdates(0, "d")).To(HaveLen(1))
	})

	It("that change are not told again for their age alone", func() {
		a := targetload.New("a", 1)
		a.SetLocalLoad(0, "e-1", load(1, 3000))
		a.SetLocalLoad(1500*time.Millisecond, "e-1", load(2, 6000))
		Expect(a.PeerUpdates(1500*time.Millisecond, "b")).To(HaveLen(1))
		Expect(a.PeerUpdates(2500*time.Millisecond, "b")).To(BeEmpty())
		Expect(a.PeerUpdates(4500*time.Millisecond, "b")).To(HaveLen(1))
	})
})

var _ = Describe("counts that go to owners alone", func() {
	It("are told when they change, and again while something runs", func() {
		a := targetload.New("a", 1)
		a.SetLocalLoad(0, "e-1", load(1, 3000))
		Expect(a.OwnerUpdates(0)).To(HaveLen(1))
		Expect(a.OwnerUpdates(0)).To(BeEmpty())
		Expect(a.OwnerUpdates(targetload.RefreshEvery)).To(HaveLen(1))
		a.SetLocalLoad(targetload.RefreshEvery, "e-1", load(0, 0))
		Expect(a.OwnerUpdates(targetload.RefreshEvery)).To(HaveLen(1))
		Expect(a.OwnerUpdates(2 * targetload.RefreshEvery)).To(BeEmpty())
	})

	// Hundreds of hosts ask about an engine and have nothing there. If the owner
	// kept and told that, its answers would outgrow a datagram, and hosts would
	// choose without any.
	It("say nothing of hosts that only asked", func() {
		owner := targetload.New("owner", 1)
		for i := range 200 {
			owner.Merge(0, "", []targetload.HostLoad{{Host: fmt.Sprint("h-", i), Target: "e-1"}})
		}
		owner.Merge(0, "", []targetload.HostLoad{{Host: "a", Target: "e-1", Version: 3, Load: load(1, 3000)}})
		Expect(owner.ForTarget(0, "e-1")).To(HaveLen(1))
		owner.Merge(0, "", []targetload.HostLoad{{Host: "a", Target: "e-1", Version: 4}})
		Expect(owner.ForTarget(0, "e-1")).To(BeEmpty())
	})

	// A generation of another host ended since this host last asked. If its count
	// stood on here, an engine with room would be passed over for seconds.
	It("end with the owner's word that they have ended", func() {
		owner, b := targetload.New("owner", 1), targetload.New("b", 1)
		a := targetload.New("a", 1)
		a.SetLocalLoad(0, "e-1", load(1, 3000))
		a.SetLocalLoad(0, "e-2", load(1, 3000))
		owner.Merge(0, "", a.OwnerUpdates(0))
		b.ReplaceTarget(0, "e-1", owner.ForTarget(0, "e-1"))
		b.ReplaceTarget(0, "e-2", owner.ForTarget(0, "e-2"))
		Expect(b.Totals(0)["e-1"].Others).To(Equal(load(1, 3000)))
		b.ReplaceTarget(0, "e-1", nil)
		Expect(b.Totals(0)["e-1"].Others).To(Equal(load(0, 0)))
		Expect(b.Totals(0)["e-2"].Others).To(Equal(load(1, 3000)))
	})
})
