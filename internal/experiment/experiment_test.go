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

func scenarioNamed(name string) Scenario {
	all := Scenarios()
	return all[slices.IndexFunc(all, func(s Scenario) bool { return s.Name == name })]
}

// runShort runs a scenario for the given duration under the given policies.
func runShort(name string, seed uint64, duration time.Duration, policies ...PolicySpec) []*Result {
	s := scenarioNamed(name)
	s.Duration, s.Policies = duration, policies
	results, err := runPolicies(&s, seed)
	Expect(err).NotTo(HaveOccurred())
	return results
}

var _ = Describe("Run", func() {
	It("prints the same table for the same seed and lists the scenario names", func() {
		var first, second bytes.Buffer
		Expect(Run("slow-target", 3, &first)).To(Succeed())
		Expect(Run("slow-target", 3, &second)).To(Succeed())
		Expect(first.String()).To(And(Equal(second.String()), ContainSubstring("filbertdeck")))
		Expect(failure.KindOf(Run("no such", 1, &first))).To(Equal(failure.KindNotFound))
		Expect(ScenarioNames()).To(ContainElements("mix-shift", "overload-5", "two-faults"))
	})

	DescribeTable("records an outcome for every request sent", func(name string) {
		s := scenarioNamed(name)
		s.Warmup, s.Duration = 0, 100*time.Second
		for _, spec := range s.Policies {
			sim := newSimulation(&s, spec, 1)
			r := sim.run()
			Expect(r.Completed+r.Refused+r.TimedOut+r.Lost+len(sim.requests)).To(Equal(r.Sent), spec.Name)
		}
	}, Entry(nil, "overload-2"), Entry(nil, "poison"), Entry(nil, "two-faults"))
})

var _ = Describe("the allocator compared with baseline policies", func() {
	// All engines are saturated. An engine that runs out of memory while decoding
	// preempts requests, and their streams stall while tokens are recomputed.
	DescribeTable("preempts at most a hundredth as often as a concurrency limit of equal throughput", func(mix string, limit int) {
		results := runShort(mix, 1, 4*time.Minute, allocatorSpec, concurrencyLimitSpec(limit))
		Expect(results[0].Preemptions * 100).To(BeNumerically("<=", results[1].Preemptions))
		Expect(float64(results[0].Tokens)).To(BeNumerically(">", 0.95*float64(results[1].Tokens)))
	}, Entry("mixed", "mix-mixed", 112), Entry("long", "mix-long", 96))

	// The load is five times the capacity. Requests that can't be served in time
	// must be refused at once, and the engines must stay busy with the others.
	It("refuses excess requests at once under overload and keeps the throughput", func() {
		results := runShort("overload-5", 2, 2*time.Minute, allocatorSpec, leastConnections)
		Expect(results[0].refusalTimes.ValueAtQuantile(99)).To(BeNumerically("<", 10_000))
		Expect(float64(results[0].GoodTokens)).To(BeNumerically(">", 0.95*float64(results[1].GoodTokens)))
		_, maxMinRatio := results[0].unfairness()
		Expect(maxMinRatio).To(BeNumerically("<", 1.1))
	})

	// One account sends three times the engines' capacity. The waits of the other
	// accounts must stay short; with a first come, first served queue their callers
	// time out.
	It("keeps the waits of small accounts short next to a hot account", func() {
		results := runShort("hot-account", 1, 2*time.Minute, allocatorSpec, concurrencyLimitSpec(64))
		Expect(results[0].watchedFirstTokenTimes.ValueAtQuantile(50)).To(BeNumerically("<", 1_000_000))
		Expect(results[1].watchedFirstTokenTimes.ValueAtQuantile(50)).To(BeNumerically(">", 10_000_000))
	})

	// Engines that have just started fail under full load, restart and fail again:
	// with least connections they never warm up.
	It("warms up cold engines without an overload failure", func() {
		for seed := range uint64(5) {
			results := runShort("cold-target", seed, 100*time.Second, allocatorSpec, leastConnections)
			Expect(results[0].OverloadFailures).To(BeZero())
			Expect(results[0].OverCapacity).To(BeZero())
			Expect(results[1].OverloadFailures).To(BeNumerically(">", 10))
		}
	})

	// A request crashes each engine that runs it, and its caller retries it.
	It("limits a poison request to three engine crashes", func() {
		for seed := range uint64(3) {
			results := runShort("poison", seed, 3*time.Minute, allocatorSpec, roundRobin)
			Expect(results[0].Crashes).To(BeNumerically("<=", 3))
			Expect(results[1].Crashes).To(BeNumerically(">", 10))
		}
	})

	It("sends no new requests to the engines of a data centre that was taken out", func() {
		Expect(runShort("data-centre", 1, 2*time.Minute, allocatorSpec)[0].LateGrantsToLeaving).To(BeZero())
	})
})
