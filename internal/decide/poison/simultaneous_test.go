package poison_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/poison"
)

// serviceTargets is the number of targets of a small service, rackTargets that of a rack.
const serviceTargets, rackTargets = 3, 6

// evidenceHost is a detector with the crashes that it has been told of.
type evidenceHost struct {
	*poison.Detector
	id uint64
}

func newEvidenceHost() *evidenceHost { return &evidenceHost{Detector: poison.New(poison.Config{})} }

// crash records the end of another target.
func (h *evidenceHost) crash(at time.Duration, suspects ...poison.Request) {
	h.id++
	h.AddCrash(at, h.id, suspects)
}

func (h *evidenceHost) refuses(at time.Duration, r poison.Request) bool {
	return h.Assess(at, r).Verdict == poison.Blocked
}

var _ = Describe("crashes that lie close together", func() {
	const ms = time.Millisecond
	deadly, sound := requestOf(poisonFingerprint), requestOf(innocentFingerprint)
	other := func(n int) poison.Request { return requestOf(uint64(1000 + n)) }

	// Guards against a request that ends all targets of a service together, so that none is left for a third crash.
	It("each count against the request that ran on all targets which ended", func() {
		for span := 0 * ms; span <= 45*ms; span += ms {
			h := newEvidenceHost()
			for i := range serviceTargets {
				h.crash(span*time.Duration(i)/(serviceTargets-1), deadly, other(i))
			}
			Expect(h.refuses(second, deadly)).To(BeTrue(), "ended within %v", span)
			Expect(h.refuses(second, other(0))).To(BeFalse(), "ended within %v", span)
		}
	})

	// Guards against hosts that differ in their verdicts since they learned of the same crashes at different times.
	It("lead to the same verdict on hosts that learned of them at different times", func() {
		for gap := 0 * ms; gap <= 45*ms; gap += ms {
			for late := 0 * ms; late <= 6*ms; late += ms {
				first, second := newEvidenceHost(), newEvidenceHost()
				for i := range serviceTargets {
					first.crash(gap*time.Duration(i), deadly)
					second.crash(gap*time.Duration(i)+late*time.Duration(i%2), deadly)
				}
				Expect(second.refuses(time.Second, deadly)).To(Equal(first.refuses(time.Second, deadly)), "%v apart, learned %v late", gap, late)
			}
		}
	})

	// Guards against hosts that stay apart on whether another target ended at the same time.
	It("lead to the same verdict on hosts that dated them differently and told each other", func() {
		for gap := 10 * ms; gap <= 30*ms; gap += ms {
			for late := 0 * ms; late <= 25*ms; late += ms {
				hosts := []*evidenceHost{newEvidenceHost(), newEvidenceHost()}
				for i, h := range hosts {
					for n := range serviceTargets {
						h.crash(time.Duration(n)*ms+late*time.Duration((n+i)%2), deadly)
					}
					h.crash(2*ms+gap+late*time.Duration(i), other(0))
				}
				for range 2 {
					hosts[0].Merge(second, hosts[1].Export(second, 32))
					hosts[1].Merge(second, hosts[0].Export(second, 32))
				}
				Expect(hosts[1].refuses(second, deadly)).To(Equal(hosts[0].refuses(second, deadly)), "%v apart, dated %v late", gap, late)
			}
		}
	})

	// Guards against sound content that is refused since a rack lost power while it ran on some of its targets.
	DescribeTable("count once against what ran on some of the targets that ended", func(suspect func(n int) poison.Request, again poison.Request) {
		h := newEvidenceHost()
		for i := range rackTargets {
			suspects := []poison.Request{other(i)}
			if i%2 == 0 {
				suspects = append(suspects, suspect(i))
			}
			h.crash(time.Duration(i)*ms, suspects...)
		}
		Expect(h.refuses(2*second, again)).To(BeFalse())
	},
		Entry("new content", func(int) poison.Request { return sound }, sound),
		Entry("a new part of prompts",
			func(n int) poison.Request {
				return poison.Request{Fingerprint: uint64(2000 + n), Parts: []uint64{9_001}}
			},
			poison.Request{Fingerprint: 3000, Parts: []uint64{9_001}}),
	)

	// Guards against a request that hides behind the loss of a rack.
	It("do not hide the earlier crashes of a request", func() {
		h := newEvidenceHost()
		h.crash(0, deadly)
		h.crash(second, deadly)
		for i := range rackTargets {
			suspects := []poison.Request{other(i)}
			if i == 0 {
				suspects = append(suspects, deadly)
			}
			h.crash(2*second+time.Duration(i)*ms, suspects...)
		}
		Expect(h.refuses(3*second, deadly)).To(BeTrue())
	})

	// Guards against frequent content that is refused after the loss of a whole service.
	It("do not lead to a refusal of frequent content after one loss of all targets", func() {
		h := newEvidenceHost()
		h.AddCompletion(0, sound)
		for i := range 8 * serviceTargets {
			h.crash(second+time.Duration(i)*ms, sound, other(i))
		}
		Expect(h.refuses(2*second, sound)).To(BeFalse())
	})
})

var _ = Describe("content that completed before", func() {
	// restartPeriod is the time from one end of a service's targets to the next.
	const restartPeriod = 3500 * time.Millisecond
	// Guards against content that was sound until something changed, and ends targets from then on.
	It("is refused once its crashes go on without a completion", func() {
		deadly := requestOf(poisonFingerprint)
		h := newEvidenceHost()
		h.AddCompletion(0, deadly)
		ends := 0
		for round := range 8 {
			at := second + time.Duration(round)*restartPeriod
			if h.refuses(at, deadly) {
				break
			}
			for i := range serviceTargets {
				h.crash(at+time.Duration(i)*10*time.Millisecond, deadly, requestOf(uint64(1000+ends)))
				ends++
			}
		}
		AddReportEntry("ends", fmt.Sprint(ends))
		Expect(ends).To(BeNumerically("<=", 9))
	})
})
