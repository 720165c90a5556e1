package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/placement"
	"filbertdeck/internal/decide/prefill"
	"filbertdeck/internal/decide/roomgrant"
	"filbertdeck/internal/decide/targetload"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/gateway"
)

// roomFleet is a fleet whose hosts reach the owner of all engines' counts by calls.
type roomFleet struct {
	now   time.Duration
	clock func() time.Duration
	view  *directory.View
	hosts []*gateway.TargetLoads
	// owner is the one that hosts reach; nil for none.
	owner *gateway.TargetLoads
	// beforeRequest, if set, runs once when the first request for room is under way.
	beforeRequest func()
	// losesAnswers is set if the owner's answers to requests for room are lost.
	// withoutGrants is set if the owner does not know such requests.
	losesAnswers, withoutGrants bool
	// delaysRequests is set if requests for room arrive only when deliver is called.
	delaysRequests bool
	delayed        []func()
	// requested holds the targets for which room was requested.
	requested []string
	// sent is the number of counts that hosts sent without a question.
	sent int
}

const roomFleetMemory = 10_000

func newRoomFleet(engines int) *roomFleet {
	const hosts = 9
	f := &roomFleet{now: time.Second}
	f.clock = func() time.Duration { return f.now }
	cfg := testConfig()
	cfg.Services[1].Engine.MemoryTokens = roomFleetMemory
	cfg.Routes[2].Priority, cfg.Routes[2].LatencyObjective, cfg.Routes[3].LatencyObjective = 2, 4*time.Second, 1500*time.Millisecond
	targets := map[string]*directory.ObservedTarget{}
	for i := range engines {
		id := fmt.Sprintf("i-%d", i)
		targets[id] = &directory.ObservedTarget{Published: true, Target: directory.Target{ID: id, Service: "llm", DataCentre: "dc-1", Slots: 24}}
	}
	f.view = directory.NewView(1, cfg, targets, nil)
	for i := range hosts {
		l := gateway.NewTargetLoads(fmt.Sprintf("host-%d", i), "dc-1", func() time.Duration { return f.clock() })
		l.SetHostCount(func() int { return hosts })
		l.SetRand(rand.New(rand.NewPCG(1, uint64(i))))
		l.SetOwnerQuery(f.query)
		l.SetRoomOwners(f)
		f.hosts = append(f.hosts, l)
	}
	f.owner = f.hosts[0]
	return f
}

func (f *roomFleet) query(_ gateway.TargetRef, own []targetload.HostLoad) ([]targetload.HostLoad, bool) {
	if f.owner == nil {
		return nil, false
	}
	return f.owner.AnswerOwnerQuery(own), true
}

func (f *roomFleet) RequestRoom(target gateway.TargetRef, own targetload.HostLoad, r roomgrant.Request) (gateway.RoomReply, bool) {
	f.requested = append(f.requested, target.ID)
	if before := f.beforeRequest; before != nil {
		f.beforeRequest = nil
		before()
	}
	if f.delaysRequests {
		f.delayed = append(f.delayed, func() { f.owner.DecideRoom(f.view, own, r) })
		return gateway.RoomReply{}, false
	}
	if f.owner == nil {
		return gateway.RoomReply{}, false
	}
	if f.withoutGrants {
		return gateway.RoomReply{Counts: f.owner.AnswerOwnerQuery([]targetload.HostLoad{own})}, true
	}
	reply := f.owner.DecideRoom(f.view, own, r)
	return reply, !f.losesAnswers
}

func (f *roomFleet) SendCount(_ gateway.TargetRef, own targetload.HostLoad) {
	f.sent++
	if f.owner != nil {
		f.owner.MergeLoads("", []targetload.HostLoad{own})
	}
}

// deliver has the delayed requests for room arrive at the owner.
func (f *roomFleet) deliver() {
	for _, arrive := range f.delayed {
		arrive()
	}
	f.delayed = nil
}

// place has a host place a generation that takes 6,000 of an engine's 10,000 tokens.
func (f *roomFleet) place(host int, change ...func(*gateway.PlacementRequest)) (*gateway.Reservation, gateway.Outcome) {
	req := gateway.PlacementRequest{
		Service: "llm", Prompt: call.Prompt{Tokens: 6000}, Locality: gateway.PreferLocal, MemoryShare: 1, GrantsRoom: true, Priority: 2, RoomID: uint64(host) + 100,
	}
	for _, c := range change {
		c(&req)
	}
	_, reservation, outcome := f.hosts[host].AcquireWithRoom(f.view, req)
	return reservation, outcome
}

// load returns the load of the engine i-0 that the owner reports to a host without any.
func (f *roomFleet) load() (sum targetload.Load) {
	for _, c := range f.owner.AnswerOwnerQuery([]targetload.HostLoad{{Host: "host-9", Target: "i-0"}}) {
		sum = sum.Add(c.Load)
	}
	return sum
}

// share sends a host's changed counts to the owner.
func (f *roomFleet) share(host int) {
	f.owner.MergeLoads("", f.hosts[host].PendingOwnLoads())
}

// concurrentOwners are the owners of a fleet's engines, reached by calls.
type concurrentOwners struct {
	view  *directory.View
	hosts []*gateway.TargetLoads
}

func (o *concurrentOwners) of(target gateway.TargetRef) *gateway.TargetLoads {
	return o.hosts[int(target.ID[len(target.ID)-1])%len(o.hosts)]
}

func (o *concurrentOwners) RequestRoom(target gateway.TargetRef, own targetload.HostLoad, r roomgrant.Request) (gateway.RoomReply, bool) {
	return o.of(target).DecideRoom(o.view, own, r), true
}

func (o *concurrentOwners) SendCount(target gateway.TargetRef, own targetload.HostLoad) {
	o.of(target).MergeLoads("", []targetload.HostLoad{own})
}

var _ = Describe("room that owners grant", func() {
	one := targetload.Load{Running: 1, ReservedTokens: 6000, UnreadTokens: 6000}

	// Guards against two hosts that take the same room.
	It("goes to one of two hosts that ask for the last room at once", func() {
		f := newRoomFleet(1)
		var other gateway.Outcome
		f.beforeRequest = func() { _, other = f.place(2) }
		_, outcome := f.place(1)
		Expect([]gateway.Outcome{outcome, other}).To(ConsistOf(gateway.Placed, gateway.NoRoom))
		Expect(f.load()).To(Equal(one))
	})

	// Guards against a grant that sends an urgent generation behind a long prompt while it
	// can wait for an engine that is free in time.
	It("is not asked for by an urgent generation that would be late at all engines", func() {
		f := newRoomFleet(1)
		f.place(1)
		urgent := func(req *gateway.PlacementRequest) {
			req.Prompt, req.Priority = call.Prompt{Tokens: 200}, 0
			req.FirstEventObjective, req.PrefillBudget = 500*time.Millisecond, 250*time.Millisecond
		}
		_, outcome := f.place(2, urgent)
		Expect(outcome).To(Equal(gateway.NoRoom))
		Expect(f.requested).To(HaveLen(1))
		Expect(f.load()).To(Equal(one))
	})

	It("goes to one of two hosts if one of them is the owner", func() {
		f := newRoomFleet(1)
		var other gateway.Outcome
		f.beforeRequest = func() { _, other = f.place(2) }
		_, outcome := f.place(0)
		Expect([]gateway.Outcome{outcome, other}).To(ConsistOf(gateway.Placed, gateway.NoRoom))
		f = newRoomFleet(1)
		f.beforeRequest = func() { _, other = f.place(0) }
		_, outcome = f.place(1)
		Expect([]gateway.Outcome{outcome, other}).To(ConsistOf(gateway.Placed, gateway.NoRoom))
	})

	// Guards against an owner that chooses the engine whose room it has just granted.
	It("counts in the owner's own choice", func() {
		f := newRoomFleet(2)
		granted, _ := f.place(1)
		Expect(granted).NotTo(BeNil())
		_, outcome := f.place(0)
		Expect(outcome).To(Equal(gateway.Placed))
		Expect(f.requested).To(ConsistOf("i-0", "i-1"))
	})

	// Guards against generations that wait although the next engine has room.
	It("is asked for at another engine after a denial, at three in a search", func() {
		f := newRoomFleet(2)
		f.beforeRequest = func() { f.place(2) }
		_, outcome := f.place(1)
		Expect(outcome).To(Equal(gateway.Placed))
		f = newRoomFleet(5)
		f.beforeRequest = func() {
			for host := 2; host < 7; host++ {
				f.place(host)
			}
			f.requested = f.requested[:1]
		}
		_, outcome = f.place(1)
		Expect(outcome).To(Equal(gateway.NoRoom))
		Expect(f.requested).To(HaveLen(3))
	})

	// Guards against load that is counted twice, or not at all, as the counts follow.
	It("is counted once before and after the host's counts arrive", func() {
		f := newRoomFleet(1)
		reservation, _ := f.place(1)
		Expect(f.load()).To(Equal(one))
		f.share(1)
		Expect(f.load()).To(Equal(one))
		f.now += roomgrant.GrantLifetime
		Expect(f.load()).To(Equal(one))
		reservation.MarkPromptRead()
		f.share(1)
		Expect(f.load()).To(Equal(targetload.Load{Running: 1, ReservedTokens: 6000}))
		reservation.Release()
		f.share(1)
		Expect(f.load()).To(BeZero())
	})

	It("is counted once if counts overtake the request", func() {
		f := newRoomFleet(1)
		f.beforeRequest = func() { f.share(1) }
		_, outcome := f.place(1)
		Expect(outcome).To(Equal(gateway.Placed))
		Expect(f.load()).To(Equal(one))
	})

	// Guards against room that stays taken after its host has died.
	It("is free again after the grant expired", func() {
		f := newRoomFleet(1)
		f.place(1)
		f.now += roomgrant.GrantLifetime - time.Millisecond
		_, outcome := f.place(2)
		Expect(outcome).To(Equal(gateway.NoRoom))
		f.now += time.Millisecond
		_, outcome = f.place(3)
		Expect(outcome).To(Equal(gateway.Placed))
	})

	// The owner queries itself for each choice. Guards against grants that it keeps as
	// counts, for seconds.
	It("is free again after the grant expired if the owner looked meanwhile", func() {
		f := newRoomFleet(1)
		f.place(1)
		_, outcome := f.place(0)
		Expect(outcome).To(Equal(gateway.NoRoom))
		f.now += roomgrant.GrantLifetime
		_, outcome = f.place(0)
		Expect(outcome).To(Equal(gateway.Placed))
	})

	It("is free at once if the generation was not run", func() {
		f := newRoomFleet(1)
		reservation, _ := f.place(1)
		reservation.Release()
		Expect(f.load()).To(BeZero())
		_, outcome := f.place(2)
		Expect(outcome).To(Equal(gateway.Placed))
	})

	It("is not left taken by a request that was denied", func() {
		f := newRoomFleet(1)
		f.beforeRequest = func() {
			f.share(1)
			f.place(2, func(req *gateway.PlacementRequest) { req.MemoryShare = 0 })
		}
		_, outcome := f.place(1)
		Expect(outcome).To(Equal(gateway.NoRoom))
		Expect(f.load()).To(Equal(one))
	})

	// Guards against a count with a denied request that another generation of the same host
	// sent to the owner.
	It("is not left taken by a denied request that its host's next one counted", func() {
		f := newRoomFleet(1)
		f.beforeRequest = func() {
			f.place(1, func(req *gateway.PlacementRequest) { req.MemoryShare, req.RoomID = 0, 1 })
		}
		_, outcome := f.place(1)
		Expect(outcome).To(Equal(gateway.NoRoom))
		Expect(f.load()).To(Equal(one))
	})

	// Guards against an engine that takes few requests a second and gets none, because
	// requests for its room that were denied count as sent.
	It("does not use up the engine's rate when it is denied", func() {
		f := newRoomFleet(1)
		rate := 0.001
		f.hosts[1].ObserveRate("i-0", &rate)
		f.hosts[1].SetColdRateLimit(gateway.ColdRateLimit{Factor: 1, Rank: func(string) (int, int) { return 0, 9 }})
		engine, _ := f.view.Target("i-0")
		engine.WarmAt = time.Minute
		service, _ := f.view.Service("llm")
		service.ColdRequestsPerSecond = 1
		var running *gateway.Reservation
		f.beforeRequest = func() { running, _ = f.place(2) }
		_, outcome := f.place(1)
		Expect(outcome).To(Equal(gateway.NoRoom))
		running.Release()
		_, outcome = f.place(1)
		Expect(outcome).To(Equal(gateway.Placed))
	})

	// Guards against granted room that a third host counts for seconds, as the host to which
	// it was granted has died.
	It("expires with the grant at hosts that heard of it", func() {
		f := newRoomFleet(1)
		f.place(1)
		_, outcome := f.place(3)
		Expect(outcome).To(Equal(gateway.NoRoom))
		owner := f.owner
		f.owner = nil
		f.now += roomgrant.GrantLifetime - time.Millisecond
		_, outcome = f.place(3)
		Expect(outcome).To(Equal(gateway.NoRoom))
		f.now += time.Millisecond
		reservation, outcome := f.place(3)
		Expect(outcome).To(Equal(gateway.Placed))
		reservation.Release()
		f.owner = owner
		_, outcome = f.place(4)
		Expect(outcome).To(Equal(gateway.Placed))
	})

	// Guards against a host that ignores the owner's newest answer, as the count with the
	// expired grant has a higher version.
	It("is free for a third host when the owner no longer reports it", func() {
		f := newRoomFleet(1)
		f.hosts[1].Reserve("i-0", call.Prompt{Tokens: 1000})
		f.share(1)
		f.place(1)
		_, outcome := f.place(3)
		Expect(outcome).To(Equal(gateway.NoRoom))
		f.now += roomgrant.GrantLifetime
		_, outcome = f.place(3)
		Expect(outcome).To(Equal(gateway.Placed))
	})

	// Guards against a third host that passes the grants of an earlier owner on as counts,
	// once it is the owner.
	It("is not passed on by a host that heard of it", func() {
		f := newRoomFleet(1)
		f.place(1)
		f.place(3)
		f.now += roomgrant.GrantLifetime
		f.owner = f.hosts[3]
		Expect(f.load()).To(BeZero())
	})

	// Guards against granted room that a third host counts once more beside the counts that
	// include it, in whichever order the two arrive.
	DescribeTable("is counted once at a third host when the counts follow",
		func(arrive func(f *roomFleet, counts []targetload.HostLoad)) {
			f := newRoomFleet(1)
			smaller := func(req *gateway.PlacementRequest) { req.Prompt.Tokens = 3000 }
			f.place(1, smaller)
			counts := f.hosts[1].PendingOwnLoads()
			arrive(f, counts)
			f.owner = nil
			_, outcome := f.place(3)
			Expect(outcome).To(Equal(gateway.Placed))
			_, outcome = f.place(3, smaller)
			Expect(outcome).To(Equal(gateway.NoRoom))
		},
		Entry("by the owner's answer", func(f *roomFleet, counts []targetload.HostLoad) {
			f.place(3, func(req *gateway.PlacementRequest) { req.Prompt.Tokens = 9000 })
			f.owner.MergeLoads("", counts)
			f.place(3, func(req *gateway.PlacementRequest) { req.Prompt.Tokens = 9000 })
		}),
		Entry("from the host itself", func(f *roomFleet, counts []targetload.HostLoad) {
			f.place(3, func(req *gateway.PlacementRequest) { req.Prompt.Tokens = 9000 })
			f.hosts[3].MergeLoads("", counts)
		}),
		Entry("from the host itself before the grant", func(f *roomFleet, counts []targetload.HostLoad) {
			f.hosts[3].MergeLoads("", counts)
			f.place(3, func(req *gateway.PlacementRequest) { req.Prompt.Tokens = 9000 })
		}),
	)

	// Guards against a generation that waits because an answer was lost, and against room
	// that is taken twice then.
	It("is taken by this host's own counts if the answer is lost", func() {
		f := newRoomFleet(1)
		f.losesAnswers = true
		_, outcome := f.place(1)
		Expect(outcome).To(Equal(gateway.Placed))
		Expect(f.load()).To(Equal(one))
		f.share(1)
		Expect(f.load()).To(Equal(one))
	})

	// Guards against room that is taken for half a second, or for as long as a count lasts,
	// by a request that arrives after the empty count with which its generation ended.
	DescribeTable("is not taken by a request that arrives after its generation has ended",
		func(runsAnother, ownerIsNew bool) {
			f := newRoomFleet(1)
			var other *gateway.Reservation
			if runsAnother {
				other = f.hosts[1].Reserve("i-0", call.Prompt{Tokens: 1000})
			}
			f.delaysRequests = true
			reservation, outcome := f.place(1)
			Expect(outcome).To(Equal(gateway.Placed))
			if ownerIsNew {
				f.owner = f.hosts[8]
			}
			reservation.Release()
			other.Release()
			f.share(1)
			Expect(f.load()).To(BeZero())
			f.deliver()
			Expect(f.load()).To(BeZero())
			f.delaysRequests = false
			_, outcome = f.place(2)
			Expect(outcome).To(Equal(gateway.Placed))
		},
		Entry("alone at its host", false, false),
		Entry("beside another one that the owner counted", true, false),
		Entry("beside another one that a new owner did not count", true, true),
	)

	// Guards against room that stays taken until the next regular count, because the host
	// does not know that it was granted.
	It("is free at once if the answer is lost and the generation ends", func() {
		f := newRoomFleet(1)
		f.losesAnswers = true
		reservation, _ := f.place(1)
		f.now += 400 * time.Millisecond
		reservation.Release()
		Expect(f.load()).To(BeZero())
		f.losesAnswers = false
		_, outcome := f.place(2)
		Expect(outcome).To(Equal(gateway.Placed))
	})

	It("is free at once if the answer is lost and the generation goes on to wait", func() {
		f := newRoomFleet(1)
		running, _ := f.place(1)
		f.share(1)
		f.losesAnswers, f.beforeRequest = true, running.Release
		_, outcome := f.place(2, func(req *gateway.PlacementRequest) { req.Move = true })
		Expect(outcome).To(Equal(gateway.NoRoom))
		Expect(f.load()).To(BeZero())
		Expect(f.sent).To(Equal(2), "one count for each of the releases")
	})

	// Guards against a datagram for each generation of a fleet whose owner is down.
	It("is not released by a count of its own if the answer was lost long ago", func() {
		f := newRoomFleet(1)
		f.losesAnswers = true
		reservation, _ := f.place(1)
		f.now += roomgrant.GrantLifetime
		reservation.Release()
		Expect(f.sent).To(BeZero())
	})

	It("is taken by this host's own counts if the owner does not decide", func() {
		f := newRoomFleet(1)
		f.withoutGrants = true
		_, outcome := f.place(1)
		Expect(outcome).To(Equal(gateway.Placed))
		Expect(f.load()).To(Equal(one))
		_, outcome = f.place(2)
		Expect(outcome).To(Equal(gateway.NoRoom))
	})

	// Guards against a generation that is refused although its caller can't wait, and
	// against room that is granted once more beside it.
	It("is granted to a generation that must not wait, and counted", func() {
		f := newRoomFleet(1)
		f.place(1)
		_, outcome := f.place(2, func(req *gateway.PlacementRequest) { req.MemoryShare = 0 })
		Expect(outcome).To(Equal(gateway.Placed))
		Expect(f.load()).To(Equal(one.Add(one)))
	})

	// The owner dies and the next one has the counts, but not the last grants. Bound:
	// those grants, until the counts follow.
	It("is overcommitted by no more than the last grants when the owner changes", func() {
		f := newRoomFleet(1)
		f.place(1)
		f.owner = f.hosts[8]
		_, outcome := f.place(2)
		Expect(outcome).To(Equal(gateway.Placed))
		_, outcome = f.place(3)
		Expect(outcome).To(Equal(gateway.NoRoom))
		f.share(1)
		Expect(f.load()).To(Equal(one.Add(one)))
	})

	// Hosts differ for a moment on which one is the owner. Bound: the free room once more.
	It("is granted at most twice by two owners", func() {
		f := newRoomFleet(1)
		placed := 0
		for host := 1; host < 8; host++ {
			f.owner = f.hosts[8*(host%2)]
			if _, outcome := f.place(host); outcome == gateway.Placed {
				placed++
			}
		}
		Expect(placed).To(Equal(2))
	})

	// Guards against a generation that is moved, or is more urgent, and finds no room for
	// it, because those that can wait take each room that becomes free.
	DescribeTable("is kept for a request that goes first and was denied",
		func(first func(*gateway.PlacementRequest), kept bool) {
			f := newRoomFleet(1)
			running, _ := f.place(1)
			_, outcome := f.place(2, first)
			Expect(outcome).To(Equal(gateway.NoRoom))
			running.Release()
			_, outcome = f.place(3)
			Expect(outcome == gateway.NoRoom).To(Equal(kept))
			_, outcome = f.place(2, first)
			Expect(outcome == gateway.Placed).To(Equal(kept))
		},
		Entry("a move", func(req *gateway.PlacementRequest) { req.Move = true }, true),
		Entry("of the most urgent", func(req *gateway.PlacementRequest) { req.Priority = 0 }, true),
		Entry("but not for an equal one", func(*gateway.PlacementRequest) {}, false),
	)

	// Guards against prompts of several hosts that exceed the limit together.
	It("is denied beyond the limit on unread prompts", func() {
		f := newRoomFleet(1)
		limited := func(req *gateway.PlacementRequest) {
			req.Prompt.Tokens, req.AnyRoom, req.PromptLimit = 1000, true, &prefill.Limit{Budget: time.Millisecond}
			Expect(req.PromptLimit.Tokens(placement.Candidate{})).To(BeNumerically("<", 1000))
		}
		var other gateway.Outcome
		f.beforeRequest = func() { _, other = f.place(2, limited) }
		_, outcome := f.place(1, limited)
		Expect([]gateway.Outcome{outcome, other}).To(ConsistOf(gateway.Placed, gateway.NoRoom))
	})

	// Guards against room that is granted twice, or never freed, where the requests, counts
	// and releases of hosts that are owners themselves cross.
	It("is never exceeded by many searches at once, and free after them", func() {
		f := newRoomFleet(6)
		start := time.Now()
		// Counts are compared by their times, and no grant is to expire.
		f.clock = func() time.Duration { return time.Second + time.Since(start)/10 }
		owners := &concurrentOwners{f.view, f.hosts}
		var mu sync.Mutex
		placed, atOnce, highest := 0, map[string]int{}, 0
		var wg sync.WaitGroup
		for i, l := range f.hosts {
			l.SetOwnerQuery(func(target gateway.TargetRef, own []targetload.HostLoad) ([]targetload.HostLoad, bool) {
				return owners.of(target).AnswerOwnerQuery(own), true
			})
			l.SetRoomOwners(owners)
			for search := range 40 {
				wg.Go(func() {
					t, reservation, outcome := l.AcquireWithRoom(f.view, gateway.PlacementRequest{
						Service: "llm", Prompt: call.Prompt{Tokens: 3000}, Locality: gateway.PreferLocal, MemoryShare: 1, GrantsRoom: true, Priority: search % 3, Move: search%7 == 0, RoomID: uint64(100*i + search),
					})
					if outcome != gateway.Placed {
						return
					}
					mu.Lock()
					placed++
					atOnce[t.ID]++
					highest = max(highest, atOnce[t.ID])
					mu.Unlock()
					if search%2 == 0 {
						return
					}
					mu.Lock()
					atOnce[t.ID]--
					mu.Unlock()
					reservation.Release()
				})
			}
		}
		wg.Wait()
		AddReportEntry("placed", placed)
		for _, l := range f.hosts {
			for _, c := range l.PendingOwnLoads() {
				owners.SendCount(gateway.TargetRef{ID: c.Target}, c)
			}
		}
		Expect(placed).To(BeNumerically(">=", 6))
		Expect(highest).To(BeNumerically("<=", roomFleetMemory/3000))
		for id, running := range atOnce {
			sum := 0
			for _, c := range owners.of(gateway.TargetRef{ID: id}).AnswerOwnerQuery([]targetload.HostLoad{{Host: "host-9", Target: id}}) {
				sum += c.Running
			}
			Expect(sum).To(Equal(running), id)
		}
	})

	It("is not asked for without the setting and in a small fleet", func() {
		f := newRoomFleet(1)
		f.place(1, func(req *gateway.PlacementRequest) { req.GrantsRoom = false })
		f.hosts[2].SetHostCount(func() int { return 6 })
		f.place(2)
		Expect(f.requested).To(BeEmpty())
	})
})
