package contention_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/contention"
)

func TestContention(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "contention")
}

var _ = Describe("the policy of a service", func() {
	urgent := contention.Route{Priority: 0, Objective: 1500 * time.Millisecond}

	It("has generations with time to spare yield to the most urgent ones", func() {
		p := contention.PolicyOf([]contention.Route{{Priority: 2, Objective: 4 * time.Second}, urgent})
		Expect(p).To(Equal(contention.Policy{MostUrgentPriority: 0, MostUrgentObjective: urgent.Objective, Active: true}))
		Expect(p.Yields(2, 4*time.Second)).To(BeTrue())
		Expect(p.Yields(0, 4*time.Second)).To(BeFalse())
		Expect(p.Yields(2, 0)).To(BeFalse())
	})

	// Guards against generations that become late because they wait for others.
	It("is not active while all objectives are about the same", func() {
		Expect(contention.PolicyOf([]contention.Route{{Priority: 1, Objective: 1800 * time.Millisecond}, urgent}).Active).To(BeFalse())
	})

	It("is not active without objectives, and with one priority", func() {
		Expect(contention.PolicyOf(nil).Active).To(BeFalse())
		Expect(contention.PolicyOf([]contention.Route{{Priority: 0}, {Priority: 1, Objective: time.Second}}).Active).To(BeFalse())
		Expect(contention.PolicyOf([]contention.Route{urgent, {Priority: 0, Objective: 9 * time.Second}}).Active).To(BeFalse())
	})

	It("goes by the shortest objective of the most urgent routes", func() {
		p := contention.PolicyOf([]contention.Route{{Priority: 0}, {Priority: 0, Objective: 2 * time.Second}, urgent})
		Expect(p.MostUrgentObjective).To(Equal(urgent.Objective))
	})
})

var _ = Describe("a mode", func() {
	It("applies by the policy, always or never", func() {
		active, inactive := contention.Policy{MostUrgentObjective: time.Second, Active: true}, contention.Policy{MostUrgentObjective: time.Second}
		Expect([]bool{contention.Auto.On(active), contention.Always.On(inactive), contention.Auto.On(inactive), contention.Always.On(contention.Policy{}), contention.Never.On(active)}).
			To(Equal([]bool{true, true, false, false, false}))
	})
})
