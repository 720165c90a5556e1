package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/membership"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

const (
	tickInterval = 100 * time.Millisecond
	// encodedMemberBytes is the size of one member in an encoded message
	// (address, incarnation in milliseconds, state, data centre).
	encodedMemberBytes = 37
)

// fleet runs state machines without a network: an exchange completes at once,
// or not at all if linkBroken says so.
type fleet struct {
	now   time.Duration
	nodes []*membership.Node
	// down holds the nodes that neither tick nor answer.
	down           map[string]bool
	linkBroken     func(a, b string) bool
	indexByAddress map[string]int
	// sentMessages and sentMembers count what was sent in both directions,
	// syncs the exchanges of full lists.
	sentMessages, sentMembers, syncs int
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:81", i/250, i%250+1) }

func dataCentre(i int) string { return fmt.Sprint("dc", i%3) }

func peers(n int) []membership.Peer {
	out := make([]membership.Peer, n)
	for i := range out {
		out[i] = membership.Peer{Address: address(i), DataCentre: dataCentre(i)}
	}
	return out
}

func newNode(i int, incarnation uint64) *membership.Node {
	return membership.New(membership.Config{Seed: uint64(i), Self: membership.Member{
		Address: address(i), Incarnation: incarnation, DataCentre: dataCentre(i)}})
}

// newFleet returns n nodes that know the published list of all n hosts.
func newFleet(n int) *fleet {
	f := &fleet{down: map[string]bool{}, linkBroken: func(string, string) bool { return false }}
	for i := range n {
		node := newNode(i, 1000)
		node.SetPublishedPeers(0, peers(n))
		f.nodes = append(f.nodes, node)
	}
	return f
}

func (f *fleet) nodeAt(address string) *membership.Node {
	if f.indexByAddress == nil {
		f.indexByAddress = map[string]int{}
		for i, n := range f.nodes {
			f.indexByAddress[n.Self().Address] = i
		}
	}
	return f.nodes[f.indexByAddress[address]]
}

func (f *fleet) connected(a, b string) bool { return !f.down[a] && !f.down[b] && !f.linkBroken(a, b) }

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += tickInterval {
		for _, n := range f.nodes {
			if !f.down[n.Self().Address] {
				f.execute(n, n.Tick(f.now))
			}
		}
	}
}

func (f *fleet) execute(n *membership.Node, actions []membership.Action) {
	self := n.Self().Address
	for _, a := range actions {
		f.sentMessages++
		f.sentMembers += len(a.Updates)
		if !f.connected(self, a.To) {
			continue
		}
		peer := f.nodeAt(a.To)
		switch a.Kind {
		case membership.ActionProbe:
			reply := peer.HandleProbe(f.now, n.Self(), a.Updates)
			f.sentMessages++
			f.sentMembers += len(reply)
			n.HandleProbeAck(f.now, a.ProbeID, peer.Self(), reply, peer.Digest())
		case membership.ActionIndirectProbe:
			if f.connected(a.To, a.Target) {
				n.HandleIndirectProbeAck(a.ProbeID)
			}
		case membership.ActionSync:
			f.syncs++
			localMembers := n.FullList()
			n.MergeFullList(f.now, peer.FullList())
			peer.MergeFullList(f.now, localMembers)
		}
	}
}

// runUntil runs the fleet until condition holds and returns the simulated time
// that it took.
func (f *fleet) runUntil(limit time.Duration, condition func() bool) time.Duration {
	start := f.now
	for !condition() {
		if f.now-start > limit {
			Fail(fmt.Sprintf("condition not met within %v", limit))
		}
		f.run(tickInterval)
	}
	return f.now - start
}

// stateOf returns the state of a member in n's view.
func stateOf(n *membership.Node, address string) string {
	for _, m := range n.View().Members {
		if m.Address == address {
			return m.State.String()
		}
	}
	return "unknown"
}

// allSee reports whether a member is in the given state in the view of every
// running node but the member itself.
func (f *fleet) allSee(address, state string) bool {
	for _, n := range f.nodes {
		if a := n.Self().Address; a != address && !f.down[a] && stateOf(n, address) != state {
			return false
		}
	}
	return true
}

// membersSeenDead lists the members that are dead in some node's view, each
// with that node.
func (f *fleet) membersSeenDead() []string {
	var out []string
	for _, n := range f.nodes {
		for _, m := range n.View().Members {
			if m.State == membership.Dead {
				out = append(out, n.Self().Address+" considers dead: "+m.Address)
			}
		}
	}
	return out
}

func (f *fleet) allSeeAllAlive() bool {
	for _, n := range f.nodes {
		if !f.allSee(n.Self().Address, "alive") {
			return false
		}
	}
	return true
}

var _ = Describe("membership", func() {
	It("converges on all members from the published list alone", func() {
		f := newFleet(32)
		Expect(f.runUntil(20*time.Second, f.allSeeAllAlive)).To(BeNumerically("<", 10*time.Second))
		f.run(time.Minute)
		digest := f.nodes[0].Digest()
		for _, n := range f.nodes {
			Expect(n.Digest()).To(Equal(digest))
		}
	})

	It("discovers all members from one seed address when the published list can't be read", func() {
		f := &fleet{down: map[string]bool{}, linkBroken: func(string, string) bool { return false }}
		for i := range 16 {
			c := newNode(i, 1000)
			c.SetPublishedPeers(0, peers(1))
			f.nodes = append(f.nodes, c)
		}
		f.runUntil(30*time.Second, f.allSeeAllAlive)
	})

	// A whole fleet starts at once and each process knows three seed addresses.
	// While processes know different parts of the fleet they select different
	// relays and owners: updates arrive late, and hosts that need not read the
	// store do.
	It("discovers all members within seconds when hundreds of processes start at once from three seed addresses", func() {
		const hosts, timeLimit = 195, 6 * time.Second
		f := newFleet(0)
		for i := range hosts {
			c := newNode(i, 1000)
			c.SetPublishedPeers(0, []membership.Peer{{Address: address(0)}, {Address: address(70)}, {Address: address(140)}})
			f.nodes = append(f.nodes, c)
		}
		Expect(f.runUntil(time.Minute, f.allSeeAllAlive)).To(BeNumerically("<=", timeLimit))
	})

	// A host loses power. The published list names it for a long time
	// afterwards, and requests would be sent to its allocator and wait.
	It("declares a process dead within seconds although the published list still names it", func() {
		f := newFleet(32)
		f.run(20 * time.Second)
		f.down[address(5)] = true
		Expect(f.runUntil(20*time.Second, func() bool { return f.allSee(address(5), "dead") })).To(BeNumerically(">", 2*time.Second))
		for _, n := range f.nodes {
			n.SetPublishedPeers(f.now, peers(32))
		}
		f.run(10 * time.Second)
		Expect(f.nodes[0].View().EligibleAddresses("")).NotTo(ContainElement(address(5)))
	})

	// A process is suspended for twenty seconds by a snapshot of its host. Its
	// peers declare it dead; on resuming it would declare all of them dead,
	// because none has answered it.
	It("readmits a paused process, which suspects none of its peers", func() {
		f := newFleet(16)
		f.run(20 * time.Second)
		f.down[address(3)] = true
		f.run(20 * time.Second)
		Expect(f.allSee(address(3), "dead")).To(BeTrue())
		f.down = map[string]bool{}
		f.runUntil(30*time.Second, f.allSeeAllAlive)
		f.run(10 * time.Second)
		Expect(f.allSeeAllAlive()).To(BeTrue())
		for i, n := range f.nodes {
			if i != 3 {
				Expect(n.Self().Incarnation).To(Equal(uint64(1000)), "no other process had to refute")
			}
		}
		Expect(f.nodes[3].Self().Incarnation).To(BeNumerically(">", 1000))
	})

	It("would declare its peers dead if the duration of the pause counted", func() {
		f := newFleet(16)
		f.run(20 * time.Second)
		isolated := f.nodes[3]
		for t := f.now; t < f.now+20*time.Second; t += tickInterval {
			isolated.Tick(t)
		}
		Expect(len(isolated.View().EligibleAddresses(""))).To(BeNumerically("<", 16))
	})

	// Two halves of the fleet are cut off from each other for a while. Each
	// must keep running, and they must find each other again although each
	// believes the other's members dead.
	It("keeps both sides of a partition running and merges them afterwards", func() {
		f := newFleet(24)
		f.run(20 * time.Second)
		firstHalf := map[string]bool{}
		for i := range 12 {
			firstHalf[address(i)] = true
		}
		f.linkBroken = func(a, b string) bool { return firstHalf[a] != firstHalf[b] }
		f.run(time.Minute)
		total := 0
		for _, i := range []int{0, 23} {
			total += len(f.nodes[i].View().EligibleAddresses(""))
		}
		Expect(total).To(Equal(24), "each side counts only its own members")
		f.linkBroken = func(string, string) bool { return false }
		f.runUntil(90*time.Second, f.allSeeAllAlive)
	})

	It("suspects no member because of a single broken link", func() {
		f := newFleet(16)
		f.run(20 * time.Second)
		a, b := address(0), f.nodes[0].View().Neighbours[0]
		f.linkBroken = func(x, y string) bool { return x == a && y == b || x == b && y == a }
		f.run(time.Minute)
		Expect(f.allSeeAllAlive()).To(BeTrue())
		for _, n := range f.nodes {
			Expect(n.Self().Incarnation).To(Equal(uint64(1000)))
		}
	})

	// Two data centres lose the link between them while both reach a third. A
	// member that is declared dead there although it serves loses what it owns
	// to another: two hosts would own the same engines' counts, and readers
	// would be replaced without need.
	It("declares no member dead when the link between two data centres breaks", func() {
		const hosts = 195
		f := newFleet(hosts)
		f.run(10 * time.Second)
		inDataCentre := func(a string, dc string) bool { return dataCentre(f.indexByAddress[a]) == dc }
		f.nodeAt(address(0))
		f.linkBroken = func(a, b string) bool {
			return inDataCentre(a, "dc0") && inDataCentre(b, "dc1") || inDataCentre(a, "dc1") && inDataCentre(b, "dc0")
		}
		for range 30 {
			f.run(time.Second)
			Expect(f.membersSeenDead()).To(BeEmpty())
		}
	})

	// A host is replaced at once at the same address, and the clock of the new
	// one is behind. Its peers believe the address dead, or know it with a
	// higher incarnation.
	It("accepts a process that replaced another at the same address", func() {
		f := newFleet(16)
		f.run(20 * time.Second)
		f.down[address(7)] = true
		f.run(20 * time.Second)
		f.down = map[string]bool{}
		f.nodes[7] = newNode(7, 10)
		f.nodes[7].SetPublishedPeers(f.now, peers(16))
		f.runUntil(30*time.Second, f.allSeeAllAlive)
		Expect(f.nodes[7].Self().Incarnation).To(BeNumerically(">", 1000))
	})

	It("announces a planned stop at once and does not report it as a failure", func() {
		f := newFleet(16)
		f.run(20 * time.Second)
		f.execute(f.nodes[2], f.nodes[2].Leave())
		f.down[address(2)] = true
		Expect(f.runUntil(10*time.Second, func() bool { return f.allSee(address(2), "left") })).To(BeNumerically("<", 5*time.Second))
	})

	It("selects the same three readers per data centre on all nodes, and none on leaving hosts", func() {
		f := newFleet(30)
		f.run(30 * time.Second)
		readersPerDataCentre := func() map[string]int {
			readers := map[string]int{}
			for _, n := range f.nodes {
				if n.View().IsReader() {
					readers[n.Self().DataCentre]++
				}
			}
			return readers
		}
		Expect(readersPerDataCentre()).To(Equal(map[string]int{"dc0": 3, "dc1": 3, "dc2": 3}))
		list := peers(30)
		for i := range list {
			list[i].Leaving = f.nodes[i].View().IsReader() && i%3 == 0
		}
		for _, n := range f.nodes {
			n.SetPublishedPeers(f.now, list)
		}
		f.run(time.Second)
		Expect(readersPerDataCentre()["dc0"]).To(Equal(3))
		for i, p := range list {
			Expect(p.Leaving && f.nodes[i].View().IsReader()).To(BeFalse())
		}
	})

	It("moves only the keys that a lost member held", func() {
		members := make([]string, 40)
		for i := range members {
			members[i] = address(i)
		}
		for key := range 50 {
			ranked := membership.Rank(fmt.Sprint(key), members)
			without := membership.Rank(fmt.Sprint(key), members[1:])
			for i := range ranked {
				if ranked[i] == address(0) {
					Expect(without).To(Equal(append(ranked[:i:i], ranked[i+1:]...)))
				}
			}
		}
	})

	It("sends as many messages per node in a fleet of 8 as in one of 100", func() {
		messagesPerNode := func(n int) float64 {
			f := newFleet(n)
			f.run(time.Minute)
			f.sentMessages = 0
			f.run(time.Minute)
			return float64(f.sentMessages) / float64(n) / 60
		}
		Expect(messagesPerNode(100)).To(BeNumerically("~", messagesPerNode(8), 0.1))
	})

	// Updates arrive late, twice and in any order. Two processes that received
	// the same ones must hold the same state, or they would select different
	// allocators.
	It("converges on the same state whatever the order of updates", func() {
		for seed := range uint64(50) {
			rng := rand.New(rand.NewPCG(seed, 2))
			var updates []membership.Member
			for range 40 {
				updates = append(updates, membership.Member{Address: address(1 + rng.IntN(3)), Incarnation: uint64(1 + rng.IntN(4)),
					State: membership.State(rng.IntN(4)), DataCentre: "dc0"})
			}
			updates = append(updates, membership.Member{Address: address(1), Incarnation: 1, DataCentre: "dc0"},
				membership.Member{Address: address(2), Incarnation: 1, DataCentre: "dc0"}, membership.Member{Address: address(3), Incarnation: 1, DataCentre: "dc0"})
			var views []string
			for range 2 {
				c := newNode(0, 5)
				c.Merge(0, updates[40:])
				rng.Shuffle(40, func(i, j int) { updates[i], updates[j] = updates[j], updates[i] })
				c.Merge(0, updates[:40])
				c.Tick(tickInterval)
				views = append(views, fmt.Sprint(c.View().Members))
			}
			Expect(views[0]).To(Equal(views[1]), "seed %d", seed)
		}
	})
})

func FuzzNode(f *testing.F) {
	f.Add(uint64(1), uint16(300))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) {
		rng := rand.New(rand.NewPCG(seed, 3))
		c, now, ownIncarnation := newNode(0, 7), time.Duration(0), uint64(7)
		randomMember := func() membership.Member {
			return membership.Member{Address: address(rng.IntN(8)), Incarnation: rng.Uint64() >> rng.IntN(64),
				State: membership.State(rng.IntN(5)), DataCentre: dataCentre(rng.IntN(3))}
		}
		for range steps {
			now += time.Duration(rng.IntN(3000)) * time.Millisecond
			switch rng.IntN(6) {
			case 0:
				c.SetPublishedPeers(now, peers(rng.IntN(8)))
			case 1:
				c.HandleProbeFailure(now, uint64(rng.IntN(20)))
			case 2:
				c.HandleProbeAck(now, uint64(rng.IntN(20)), randomMember(), []membership.Member{randomMember()}, rng.Uint64())
			case 3:
				if got := c.HandleProbe(now, randomMember(), []membership.Member{randomMember(), randomMember()}); len(got) > 12 {
					t.Fatalf("%d members in one message, more than the limit of 12", len(got))
				}
			default:
				for _, a := range c.Tick(now) {
					if a.To == address(0) || len(a.Updates) > 12 {
						t.Fatalf("action to this process itself or with more than 12 updates: %+v", a)
					}
				}
			}
			if self := c.Self(); self.Incarnation < ownIncarnation || self.State != membership.Alive {
				t.Fatalf("own entry went back to %+v", self)
			}
			ownIncarnation = c.Self().Incarnation
			if v := c.View(); len(v.Members) > 8 {
				t.Fatalf("view has %d members, but there are only 8 addresses", len(v.Members))
			}
		}
		other := newNode(0, 7)
		other.Merge(0, c.FullList())
		if c.Self().Incarnation == other.Self().Incarnation && c.Digest() != other.Digest() {
			t.Fatal("the digest differs from that of another state machine with the same members")
		}
	})
}

// BenchmarkFleet reports what one node of a converged fleet sends and receives
// while processes are restarted at the rate of the target size (3,200 a day in
// all, here one each 25 s): messages and bytes of members a second in both
// directions, exchanges of full lists a minute, CPU time, and the simulated
// time in milliseconds until all nodes know of a failure.
func BenchmarkFleet(b *testing.B) {
	const restarts = 12
	for _, n := range []int{8, 32, 100, 300} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(n)
				f.run(2 * time.Minute)
				f.sentMessages, f.sentMembers, f.syncs = 0, 0, 0
				start, simulatedStart := time.Now(), f.now
				for i := range restarts {
					f.nodes[i%n] = newNode(i%n, uint64(2000+i))
					f.nodes[i%n].SetPublishedPeers(f.now, peers(n))
					f.run(25 * time.Second)
				}
				cpu := time.Since(start)
				perNode := (f.now - simulatedStart).Seconds() * float64(n)
				b.ReportMetric(float64(f.sentMessages)/perNode, "messages/node/s")
				b.ReportMetric(float64(f.sentMembers)*encodedMemberBytes/perNode, "memberbytes/node/s")
				b.ReportMetric(float64(f.syncs)/perNode*60, "syncs/node/min")
				b.ReportMetric(float64(cpu.Microseconds())/perNode, "cpu-us/node/s")
				f.down[address(1)] = true
				b.ReportMetric(float64(f.runUntil(time.Minute, func() bool { return f.allSee(address(1), "dead") }).Milliseconds()), "ms-until-dead")
			}
		})
	}
}
