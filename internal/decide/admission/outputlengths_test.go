package admission

import (
	. "github.com/onsi/gomega"
)

// countAdmittedSummaries trains an allocator with summaries of 40 tokens and
// reports of 3,000, and returns how many summaries it then admits to one engine
// at once. nameServices tells whether requests name their service.
func countAdmittedSummaries(nameServices bool) int {
	r := newHarness(1, Config{})
	service := func(name string) func(*Ask) {
		return func(a *Ask) {
			a.PromptTokens, a.MaxTokens = 50, 4000
			if nameServices {
				a.Service = name
			}
		}
	}
	workloads := []struct {
		name   string
		tokens int
	}{{"summaries", 40}, {"reports", 3000}}
	for range 120 {
		for _, s := range workloads {
			r.now += sec
			r.SetConfirmedOwner(r.now, true)
			r.report("e0", Report{Capacity: 64, KVCapacityTokens: 10_000})
			id := r.ask("a", service(s.name))
			r.decide()
			Expect(r.granted).To(HaveKey(id))
			r.settle(id, OutcomeDone, s.tokens)
		}
	}
	r.now += sec
	r.SetConfirmedOwner(r.now, true)
	before := len(r.granted)
	r.report("e0", Report{Capacity: 64, KVCapacityTokens: 10_000})
	r.askMany(64, "a", service("summaries"))
	r.decide()
	return len(r.granted) - before
}

var _ = Describe("services that share engines", func() {
	// Reports of 3,000 tokens and summaries of 40 run on the same engines.
	// Predicted from a common distribution, every summary could become a
	// report, and the engine stays half empty while requests wait.
	It("are predicted from their own output lengths", func() {
		pooled, perService := countAdmittedSummaries(false), countAdmittedSummaries(true)
		AddReportEntry("summaries admitted to one engine: common distribution, per service", []int{pooled, perService})
		Expect(perService).To(BeNumerically(">=", 3*pooled))
	})
})
