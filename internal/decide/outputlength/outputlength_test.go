package outputlength

import (
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLengths(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lengths")
}

func observe(d *Distribution, n int) {
	d.RecordProgress(0, n-1)
	d.RecordFinished(n)
}

// logNormal draws a length with the given median.
func logNormal(r *rand.Rand, median, sigma float64) int {
	return max(1, int(median*math.Exp(sigma*r.NormFloat64())))
}

var _ = Describe("the life table", func() {
	It("puts each length in the bucket that holds it", func() {
		for n := 1; n < 1<<12; n++ {
			b := bucketOf(n)
			Expect(lower(b)).To(BeNumerically("<=", n), "n=%d", n)
			Expect(lower(b+1)).To(BeNumerically(">", n), "n=%d", n)
		}
		Expect(bucketOf(1 << 40)).To(Equal(buckets - 1))
	})

	It("starts from a heavy tail and only ever falls", func() {
		d := New(0)
		Expect(d.Beyond(2048)).To(BeNumerically("~", 0.5, 0.02))
		Expect(d.StillRunning(20_000, 20_000)).To(BeNumerically("~", 0.5, 0.05))
		for n := range 5000 {
			Expect(d.Beyond(n + 1)).To(BeNumerically("<=", d.Beyond(n)))
		}
	})

	DescribeTable("learns conditional survival", func(median, sigma float64) {
		r := rand.New(rand.NewPCG(1, 2))
		d := New(2000)
		for range 8000 {
			observe(d, logNormal(r, median, sigma))
		}
		d.Refresh()
		for _, n := range []float64{0.5, 1, 2} {
			at := int(median * n)
			exact := tail(n*2, sigma) / tail(n, sigma)
			Expect(d.StillRunning(at, at)).To(BeNumerically("~", exact, 0.06), "at %d", at)
		}
		Expect(float64(d.Median())).To(BeNumerically("~", median, median*0.2))
	},
		Entry("mixed", 300.0, 1.0), Entry("long reports", 1500.0, 0.6), Entry("very wide", 100.0, 2.0))

	// After a start or a shift the short outputs finish first, and callers that
	// leave cut the long ones. Counting finished lengths only would make all
	// outputs look short, and memory would fill up in mid-decode.
	It("isn't fooled by generations that are still running or were cut", func() {
		d := New(0)
		for i := range 300 {
			if i%3 == 0 {
				observe(d, 50)
				continue
			}
			d.RecordProgress(0, 400)
		}
		d.Refresh()
		Expect(d.Beyond(350)).To(BeNumerically("~", 2.0/3, 0.06))
	})

	It("follows a shift of the mix", func() {
		d := New(0)
		for range 3000 {
			observe(d, 100)
		}
		for range 1200 {
			observe(d, 2000)
		}
		d.Refresh()
		Expect(d.Beyond(1000)).To(BeNumerically(">", 0.8))
	})
})

// tail is the share of a log-normal beyond x medians.
func tail(x, sigma float64) float64 { return 0.5 * math.Erfc(math.Log(x)/sigma/math.Sqrt2) }

func BenchmarkStillRunning(b *testing.B) {
	d := New(0)
	b.ReportAllocs()
	sum := 0.0
	for i := range b.N {
		sum += d.StillRunning(i&4095, 512)
	}
	if sum < 0 {
		b.Fatal(sum)
	}
}
