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
			b.RecordFirstAttempt(0, clinic)
			if b.AllowRetry(0, clinic) {
				retries++
			}
		}
		Expect(retries).To(BeNumerically("~", 110, 1), "a tenth and the burst")
		Expect(b.AllowRetry(0, radio)).To(BeTrue())
		Expect(b.AllowRetry(5*time.Second, clinic)).To(BeTrue(), "the trickle")
		Expect(b.AllowRetry(5*time.Second, clinic)).To(BeFalse())
	})

	It("bounds a service's retries over all accounts, and its memory", func() {
		b := retrybudget.New(retrybudget.Config{MaxBuckets: 64})
		retries := 0
		for i := range 1000 {
			if b.AllowRetry(0, retrybudget.Key{Account: fmt.Sprint(i % 50), Service: "report"}) {
				retries++
			}
		}
		Expect(retries).To(Equal(100))
		for range 9 { // the service's trickle; what the account didn't get is still its own
			Expect(b.AllowRetry(5*time.Second, retrybudget.Key{Account: "0", Service: "report"})).To(BeTrue())
		}
		for i := range 1000 {
			b.RecordFirstAttempt(0, retrybudget.Key{Account: fmt.Sprint(i), Service: "report"})
		}
		Expect(b.Buckets()).To(BeNumerically("<=", 64))
	})

	It("keeps a fault from outliving its cause, unlike retry always", func() {
		ours, naive := storm(true), storm(false)
		Expect(ours).To(BeNumerically("<", 1.3))
		Expect(naive).To(BeNumerically(">", 1.8))
		AddReportEntry("load after the fault", fmt.Sprintf("budget %.2f, two retries always %.2f", ours, naive))
	})
})

// storm sends 100 requests a second to targets that bear 110, and 70 for ten
// seconds. Beyond that they also waste work on what fails. It gives the load
// over the callers' own requests from ten seconds after the fault on.
func storm(budgeted bool) float64 {
	rnd := rand.New(rand.NewPCG(1, 1))
	b := retrybudget.New(retrybudget.Config{})
	var failed [3]int // by the number of tries
	sent := 0
	for second := range 60 {
		now, bears := time.Duration(second)*time.Second, 110.0
		if second >= 10 && second < 20 {
			bears = 70
		}
		for range 100 {
			b.RecordFirstAttempt(now, clinic)
		}
		tries := [3]int{100, failed[0], failed[1]}
		load := tries[0] + tries[1] + tries[2]
		served := min(1, bears/float64(load))
		failed = [3]int{}
		for n, count := range tries {
			for range count {
				if rnd.Float64() >= served*served && n < 2 && (!budgeted || b.AllowRetry(now, clinic)) {
					failed[n]++
				}
			}
		}
		if second >= 30 {
			sent += load
		}
	}
	return float64(sent) / 3000
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
