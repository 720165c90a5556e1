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

func TestAccusers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "accusers")
}

var _ = Describe("accusations of a target", func() {
	// A host is cut off from some targets that are well, and tells everyone of
	// its failures. If it were believed alone, all would crowd the other targets.
	It("by one host count for nothing, by two they do", func() {
		b := failurereports.New()
		for n := range uint32(9) {
			b.RecordFailures(0, "host-1", "app-1", n+1)
		}
		Expect(b.Penalty(0, "app-1")).To(BeZero())
		b.RecordFailures(0, "host-2", "app-1", 1)
		Expect(b.Penalty(0, "app-1")).To(BeNumerically(">", 0.4))
	})

	It("end some seconds after the last failure, also when the count is told again", func() {
		b := failurereports.New()
		for now := time.Duration(0); now < 5*time.Second; now += time.Second {
			b.RecordFailures(now, "host-1", "app-1", 3)
			b.RecordFailures(now, "host-2", "app-1", 2)
		}
		Expect(b.Penalty(3*time.Second, "app-1")).NotTo(BeZero())
		Expect(b.Penalty(5*time.Second, "app-1")).To(BeZero())
	})

	It("are forgotten with the target", func() {
		b := failurereports.New()
		b.RecordFailures(0, "host-1", "app-1", 1)
		b.RecordFailures(0, "host-2", "app-1", 1)
		b.Retain(func(string) bool { return false })
		Expect(b.Penalty(0, "app-1")).To(BeZero())
	})

	// One of four targets breaks each connection for six seconds, and its health
	// is good. Captains whose bookings go there must start anew; a fleet in which
	// each host finds out by itself loses one booking or more for each host.
	It("keep a fleet from failing at the same target one host after the other", func() {
		const hosts, targets, perSecond, tellAfter = 84, 4, 150, 200 * time.Millisecond
		lost := func(told bool) int {
			draw := rand.New(rand.NewPCG(3, 4))
			boards := make([]*failurereports.Tracker, hosts)
			own := make([]time.Duration, hosts)
			for i := range boards {
				boards[i], own[i] = failurereports.New(), -time.Hour
			}
			type news struct {
				at       time.Duration
				host     string
				failures uint32
			}
			var waiting []news
			failures, lost := make([]uint32, hosts), 0
			for n := range 6 * perSecond {
				now := time.Duration(n) * time.Second / perSecond
				for told && len(waiting) > 0 && waiting[0].at <= now {
					for _, b := range boards {
						b.RecordFailures(now, waiting[0].host, "bad", waiting[0].failures)
					}
					waiting = waiting[1:]
				}
				h := draw.IntN(hosts)
				avoids := now-own[h] < 4*time.Second || boards[h].Penalty(now, "bad") > 0
				if avoids || draw.IntN(targets) > 0 {
					continue
				}
				lost++
				own[h] = now
				failures[h]++
				waiting = append(waiting, news{now + tellAfter, fmt.Sprint("host-", h), failures[h]})
			}
			return lost
		}
		alone, together := lost(false), lost(true)
		AddReportEntry("bookings lost", fmt.Sprintf("alone %d, together %d", alone, together))
		Expect(together).To(BeNumerically("<", alone/3))
	})
})
