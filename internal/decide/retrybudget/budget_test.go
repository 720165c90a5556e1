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

var _ = Describe("Budget", func() {
	// If every request of one account fails, its retries must neither multiply
	// the load nor use up the budget of another account.
	It("limits retries to a fraction of first attempts, separately for each account", func() {
		b := retrybudget.New(retrybudget.Config{})
		retries := 0
		for range 1000 {
			b.RecordFirstAttempt(0, clinic)
			if b.AllowRetry(0, clinic) {
				retries++
			}
		}
		Expect(retries).To(BeNumerically("~", 110, 1), "a tenth of the attempts and the burst")
		Expect(b.AllowRetry(0, radio)).To(BeTrue())
		Expect(b.AllowRetry(5*time.Second, clinic)).To(BeTrue(), "refilled over time")
		Expect(b.AllowRetry(5*time.Second, clinic)).To(BeFalse())
	})

	It("limits the retries of a service over all accounts, and the number of buckets", func() {
		b := retrybudget.New(retrybudget.Config{MaxBuckets: 64})
		retries := 0
		for i := range 1000 {
			if b.AllowRetry(0, retrybudget.Key{Account: fmt.Sprint(i % 50), Service: "report"}) {
				retries++
			}
		}
		Expect(retries).To(Equal(100))
		for range 9 { // refill of the service's bucket; tokens that the service's bucket refused went back to the account
			Expect(b.AllowRetry(5*time.Second, retrybudget.Key{Account: "0", Service: "report"})).To(BeTrue())
		}
		for i := range 1000 {
			b.RecordFirstAttempt(0, retrybudget.Key{Account: fmt.Sprint(i), Service: "report"})
		}
		Expect(b.BucketCount()).To(BeNumerically("<=", 64))
	})

	// Guards against a process that never retries for an account whose first request came
	// before the number of hosts was known.
	It("allows retries once the number of hosts is known", func() {
		b := retrybudget.New(retrybudget.Config{RetryRatio: 0.2, Burst: 28, ServiceBurst: 56, RefillPerSecond: retrybudget.NoRefill})
		key := retrybudget.Key{Account: "a", Service: "s"}
		b.SetHostCount(1_000_000)
		b.RecordFirstAttempt(0, key)
		Expect(b.AllowRetry(0, key)).To(BeFalse())
		b.SetHostCount(2)
		for range 1000 {
			b.RecordFirstAttempt(0, key)
		}
		allowed := 0
		for b.AllowRetry(0, key) {
			allowed++
		}
		Expect(allowed).To(Equal(14), "the account's burst, divided by the number of hosts")
	})

	It("prevents an overload from outlasting its cause, unlike unconditional retries", func() {
		withBudget, alwaysRetry := simulateOverload(true), simulateOverload(false)
		Expect(withBudget).To(BeNumerically("<", 1.3))
		Expect(alwaysRetry).To(BeNumerically(">", 1.8))
		AddReportEntry("load after the fault", fmt.Sprintf("budget %.2f, two unconditional retries %.2f", withBudget, alwaysRetry))
	})
})

// simulateOverload sends 100 requests a second to targets that can serve 110,
// and 70 for ten seconds. Under overload the targets also waste work on
// requests that fail. It returns the ratio of the load to the callers' own
// requests, from ten seconds after the fault on.
func simulateOverload(budgeted bool) float64 {
	rnd := rand.New(rand.NewPCG(1, 1))
	b := retrybudget.New(retrybudget.Config{})
	var retriesAllowed [3]int // by the attempt that failed
	totalLoad := 0
	for second := range 60 {
		now, capacity := time.Duration(second)*time.Second, 110.0
		if second >= 10 && second < 20 {
			capacity = 70
		}
		for range 100 {
			b.RecordFirstAttempt(now, clinic)
		}
		attempts := [3]int{100, retriesAllowed[0], retriesAllowed[1]}
		load := attempts[0] + attempts[1] + attempts[2]
		served := min(1, capacity/float64(load))
		retriesAllowed = [3]int{}
		for n, count := range attempts {
			for range count {
				if rnd.Float64() >= served*served && n < 2 && (!budgeted || b.AllowRetry(now, clinic)) {
					retriesAllowed[n]++
				}
			}
		}
		if second >= 30 {
			totalLoad += load
		}
	}
	return float64(totalLoad) / 3000
}

func BenchmarkRetry(b *testing.B) {
	budget := retrybudget.New(retrybudget.Config{})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			budget.RecordFirstAttempt(0, clinic)
			budget.AllowRetry(0, clinic)
		}
	})
}
