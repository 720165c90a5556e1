package outputlength

import (
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestOutputLength(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "outputlength")
}

func recordOutput(d *Distribution, n int) {
	d.RecordProgress(0, n-1)
	d.RecordFinished(n)
}

// logNormal draws a length from a log-normal distribution with the given median.
func logNormal(rng *rand.Rand, median, sigma float64) int {
	return max(1, int(median*math.Exp(sigma*rng.NormFloat64())))
}

var _ = Describe("the life table", func() {
	It("puts each length in the bucket that holds it", func() {
		for n := 1; n < 1<<12; n++ {
			b := bucketOf(n)
			Expect(lowerBound(b)).To(BeNumerically("<=", n), "n=%d", n)
			Expect(lowerBound(b+1)).To(BeNumerically(">", n), "n=%d", n)
		}
		Expect(bucketOf(1 << 40)).To(Equal(buckets - 1))
	})

	It("starts with a heavy tail and decreases with the length", func() {
		d := New(0)
		Expect(d.Survival(2048)).To(BeNumerically("~", 0.5, 0.02))
		Expect(d.ConditionalSurvival(20_000, 20_000)).To(BeNumerically("~", 0.5, 0.05))
		for n := range 5000 {
			Expect(d.Survival(n + 1)).To(BeNumerically("<=", d.Survival(n)))
		}
	})

	DescribeTable("estimates conditional survival", func(median, sigma float64) {
		rng := rand.New(rand.NewPCG(1, 2))
		d := New(2000)
		for range 8000 {
			recordOutput(d, logNormal(rng, median, sigma))
		}
		d.Refresh()
		for _, n := range []float64{0.5, 1, 2} {
			at := int(median * n)
			exact := logNormalTail(n*2, sigma) / logNormalTail(n, sigma)
			Expect(d.ConditionalSurvival(at, at)).To(BeNumerically("~", exact, 0.06), "at %d", at)
		}
		Expect(float64(d.Median())).To(BeNumerically("~", median, median*0.2))
	},
		Entry("mixed", 300.0, 1.0), Entry("long reports", 1500.0, 0.6), Entry("very wide", 100.0, 2.0))

	// After a start or a shift of the mix, short outputs finish first, and
	// callers that disconnect cut long ones off. If only finished lengths
	// counted, all outputs would look short, and memory would fill up during
	// decoding.
	It("counts generations that are still running or were cut off", func() {
		d := New(0)
		for i := range 300 {
			if i%3 == 0 {
				recordOutput(d, 50)
				continue
			}
			d.RecordProgress(0, 400)
		}
		d.Refresh()
		Expect(d.Survival(350)).To(BeNumerically("~", 2.0/3, 0.06))
	})

	It("follows a shift of the mix", func() {
		d := New(0)
		for range 3000 {
			recordOutput(d, 100)
		}
		for range 1200 {
			recordOutput(d, 2000)
		}
		d.Refresh()
		Expect(d.Survival(1000)).To(BeNumerically(">", 0.8))
	})
})

// logNormalTail returns the fraction of a log-normal distribution beyond x
// medians.
func logNormalTail(x, sigma float64) float64 { return 0.5 * math.Erfc(math.Log(x)/sigma/math.Sqrt2) }

func BenchmarkConditionalSurvival(b *testing.B) {
	d := New(0)
	b.ReportAllocs()
	sum := 0.0
	for i := range b.N {
		sum += d.ConditionalSurvival(i&4095, 512)
	}
	if sum < 0 {
		b.Fatal(sum)
	}
}
