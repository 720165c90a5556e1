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

// graph gives the neighbours of n members both ways: an exchange carries news
// in both directions.
func graph(n, rings int) [][]int {
	out := make([][]int, n)
	for i, next := range successors(n, rings) {
		for _, j := range next {
			out[i] = append(out[i], j)
			out[j] = append(out[j], i)
		}
	}
	return out
}

// successors gives each member's neighbours as the cores pick them.
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

// reached counts the members that news from one gets to over those that are
// not gone, and the hops to the last.
func reached(g [][]int, from int, gone []bool) (count, hops int) {
	seen := slices.Clone(gone)
	seen[from] = true
	front := []int{from}
	for count = 1; ; hops++ {
		var next []int
		for _, i := range front {
			for _, j := range g[i] {
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
		front = next
	}
}

var _ = Describe("the graph of neighbours", func() {
	const target = 3300

	It("is a ring's successor for each ring, as the core picks it", func() {
		f := newNet(40)
		f.run(20 * time.Second)
		g := graph(40, 6)
		for i, n := range f.nodes {
			for _, a := range n.View().Neighbours {
				Expect(g[i]).To(ContainElement(slices.IndexFunc(f.nodes, func(m *membership.Node) bool { return m.Self().Address == a })))
			}
		}
	})

	It("carries news through the target size in a few hops", func() {
		for _, n := range []int{8, 32, 100, 300, 1000, target} {
			count, hops := reached(successors(n, 6), 0, make([]bool, n))
			Expect(count).To(Equal(n))
			Expect(hops).To(BeNumerically("<=", 6))
			AddReportEntry(fmt.Sprintf("hops among %d members", n), hops)
		}
	})

	// A data centre and a good deal more go at once, before any process has
	// picked new neighbours. News that could not reach the others would leave
	// them with an old table. With a third gone a process loses all twelve of
	// its links once in 500,000, that is one process in some 240 such events;
	// it has new neighbours once it has found its old ones dead.
	It("holds together when a third of the fleet goes at once", func() {
		g, missed := graph(target, 6), 0
		for seed := range uint64(20) {
			rng := rand.New(rand.NewPCG(seed, 5))
			gone := make([]bool, target)
			for _, i := range rng.Perm(target)[:target/3] {
				gone[i] = true
			}
			from := slices.Index(gone, false)
			count, _ := reached(g, from, gone)
			Expect(count).To(BeNumerically(">=", target-target/3-1), "seed %d", seed)
			missed += target - target/3 - count
		}
		Expect(missed).To(BeNumerically("<=", 1))
	})

	It("would fall apart on a single ring", func() {
		gone := make([]bool, target)
		gone[1], gone[100], gone[1000] = true, true, true
		count, _ := reached(graph(target, 1), 0, gone)
		Expect(count).To(BeNumerically("<", target-3))
	})
})

// BenchmarkCore reports, for one core that knows a fleet, the time to take in
// and show one member's change, and the memory of its list.
func BenchmarkCore(b *testing.B) {
	for _, n := range []int{8, 100, 1000, 3300} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := core(0, 1)
			c.SetPublishedPeers(0, peers(n))
			for i := range n {
				c.Merge(0, []membership.Member{{Address: address(i), Incarnation: 1, DataCentre: dataCentre(i)}})
			}
			c.View()
			runtime.GC()
			runtime.ReadMemStats(&after)
			now := time.Duration(0)
			for i := 0; b.Loop(); i++ {
				now += tick
				k := 1 + i%(n-1)
				c.HandleProbe(now, membership.Member{Address: address(k), Incarnation: uint64(2 + i), DataCentre: dataCentre(k)}, nil)
				c.Tick(now)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KB")
			runtime.KeepAlive(c)
		})
	}
}
