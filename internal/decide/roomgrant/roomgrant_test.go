package roomgrant_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/roomgrant"
	"filbertdeck/internal/decide/targetload"
)

func TestRoomGrant(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "roomgrant")
}

var _ = Describe("a ledger of grants", func() {
	engine := roomgrant.Engine{ID: "e-1", Slots: 24, MemoryTokens: 10_000}
	request := func(host string, tokens int) roomgrant.Request {
		return roomgrant.Request{Host: host, ID: 1, Version: 5, Tokens: tokens, PromptTokens: tokens, MemoryShare: 1, Priority: 2}
	}
	used := func(tokens int) []targetload.HostLoad {
		return []targetload.HostLoad{{Host: "x", Target: "e-1", Version: 1, Load: targetload.Load{Running: 1, ReservedTokens: tokens}}}
	}

	It("grants until memory, slots and unread prompts are used up", func() {
		l := roomgrant.New()
		Expect(l.Decide(0, engine, used(2000), request("a", 8001))).To(Equal(roomgrant.NoMemory))
		Expect(l.Decide(0, roomgrant.Engine{ID: "e-2", Slots: 1, MemoryTokens: 10_000}, used(2000), request("a", 1))).To(Equal(roomgrant.NoMemory))
		Expect(l.Decide(0, engine, used(2000), request("a", 4000))).To(Equal(roomgrant.Granted))
		limited := request("b", 3000)
		limited.LimitsUnread, limited.MaxUnreadTokens = true, 3999
		Expect(l.Decide(0, engine, used(2000), limited)).To(Equal(roomgrant.TooManyUnread))
		limited.MaxUnreadTokens = 4000
		Expect(l.Decide(0, engine, used(2000), limited)).To(Equal(roomgrant.Granted))
		Expect(l.Outstanding(0, "e-1")).To(Equal(targetload.Load{Running: 2, ReservedTokens: 7000, UnreadTokens: 7000}))
	})

	It("replaces a grant that is requested again", func() {
		l := roomgrant.New()
		for range 3 {
			Expect(l.Decide(0, engine, used(0), request("a", 6000))).To(Equal(roomgrant.Granted))
		}
		Expect(l.Outstanding(0, "e-1").Running).To(Equal(1))
	})

	It("ends a grant with newer counts of its host only", func() {
		l := roomgrant.New()
		l.Decide(0, engine, nil, request("a", 6000))
		l.Confirm("a", "e-1", 5)
		l.Confirm("b", "e-1", 9)
		l.Confirm("a", "e-2", 9)
		Expect(l.Outstanding(0, "e-1").Running).To(Equal(1))
		l.Confirm("a", "e-1", 6)
		Expect(l.Outstanding(0, "e-1")).To(BeZero())
	})

	// Guards against room that is held for a generation that has ended: its request arrives
	// after a newer count of its host, which is empty and thus not among the counts.
	It("does not grant a request that an empty count of its host has overtaken", func() {
		l := roomgrant.New()
		l.RememberIdle(0, "a", "e-1", 6)
		l.RememberIdle(0, "a", "e-1", 5)
		late := request("a", 6000)
		late.Priority = 0
		Expect(l.Decide(time.Millisecond, engine, nil, late)).To(Equal(roomgrant.Ended))
		Expect(l.Outstanding(time.Millisecond, "e-1")).To(BeZero())
		Expect(l.Decide(time.Millisecond, engine, used(5000), request("b", 4000))).To(Equal(roomgrant.Granted), "no room is kept for it")
		late.Version = 6
		Expect(l.Decide(time.Millisecond, engine, nil, late)).To(Equal(roomgrant.Granted))
	})

	It("remembers an empty count for as long as a grant lasts, of the host and the engine only", func() {
		for _, c := range []struct {
			at           time.Duration
			host, engine string
			want         roomgrant.Decision
		}{
			{roomgrant.GrantLifetime - 1, "a", "e-1", roomgrant.Ended},
			{roomgrant.GrantLifetime, "a", "e-1", roomgrant.Granted},
			{0, "b", "e-1", roomgrant.Granted},
			{0, "a", "e-2", roomgrant.Granted},
		} {
			l := roomgrant.New()
			l.RememberIdle(0, c.host, c.engine, 6)
			Expect(l.Decide(c.at, engine, nil, request("a", 6000))).To(Equal(c.want), fmt.Sprint(c))
			l.Expire(c.at + roomgrant.GrantLifetime)
			Expect(l.Size()).To(BeZero())
		}
	})

	// Guards against a late request that takes the place of the grant to a newer request for
	// the same generation.
	It("does not grant a request when a newer one for the same generation has arrived", func() {
		l := roomgrant.New()
		newer := request("a", 6000)
		newer.Version = 7
		Expect(l.Decide(0, engine, nil, newer)).To(Equal(roomgrant.Granted))
		Expect(l.Decide(0, engine, nil, request("a", 1000))).To(Equal(roomgrant.Ended))
		Expect(l.Outstanding(0, "e-1").ReservedTokens).To(Equal(6000))
	})

	// Guards against room that nobody can use: it is kept although both requests fit, or
	// although the request that goes first does not fit alone.
	It("keeps room only for a request that goes first and fits instead", func() {
		for _, c := range []struct {
			usedBefore, usedAfter, first, later int
			want                                roomgrant.Decision
		}{
			{9000, 0, 6000, 6000, roomgrant.KeptForOther},
			{9000, 0, 6000, 4000, roomgrant.Granted},
			{9000, 5000, 6000, 4000, roomgrant.Granted},
		} {
			l := roomgrant.New()
			first := request("a", c.first)
			first.Priority = 0
			Expect(l.Decide(0, engine, used(c.usedBefore), first)).To(Equal(roomgrant.NoMemory))
			Expect(l.Decide(time.Millisecond, engine, used(c.usedAfter), request("b", c.later))).To(Equal(c.want), fmt.Sprint(c))
		}
	})

	It("keeps no room for an equal request, nor for longer than a moment", func() {
		l := roomgrant.New()
		l.Decide(0, engine, used(9000), request("a", 6000))
		Expect(l.Decide(0, engine, used(0), request("b", 6000))).To(Equal(roomgrant.Granted))
		first := request("a", 6000)
		first.Move = true
		l = roomgrant.New()
		l.Decide(0, engine, used(9000), first)
		Expect(l.Decide(299*time.Millisecond, engine, used(0), request("b", 6000))).To(Equal(roomgrant.KeptForOther))
		Expect(l.Decide(300*time.Millisecond, engine, used(0), request("b", 6000))).To(Equal(roomgrant.Granted))
	})

	It("adds up the grants to a host, marked beside its own count", func() {
		l := roomgrant.New()
		first, second := request("a", 1000), request("a", 2000)
		second.ID, second.Version = 2, 7
		l.Decide(0, engine, nil, first)
		l.Decide(100*time.Millisecond, engine, nil, second)
		got := l.AddTo(200*time.Millisecond, "e-1", []targetload.HostLoad{{Host: "a", Target: "e-1", Version: 4, Load: targetload.Load{Running: 1, ReservedTokens: 500}}})
		Expect(got).To(Equal([]targetload.HostLoad{{
			Host: "a", Target: "e-1", Version: 8, Load: targetload.Load{Running: 3, ReservedTokens: 3500, UnreadTokens: 3000},
			Granted: &targetload.Granted{Version: 4, Load: targetload.Load{Running: 2, ReservedTokens: 3000, UnreadTokens: 3000}, Lifetime: 400 * time.Millisecond},
		}}))
	})

	// Guards against a ledger that grows with each engine and each request of a fleet.
	It("drops what has expired and counts the grants among it", func() {
		l := roomgrant.New()
		for i := range 50 {
			e := roomgrant.Engine{ID: fmt.Sprint("e-", i), Slots: 24, MemoryTokens: 10_000}
			l.Decide(0, e, used(9000), request("a", 6000))
			l.Decide(0, e, used(0), request("b", 6000))
		}
		Expect(l.Expire(roomgrant.GrantLifetime - 1)).To(BeZero())
		Expect(l.Expire(roomgrant.GrantLifetime)).To(Equal(50))
		Expect(l.Expire(roomgrant.GrantLifetime)).To(BeZero())
		Expect(l.Size()).To(BeZero())
	})
})

var _ = Describe("room that an owner reported as granted", func() {
	base := targetload.HostLoad{Host: "a", Target: "e-1", Version: 4, Load: targetload.Load{Running: 1, ReservedTokens: 500}}
	room := targetload.Load{Running: 1, ReservedTokens: 3000, UnreadTokens: 2000}
	answer := func(c targetload.HostLoad) []targetload.HostLoad {
		c.Granted = &targetload.Granted{Load: room, Version: c.Version, Lifetime: 100 * time.Millisecond}
		c.Load, c.Version = c.Add(room), 6
		return []targetload.HostLoad{{Host: "b", Target: "e-1", Version: 2}, c}
	}

	It("is kept apart from the counts and expires with the grant", func() {
		r := roomgrant.NewReported()
		Expect(r.Replace(0, 0, "c", "e-1", answer(base))).To(Equal([]targetload.HostLoad{{Host: "b", Target: "e-1", Version: 2}, base}))
		Expect(r.Outstanding(100*time.Millisecond-1, "e-1")).To(Equal(room))
		Expect(r.Outstanding(0, "e-2")).To(BeZero())
		Expect(r.Outstanding(100*time.Millisecond, "e-1")).To(BeZero())
	})

	// Guards against an empty count that hides a newer one of the same host.
	It("gives no count of a host of which the owner has none", func() {
		Expect(roomgrant.NewReported().Replace(0, 0, "c", "e-1", answer(targetload.HostLoad{Host: "a", Target: "e-1"}))).To(HaveLen(1))
	})

	It("ends with the counts that include it and with the next answer", func() {
		r := roomgrant.NewReported()
		r.Replace(0, 0, "c", "e-1", answer(base))
		r.Confirm("a", "e-1", 5)
		r.Confirm("b", "e-1", 6)
		Expect(r.Outstanding(0, "e-1")).To(Equal(room))
		r.Confirm("a", "e-1", 6)
		Expect(r.Outstanding(0, "e-1")).To(BeZero())
		r.Replace(0, 0, "c", "e-1", answer(base))
		r.Replace(0, 0, "c", "e-1", nil)
		Expect(r.Outstanding(0, "e-1")).To(BeZero())
	})

	// Guards against room that is forgotten as an answer arrives which is older than the one
	// that reported it.
	It("is kept if an answer is older or was asked for before", func() {
		r := roomgrant.NewReported()
		r.Replace(2, 3, "c", "e-1", answer(base))
		r.Replace(1, 4, "c", "e-1", nil)
		r.Replace(4, 5, "c", "e-1", []targetload.HostLoad{base})
		older := answer(base)
		older[1].Version = 5
		older[1].Granted.Load = targetload.Load{Running: 1}
		r.Replace(5, 6, "c", "e-1", older)
		Expect(r.Outstanding(6, "e-1")).To(Equal(room))
		Expect(r.Outstanding(100*time.Millisecond+3, "e-1")).To(BeZero())
		included := base
		included.Version = 6
		r.Replace(6, 7, "c", "e-1", []targetload.HostLoad{included})
		Expect(r.Outstanding(7, "e-1")).To(BeZero())
	})

	// Guards against the host's own room, which it has counted, and against an owner whose
	// message says that a grant lasts longer than any.
	It("is not that of the host itself, and lasts for no longer than a grant", func() {
		r := roomgrant.NewReported()
		r.Replace(0, 0, "a", "e-1", answer(base))
		Expect(r.Outstanding(0, "e-1")).To(BeZero())
		counts := answer(base)
		counts[1].Granted.Lifetime = time.Hour
		r.Replace(0, 0, "c", "e-1", counts)
		r.Expire(roomgrant.GrantLifetime - 1)
		Expect(r.Size()).To(Equal(1))
		r.Expire(roomgrant.GrantLifetime)
		Expect(r.Size()).To(BeZero())
	})
})
