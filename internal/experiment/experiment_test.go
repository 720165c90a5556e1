package experiment

import (
	"bytes"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/failure"
)

func TestExperiment(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "experiment")
}

func scenario(name string) Scenario {
	all := Scenarios()
	return all[slices.IndexFunc(all, func(s Scenario) bool { return s.Name == name })]
}

// short runs some policies of a scenario, each for the given time.
func short(name string, seed uint64, duration time.Duration, policies ...PolicySpec) []*Result {
	s := scenario(name)
	s.Duration, s.Policies = duration, policies
	results, err := measure(&s, seed)
	Expect(err).NotTo(HaveOccurred())
	return results
}

var _ = Describe("an experiment", func() {
	It("prints the same table for the same seed, and knows its names", func() {
		var first, second bytes.Buffer
		Expect(Run("slow-target", 3, &first)).To(Succeed())
		Expect(Run("slow-target", 3, &second)).To(Succeed())
		Expect(first.String()).To(And(Equal(second.String()), ContainSubstring("filbertdeck")))
		Expect(failure.KindOf(Run("no such", 1, &first))).To(Equal(failure.KindNotFound))
		Expect(Names()).To(ContainElements("mix-shift", "overload-5", "two-faults"))
	})

	DescribeTable("accounts for every request that was sent", func(name string) {
		s := scenario(name)
		s.Warmup, s.Duration = 0, 100*time.Second
		for _, spec := range s.Policies {
			w := newWorld(&s, spec, 1)
			r := w.run()
			Expect(r.Done+r.Refused+r.TimedOut+r.Lost+len(w.requests)).To(Equal(r.Sent), spec.Name)
		}
	}, Entry(nil, "overload-2"), Entry(nil, "poison"), Entry(nil, "two-faults"))
})

var _ = Describe("the allocator among engines", func() {
	// Engines are full all the time. Once their memory runs out in mid-decode,
	// callers see their streams stall while tokens are computed again.
	DescribeTable("preempts a hundredth of the slots of equal throughput", func(mix string, slots int) {
		results := short(mix, 1, 4*time.Minute, ours, slotsSpec(slots))
		Expect(results[0].Preemptions * 100).To(BeNumerically("<=", results[1].Preemptions))
		Expect(float64(results[0].Tokens)).To(BeNumerically(">", 0.95*float64(results[1].Tokens)))
	}, Entry("mixed", "mix-mixed", 112), Entry("long", "mix-long", 96))

	// Five times as much comes as can be served. Those who can't make it must
	// hear so at once, and the engines must stay busy with those who can.
	It("refuses at once under overload and loses no throughput", func() {
		results := short("overload-5", 2, 2*time.Minute, ours, leastConnections)
		Expect(results[0].refusals.ValueAtQuantile(99)).To(BeNumerically("<", 10_000))
		Expect(float64(results[0].GoodTokens)).To(BeNumerically(">", 0.95*float64(results[1].GoodTokens)))
		_, ratio := results[0].unfairness()
		Expect(ratio).To(BeNumerically("<", 1.1))
	})

	// A hot account sends three times what the engines serve. The small ones'
	// callers must hardly notice; first come, first served lets them time out.
	It("keeps small accounts' waits short beside a hot one", func() {
		results := short("hot-account", 1, 2*time.Minute, ours, slotsSpec(64))
		Expect(results[0].watchedFirst.ValueAtQuantile(50)).To(BeNumerically("<", 1_000_000))
		Expect(results[1].watchedFirst.ValueAtQuantile(50)).To(BeNumerically(">", 10_000_000))
	})

	// Engines that have just started fall over under full load, start again and
	// fall over again: the naive queue never gets them up.
	It("brings cold engines up without one falling over", func() {
		for seed := range uint64(5) {
			results := short("cold-target", seed, 100*time.Second, ours, leastConnections)
			Expect(results[0].FellOver).To(BeZero())
			Expect(results[0].Overborne).To(BeZero())
			Expect(results[1].FellOver).To(BeNumerically(">", 10))
		}
	})

	// One request kills each engine that runs it, and its caller sends it again.
	It("loses at most three engines to a poison request", func() {
		for seed := range uint64(3) {
			results := short("poison", seed, 3*time.Minute, ours, roundRobin)
			Expect(results[0].Crashes).To(BeNumerically("<=", 3))
			Expect(results[1].Crashes).To(BeNumerically(">", 10))
		}
	})

	It("gives engines of a data centre that was taken out nothing new", func() {
		Expect(short("data-centre", 1, 2*time.Minute, ours)[0].LateToLeaving).To(BeZero())
	})
})
