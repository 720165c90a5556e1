package prefill_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/placement"
	"filbertdeck/internal/decide/prefill"
)

func TestPrefill(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "prefill")
}

var _ = Describe("the limit on unread prompts", func() {
	const step = 8 * time.Millisecond
	busy := placement.Candidate{Running: 3, TimePerToken: step}
	urgent := prefill.Urgent{Objective: 1500 * time.Millisecond, PromptTokens: 2200}

	DescribeTable("is what an engine reads in half of the objective, less an urgent prompt",
		func(u prefill.Urgent, c placement.Candidate, tokens int) {
			Expect(prefill.For(u, 100).Tokens(c)).To(BeNumerically("~", tokens, 1))
		},
		Entry("beside others", urgent, busy, 2487),
		Entry("at an idle engine", urgent, placement.Candidate{TimePerToken: step}, 7175),
		Entry("at a fast engine", urgent, placement.Candidate{Running: 3, TimePerToken: step / 2}, 7175),
		Entry("on a machine that is slow now", urgent, placement.Candidate{Running: 3, TimePerToken: step, Slowdown: 1.5}, 925),
		Entry("at a slow engine, never below zero", urgent, placement.Candidate{Running: 3, TimePerToken: 4 * step}, 0),
		Entry("while no urgent prompt is known", prefill.Urgent{Objective: urgent.Objective}, busy, 2343),
		Entry("with short urgent prompts", prefill.Urgent{Objective: 500 * time.Millisecond, PromptTokens: 200}, busy, 1362),
	)

	// Guards against engines that get no prompts of the less urgent kind at all.
	It("allows any prompt at an engine with nothing unread", func() {
		Expect(prefill.For(prefill.Urgent{Objective: time.Millisecond, PromptTokens: 9000}, 3000).Allows(busy)).To(BeTrue())
	})

	// Guards against prompts, longer than the urgent objective allows, that are spread over all
	// engines and leave none for the urgent ones.
	It("does not apply where the generation's own prompt makes urgent ones late", func() {
		loaded, slow := busy, busy
		loaded.UnreadTokens, slow.UnreadTokens, slow.Slowdown = 20_000, 20_000, 2
		Expect(prefill.For(urgent, 7100).Allows(loaded)).To(BeFalse())
		Expect(prefill.For(urgent, 7200).Allows(loaded)).To(BeTrue())
		Expect(prefill.For(urgent, 3000).Allows(loaded)).To(BeFalse())
		Expect(prefill.For(urgent, 3000).Allows(slow)).To(BeTrue())
	})

	It("counts all prompts before the generation", func() {
		loaded := busy
		loaded.UnreadTokens = 2487
		Expect(prefill.For(urgent, 3000).Allows(loaded)).To(BeTrue())
		loaded.UnreadTokens++
		Expect(prefill.For(urgent, 3000).Allows(loaded)).To(BeFalse())
	})

	It("does not apply if the most urgent ones have no objective", func() {
		Expect(prefill.For(prefill.Urgent{PromptTokens: 2200}, 3000)).To(BeNil())
	})
})

var _ = Describe("the mean length of prompts", func() {
	It("follows what was seen", func() {
		var m prefill.MeanTokens
		Expect(m.Tokens()).To(BeZero())
		m.Add(200)
		Expect(m.Tokens()).To(Equal(200))
		for range 30 {
			m.Add(2200)
		}
		Expect(m.Tokens()).To(BeNumerically("~", 2200, 100))
	})
})
