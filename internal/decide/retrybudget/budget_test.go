package retrybudget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/retrybudget"
)

func TestRetryBudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retrybudget")
}

var (
	clinic = retrybudget.Key{Account: "clinic", Service: "report"}
	radio  = retrybudget.Key{Account: "radio", Service: "report"}
)

var _ = Describe("a budget", func() {
	// Every request of one account fails. Its retries must neither multiply
	// the load nor use up those of another account.
	It("bounds retries to a share of first tries, each account's for itself", func() {
		b := retrybudget.New(retrybudget.Config{})
		retries := 0
		for range 1000 {
			b.First(0, clinic)
			if b.Retry(0, clinic) {
				retries++
			}
		}
		Expect(retries).To(BeNumerically("~", 110, 1), "a tenth and the burst")
		Expect(b.Retry(0, radio)).To(BeTrue())
		Expect(b.Retry(5*time.Second, clinic)).To(BeTrue(), "the trickle")
		Expect(b.Retry(5*time.Second, clinic)).To(BeFalse())
	})

	It("bounds a service's retries over all accounts, and its memory", func() {
		b := retrybudget.New(retrybudget.Config{MaxBuckets: 64})
		retries := 0
		for i := range 1000 {
			if b.Retry(0, retrybudget.Key{Account: fmt.Sprint(i % 50), Service: "report"}) {
				retries++
			}
		}
		Expect(retries).To(Equal(100))
	})

	It("keeps a fault from outliving its cause, unlike retry always", func() {
		Expect(storm(true)).To(BeNumerically("<", 1.3))
		Expect(storm(false)).To(BeNumerically(">", 1.8))
	})
})

// storm sends 100 requests a step to targets that bear 110 and fail all that
// is beyond; for ten steps they bear a third less. It gives the load over the
// callers' requests in the steps after the fault.
func storm(budgeted bool) float64 {
	rnd := rand.New(rand.NewPCG(1, 1))
	b := retrybudget.New(retrybudget.Config{})
	var waiting [3]int // tries that fail a step ago, by number of tries
	sent := 0
	for step := range 60 {
		now, bears := time.Duration(step)*time.Second, 110.0
		if step >= 10 && step < 20 {
			bears = 70
		}
		for range 100 {
			b.First(now, clinic)
		}
		tries := [3]int{100, waiting[0], waiting[1]}
		load := tries[0] + tries[1] + tries[2]
		failing := max(0, 1-bears/float64(load))
		if float64(load) > bears {
			failing = 1 - bears/float64(load)*bears/float64(load) // work on those that fail is lost
		}
		waiting = [3]int{}
		for n, count := range tries {
			for range count {
				if rnd.Float64() < failing && n < 2 && (!budgeted || b.Retry(now, clinic)) {
					waiting[n]++
				}
			}
		}
		if step >= 30 {
			sent += load
		}
	}
	return float64(sent) / 3000
}

func BenchmarkMeasure(b *testing.B) {
	for _, budgeted := range []bool{true, false} {
		b.Run(fmt.Sprint("budgeted=", budgeted), func(b *testing.B) {
			load := 0.0
			for range b.N {
				load = storm(budgeted)
			}
			b.ReportMetric(load, "load-after-fault")
		})
	}
}

func BenchmarkRetry(b *testing.B) {
	budget := retrybudget.New(retrybudget.Config{})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			budget.First(0, clinic)
			budget.Retry(0, clinic)
		}
	})
}
