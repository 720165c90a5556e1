package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/placement"
)

var _ = Describe("the choice of an engine for an urgent generation", func() {
	const (
		step      = 8 * time.Millisecond
		objective = 500 * time.Millisecond
		share     = 1.1
	)
	short := placement.Workload{PromptTokens: 200, OutputTokens: 10, FirstTokenObjective: objective}
	engine := func(running, unread int, countsAge time.Duration) placement.Candidate {
		return placement.Candidate{Running: running, Slots: 24, ReservedTokens: 3000 * running, MemoryTokens: 27_000, UnreadTokens: unread, TimePerToken: step, CountsAge: countsAge}
	}
	var (
		free    = engine(3, 0, 0)
		reading = engine(1, 9000, 0)
		// silent looks idle by counts that its owner has not confirmed for a second.
		silent = engine(0, 0, time.Second)
		full   = engine(10, 0, 0)
	)
	choose := func(list ...placement.Candidate) []int {
		var chosen []int
		for draw := 0.0; draw < 1; draw += 0.25 {
			chosen = append(chosen, placement.ChooseEngineInTime(list, short, objective/2, share, draw))
		}
		return chosen
	}

	// Guards against urgent generations that go to an engine because its owner did not
	// answer: it looks idle while it prefills a long prompt of another host.
	It("prefers one that is in time by recent counts to one that looks better by old ones", func() {
		Expect(choose(silent, free, reading)).To(HaveEach(1))
	})

	It("takes old counts where no engine is in time by recent ones", func() {
		Expect(choose(reading, silent, full)).To(HaveEach(1))
	})

	It("is made among all where none is in time", func() {
		Expect(choose(reading, engine(1, 8000, 0))).To(HaveEach(1))
	})

	DescribeTable("waits for one only if the generation would be late at all that are known",
		func(late bool, list ...placement.Candidate) {
			Expect(placement.LateEverywhere(list, short, share)).To(Equal(late))
		},
		Entry("all prefill long prompts", true, reading, reading),
		Entry("one is free", false, reading, free),
		Entry("the free one has no memory", true, reading, full),
		Entry("an engine that is not known may be free", true, reading, reading, silent),
		Entry("prompts that leave enough time", false, reading, engine(1, 2500, 0)),
		Entry("no engine", false),
		// Guards against waits in vain of a host that is cut off from owners.
		Entry("few owners answer", false, reading, silent, silent),
		Entry("no owner answers", false, silent, silent),
	)
})
