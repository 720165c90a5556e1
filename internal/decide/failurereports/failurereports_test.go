package failurereports_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/failurereports"
)

func TestFailureReports(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "accusers")
}

var _ = Describe("failure reports of a target", func() {
	// A host is cut off from some healthy targets and reports its failures to
	// all others. If its report alone were sufficient, all hosts would avoid
	// these targets and overload the rest.
	It("count only when two hosts send them", func() {
		b := failurereports.New()
		for n := range uint32(9) {
			b.RecordFailures(0, "host-1", "app-1", n+1)
		}
		Expect(b.Penalty(0, "app-1")).To(BeZero())
		b.RecordFailures(0, "host-2", "app-1", 1)
		Expect(b.Penalty(0, "app-1")).To(BeNumerically(">", 0.4))
	})

	It("expire some seconds after the last failure, even if the same count is reported again", func() {
		b := failurereports.New()
		for now := time.Duration(0); now < 5*time.Second; now += time.Second {
			b.RecordFailures(now, "host-1", "app-1", 3)
			b.RecordFailures(now, "host-2", "app-1", 2)
		}
		Expect(b.Penalty(3*time.Second, "app-1")).NotTo(BeZero())
		Expect(b.Penalty(5*time.Second, "app-1")).To(BeZero())
	})

	It("are removed with the target", func() {
		b := failurereports.New()
		b.RecordFailures(0, "host-1", "app-1", 1)
		b.RecordFailures(0, "host-2", "app-1", 1)
		b.Retain(func(string) bool { return false })
		Expect(b.Penalty(0, "app-1")).To(BeZero())
	})

	// One of four targets breaks each connection for six seconds while its
	// health checks succeed. Callers whose bookings go there must start again.
	// If each host detects the fault only from its own requests, each loses at
	// least one booking.
	It("keep the hosts of a fleet from failing at the same target one after the other", func() {
		const hosts, targets, requestsPerSecond, reportDelay = 84, 4, 150, 200 * time.Millisecond
		countLost := func(shareReports bool) int {
			rng := rand.New(rand.NewPCG(3, 4))
			trackers := make([]*failurereports.Tracker, hosts)
			ownFailureAt := make([]time.Duration, hosts)
			for i := range trackers {
				trackers[i], ownFailureAt[i] = failurereports.New(), -time.Hour
			}
			type report struct {
				deliverAt time.Duration
				host      string
				failures  uint32
			}
			var undelivered []report
			failures, lost := make([]uint32, hosts), 0
			for n := range 6 * requestsPerSecond {
				now := time.Duration(n) * time.Second / requestsPerSecond
				for shareReports && len(undelivered) > 0 && undelivered[0].deliverAt <= now {
					for _, tracker := range trackers {
						tracker.RecordFailures(now, undelivered[0].host, "bad", undelivered[0].failures)
					}
					undelivered = undelivered[1:]
				}
				h := rng.IntN(hosts)
				avoids := now-ownFailureAt[h] < 4*time.Second || trackers[h].Penalty(now, "bad") > 0
				if avoids || rng.IntN(targets) > 0 {
					continue
				}
				lost++
				ownFailureAt[h] = now
				failures[h]++
				undelivered = append(undelivered, report{now + reportDelay, fmt.Sprint("host-", h), failures[h]})
			}
			return lost
		}
		isolated, shared := countLost(false), countLost(true)
		AddReportEntry("bookings lost", fmt.Sprintf("without reports %d, with reports %d", isolated, shared))
		Expect(shared).To(BeNumerically("<", isolated/3))
	})
})
