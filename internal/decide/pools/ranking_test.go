package pools_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/pools"
)

func randomHosts(r *rand.Rand, n int) []pools.Host {
	out := make([]pools.Host, n)
	for i := range out {
		out[i] = pools.Host{
			ControlAddress: fmt.Sprintf("10.0.%d.%d:81", i/250, i%250), DataCentre: fmt.Sprint("dc", r.IntN(3)), Leaving: r.IntN(4) == 0,
		}
	}
	return out
}

var _ = Describe("a ranking for many pools", func() {
	// If the two implementations gave different orders, two processes could
	// both consider themselves the owner of a pool, and both would send load to
	// its cold targets.
	It("gives the same owners as RankHosts", func() {
		r := rand.New(rand.NewPCG(7, 0))
		for range 300 {
			hosts := randomHosts(r, r.IntN(12))
			ranking := pools.NewHostRanking(hosts)
			pool := pools.Pool{ID: fmt.Sprint("reports/", r.IntN(50)), DataCentre: fmt.Sprint("dc", r.IntN(4))}
			want := pools.RankHosts(pool, hosts)
			Expect(ranking.TopHosts(pool, 3)).To(Equal(want[:min(3, len(want))]))
		}
	})
})

func BenchmarkOwners(b *testing.B) {
	hosts := randomHosts(rand.New(rand.NewPCG(1, 0)), 3300)
	pool := pools.Pool{ID: "reports/dc1/7", DataCentre: "dc1"}
	b.Run("sorted", func(b *testing.B) {
		for b.Loop() {
			_ = pools.RankHosts(pool, hosts)[:3]
		}
	})
	b.Run("first three", func(b *testing.B) {
		ranking := pools.NewHostRanking(hosts)
		b.ReportAllocs()
		for b.Loop() {
			_ = ranking.TopHosts(pool, 3)
		}
	})
}
