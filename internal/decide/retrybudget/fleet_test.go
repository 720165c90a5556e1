package retrybudget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"filbertdeck/internal/decide/retrybudget"
)

// fleetLoad is a load on hosts that share one bound on retries.
type fleetLoad struct {
	hosts, accounts int
	// requestsPerSecond come to all hosts together; failing is the share that fails.
	requestsPerSecond int
	failing           float64
}

const (
	fleetRatio, fleetBurst = 0.2, 640.0
	fleetWindow            = 10 * time.Second
)

// play returns the number of failed requests, and the number of retries in each window
// of the play, beside the number of requests in it.
func (l fleetLoad) play(length time.Duration) (failed int, retries, requests []int) {
	rng := rand.New(rand.NewPCG(1, uint64(l.hosts)))
	budgets := make([]*retrybudget.Budget, l.hosts)
	for i := range budgets {
		budgets[i] = retrybudget.New(retrybudget.Config{
			RetryRatio: fleetRatio, Burst: fleetBurst / 2, ServiceBurst: fleetBurst, RefillPerSecond: retrybudget.NoRefill, Draw: rng.Float64,
		})
		budgets[i].SetHostCount(l.hosts)
	}
	windows := int(length / fleetWindow)
	retries, requests = make([]int, windows), make([]int, windows)
	for i := range l.requestsPerSecond * int(length/time.Second) {
		now := time.Duration(i) * time.Second / time.Duration(l.requestsPerSecond)
		budget, key := budgets[rng.IntN(l.hosts)], retrybudget.Key{Account: fmt.Sprint(rng.IntN(l.accounts)), Service: "app"}
		budget.RecordFirstAttempt(now, key)
		window := int(now / fleetWindow)
		requests[window]++
		if rng.Float64() >= l.failing {
			continue
		}
		failed++
		if budget.AllowRetry(now, key) {
			retries[window]++
		}
	}
	return failed, retries, requests
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// Guards against a fleet in which no host ever retries because its share of the bound
// is less than one retry.
func TestLargeFleetsRetry(t *testing.T) {
	for _, hosts := range []int{8, 84, 585, 3300} {
		l := fleetLoad{hosts: hosts, accounts: 200, requestsPerSecond: 136, failing: 0.04}
		failed, retries, _ := l.play(40 * time.Second)
		t.Logf("%d hosts: %d of %d failed requests retried", hosts, sum(retries), failed)
		// Half of what a host's share of the smaller burst allows on the mean.
		if least := min(1, fleetBurst/2/float64(hosts)) / 2 * float64(failed); float64(sum(retries)) < least {
			t.Errorf("%d hosts: %d of %d failed requests retried, want %.0f at least", hosts, sum(retries), failed, least)
		}
	}
}

// Guards against a fleet whose hosts together retry more than the bound allows when
// every request fails.
func TestLargeFleetsKeepToTheBound(t *testing.T) {
	for _, hosts := range []int{8, 84, 585, 3300} {
		for _, perSecond := range []int{136, 5000} {
			l := fleetLoad{hosts: hosts, accounts: 20, requestsPerSecond: perSecond, failing: 1}
			_, retries, requests := l.play(40 * time.Second)
			for window, n := range retries {
				if allowed := fleetRatio*float64(requests[window]) + fleetBurst; float64(n) > allowed {
					t.Errorf("%d hosts, %d requests a second: %d retries in window %d, allowed %.0f", hosts, perSecond, n, window, allowed)
				}
			}
		}
	}
}
