package membership_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/membership"
)

// undirectedGraph returns the links of n members in both directions, because a
// probe carries updates both ways.
func undirectedGraph(n, rings int) [][]int {
	out := make([][]int, n)
	for i, next := range successors(n, rings) {
		for _, j := range next {
			out[i] = append(out[i], j)
			out[j] = append(out[j], i)
		}
	}
	return out
}

// successors returns the neighbours that the state machine of each member
// selects.
func successors(n, rings int) [][]int {
	hashes := make([][]uint64, n)
	for i := range n {
		hashes[i] = membership.RingHashes(address(i), rings)
	}
	out := make([][]int, n)
	order := make([]int, n)
	for ring := range rings {
		for i := range n {
			order[i] = i
		}
		slices.SortFunc(order, func(a, b int) int { return cmp.Compare(hashes[a][ring], hashes[b][ring]) })
		for k, i := range order {
			if next := order[(k+1)%n]; !slices.Contains(out[i], next) {
				out[i] = append(out[i], next)
			}
		}
	}
	return out
}

// broadcastReach counts the members that an update from origin reaches without
// passing through those that failed, and the hops to the last one.
func broadcastReach(graph [][]int, origin int, failed []bool) (count, hops int) {
	seen := slices.Clone(failed)
	seen[origin] = true
	frontier := []int{origin}
	for count = 1; ; hops++ {
		var next []int
		for _, i := range frontier {
			for _, j := range graph[i] {
				if !seen[j] {
					seen[j] = true
					next = append(next, j)
				}
			}
		}
		if len(next) == 0 {
			return count, hops
		}
		count += len(next)
		frontier = next
	}
}

var _ = Describe("the graph of neighbours", func() {
	const targetSize = 3300

	It("contains all neighbours that the state machine selects", func() {
		f := newFleet(40)
		f.run(20 * time.Second)
		links := undirectedGraph(40, 6)
		for i, n := range f.nodes {
			for _, a := range n.View().Neighbours {
				Expect(links[i]).To(ContainElement(slices.IndexFunc(f.nodes, func(m *membership.Node) bool { return m.Self().Address == a })))
			}
		}
	})

	It("spreads an update through a fleet of the target size in at most six hops", func() {
		for _, n := range []int{8, 32, 100, 300, 1000, targetSize} {
			count, hops := broadcastReach(successors(n, 6), 0, make([]bool, n))
			Expect(count).To(Equal(n))
			Expect(hops).To(BeNumerically("<=", 6))
			AddReportEntry(fmt.Sprintf("hops among %d members", n), hops)
		}
	})

	// A data centre and many more hosts fail at once, before any process has
	// selected new neighbours. Processes that an update does not reach would
	// keep an old table. If a third of the fleet fails, a process loses all
	// twelve of its links once in 500,000 cases, that is one process in some
	// 240 such events; it selects new neighbours once it has found its old ones
	// dead.
	It("stays connected when a third of the fleet fails at once", func() {
		links, unreached := undirectedGraph(targetSize, 6), 0
		for seed := range uint64(20) {
			rng := rand.New(rand.NewPCG(seed, 5))
			failed := make([]bool, targetSize)
			for _, i := range rng.Perm(targetSize)[:targetSize/3] {
				failed[i] = true
			}
			from := slices.Index(failed, false)
			count, _ := broadcastReach(links, from, failed)
			Expect(count).To(BeNumerically(">=", targetSize-targetSize/3-1), "seed %d", seed)
			unreached += targetSize - targetSize/3 - count
		}
		Expect(unreached).To(BeNumerically("<=", 1))
	})

	It("would be partitioned by three failures on a single ring", func() {
		failed := make([]bool, targetSize)
		failed[1], failed[100], failed[1000] = true, true, true
		count, _ := broadcastReach(undirectedGraph(targetSize, 1), 0, failed)
		Expect(count).To(BeNumerically("<", targetSize-3))
	})
})

// BenchmarkNode reports, for a process that knows a whole fleet, the time to
// apply one member's change and rebuild the view, and the heap size of the
// member list.
func BenchmarkNode(b *testing.B) {
	for _, n := range []int{8, 100, 1000, 3300} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := newNode(0, 1)
			c.SetPublishedPeers(0, peers(n))
			for i := range n {
				c.Merge(0, []membership.Member{{Address: address(i), Incarnation: 1, DataCentre: dataCentre(i)}})
			}
			c.View()
			runtime.GC()
			runtime.ReadMemStats(&after)
			now := time.Duration(0)
			for i := 0; b.Loop(); i++ {
				now += tickInterval
				k := 1 + i%(n-1)
				c.HandleProbe(now, membership.Member{Address: address(k), Incarnation: uint64(2 + i), DataCentre: dataCentre(k)}, nil)
				c.Tick(now)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KB")
			runtime.KeepAlive(c)
		})
	}
}
