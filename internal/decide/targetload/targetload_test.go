package targetload_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/targetload"
)

func TestTargetLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "targetload")
}

func load(running, tokens int) targetload.Load {
	return targetload.Load{Running: running, ReservedTokens: tokens}
}

var _ = Describe("counts", func() {
	It("reach every host through others, each only once", func() {
		a, b, c := targetload.New("a", 1), targetload.New("b", 1), targetload.New("c", 1)
		a.SetLocalLoad(0, "e-1", load(2, 7000))
		b.SetLocalLoad(0, "e-1", load(1, 3000))
		b.Merge(0, "a", a.PeerUpdates(0, "b"))
		c.Merge(0, "b", b.PeerUpdates(0, "c"))
		Expect(c.Total(0, "e-1").OtherHostsLoad).To(Equal(load(3, 10000)))
		Expect(b.PeerUpdates(0, "c")).To(BeEmpty())
		Expect(c.PeerUpdates(0, "b")).To(BeEmpty())
	})

	// A failed host loses its requests. If its counts stayed, all other hosts
	// would avoid the engines that it used.
	It("expire for a failed host and stay for a live one", func() {
		a, b := targetload.New("a", 1), targetload.New("b", 1)
		a.SetLocalLoad(0, "e-1", load(1, 3000))
		b.Merge(0, "a", a.PeerUpdates(0, "b"))
		for now := time.Duration(0); now < 20*time.Second; now += time.Second {
			b.Merge(now, "a", a.PeerUpdates(now, "b"))
			Expect(b.Total(now, "e-1").OtherHostsLoad).To(Equal(load(1, 3000)))
		}
		Expect(b.Total(40*time.Second, "e-1").OtherHostsLoad).To(Equal(load(0, 0)))
	})

	// A process is restarted on a host whose clock was set back. Its counts carry
	// lower versions than those of the earlier process, which would take
	// precedence.
	It("of a restarted process supersede the earlier ones, even if the clock was set back", func() {
		old, b := targetload.New("a", 1000), targetload.New("b", 1)
		old.SetLocalLoad(0, "e-1", load(5, 9000))
		b.Merge(0, "a", old.PeerUpdates(0, "b"))
		restarted := targetload.New("a", 10)
		restarted.SetLocalLoad(0, "e-1", load(1, 3000))
		restarted.Merge(0, "b", b.PeerUpdates(0, "a"))
		b.Merge(0, "a", restarted.PeerUpdates(0, "b"))
		Expect(b.Total(0, "e-1").OtherHostsLoad.Running).To(BeNumerically(">=", 1))
		relay := targetload.New("c", 1)
		relay.Merge(0, "b", b.PeerUpdates(0, "c"))
		restarted.Merge(0, "c", relay.PeerUpdates(0, "a2"))
		b.Merge(0, "a", restarted.PeerUpdates(0, "b"))
		Expect(b.Total(0, "e-1").OtherHostsLoad).To(Equal(load(1, 3000)))
	})

	It("are not replaced by an older version", func() {
		a, b := targetload.New("a", 1), targetload.New("b", 1)
		a.SetLocalLoad(0, "e-1", load(4, 0))
		stale := a.PeerUpdates(0, "b")
		a.SetLocalLoad(0, "e-1", load(1, 0))
		b.Merge(0, "a", a.PeerUpdates(0, "b"))
		b.Merge(0, "a", stale)
		Expect(b.Total(0, "e-1").OtherHostsLoad).To(Equal(load(1, 0)))
	})

	// A host meets more peers over time than it can track. If a new peer were
	// mistaken for an earlier one, it would never receive the counts that it
	// lacks.
	It("reach a peer that reuses another one's bit, and the other one when it returns", func() {
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

	It("received from two peers are not sent back to either", func() {
		a, b := targetload.New("a", 1), targetload.New("b", 1)
		a.SetLocalLoad(0, "e-1", load(1, 3000))
		counts := a.PeerUpdates(0, "b")
		b.Merge(0, "a", counts)
		b.Merge(0, "c", counts)
		Expect(b.PeerUpdates(0, "c")).To(BeEmpty())
		Expect(b.PeerUpdates(0, "d")).To(HaveLen(1))
	})

	It("that changed recently are not resent because of an earlier refresh", func() {
		a := targetload.New("a", 1)
		a.SetLocalLoad(0, "e-1", load(1, 3000))
		a.SetLocalLoad(1500*time.Millisecond, "e-1", load(2, 6000))
		Expect(a.PeerUpdates(1500*time.Millisecond, "b")).To(HaveLen(1))
		Expect(a.PeerUpdates(2500*time.Millisecond, "b")).To(BeEmpty())
		Expect(a.PeerUpdates(4500*time.Millisecond, "b")).To(HaveLen(1))
	})
})

var _ = Describe("counts sent to owners only", func() {
	It("are sent when they change, and resent while requests are running", func() {
		a := targetload.New("a", 1)
		a.SetLocalLoad(0, "e-1", load(1, 3000))
		Expect(a.OwnerUpdates(0)).To(HaveLen(1))
		Expect(a.OwnerUpdates(0)).To(BeEmpty())
		Expect(a.OwnerUpdates(targetload.RefreshInterval)).To(HaveLen(1))
		a.SetLocalLoad(targetload.RefreshInterval, "e-1", load(0, 0))
		Expect(a.OwnerUpdates(targetload.RefreshInterval)).To(HaveLen(1))
		Expect(a.OwnerUpdates(2 * targetload.RefreshInterval)).To(BeEmpty())
	})

	// Hundreds of hosts query an engine on which they run nothing. If the owner
	// kept and returned their empty counts, its answers would not fit a datagram,
	// and hosts would choose without an answer.
	It("leave out hosts that only queried the target", func() {
		owner := targetload.New("owner", 1)
		for i := range 200 {
			owner.Merge(0, "", []targetload.HostLoad{{Host: fmt.Sprint("h-", i), Target: "e-1"}})
		}
		owner.Merge(0, "", []targetload.HostLoad{{Host: "a", Target: "e-1", Version: 3, Load: load(1, 3000)}})
		Expect(owner.ForTarget(0, "e-1")).To(HaveLen(1))
		owner.Merge(0, "", []targetload.HostLoad{{Host: "a", Target: "e-1", Version: 4}})
		Expect(owner.ForTarget(0, "e-1")).To(BeEmpty())
	})

	// A generation of another host ended since this host's last query. If its
	// count stayed, an engine with free capacity would be avoided for seconds.
	It("are removed when they are missing from the owner's answer", func() {
		owner, b := targetload.New("owner", 1), targetload.New("b", 1)
		a := targetload.New("a", 1)
		a.SetLocalLoad(0, "e-1", load(1, 3000))
		a.SetLocalLoad(0, "e-2", load(1, 3000))
		owner.Merge(0, "", a.OwnerUpdates(0))
		b.ReplaceTarget(0, 0, "e-1", owner.ForTarget(0, "e-1"))
		b.ReplaceTarget(0, 0, "e-2", owner.ForTarget(0, "e-2"))
		Expect(b.Total(0, "e-1").OtherHostsLoad).To(Equal(load(1, 3000)))
		b.ReplaceTarget(0, 0, "e-1", nil)
		Expect(b.Total(0, "e-1").OtherHostsLoad).To(Equal(load(0, 0)))
		Expect(b.Total(0, "e-2").OtherHostsLoad).To(Equal(load(1, 3000)))
	})

	// An owner queries itself. Guards against counts that arrive between its answer and
	// the use of the answer, and that it then drops: its engine looks empty.
	It("are kept if they arrived after the question", func() {
		a, owner := targetload.New("a", 1), targetload.New("owner", 1)
		a.SetLocalLoad(0, "e-1", load(1, 3000))
		owner.Merge(2, "", a.OwnerUpdates(1))
		owner.ReplaceTarget(1, 3, "e-1", nil)
		Expect(owner.Total(3, "e-1").OtherHostsLoad).To(Equal(load(1, 3000)))
		owner.ReplaceTarget(2, 3, "e-1", nil)
		Expect(owner.Total(3, "e-1").OtherHostsLoad).To(Equal(load(0, 0)))
	})
})
