package placement_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/placement"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

var _ = Describe("the choice of a target", func() {
	engine := func(id string, running, tokens, unread int) placement.Candidate {
		return placement.Candidate{ID: id, Running: running, Slots: 24, ReservedTokens: tokens, MemoryTokens: 34000, UnreadTokens: unread}
	}

	It("takes the least loaded target", func() {
		list := []placement.Candidate{engine("a", 6, 20000, 0), engine("b", 3, 9000, 0), engine("c", 5, 16000, 0)}
		for draw := 0.0; draw < 1; draw += 0.1 {
			Expect(placement.ChooseLeastLoaded(list, 3000, draw)).To(Equal(1))
		}
	})

	// An engine joins empty and every host sends it the next prompts. They are
	// read one after the other, so the last one waits for seconds while other
	// engines are idle between two steps.
	It("counts the unread prompts of a lightly loaded engine", func() {
		list := []placement.Candidate{engine("new", 2, 6000, 6000), engine("old", 4, 14000, 0)}
		Expect(placement.ChooseLeastLoaded(list, 3000, 0)).To(Equal(1))
	})

	It("prefers the host's own data centre only between targets of about equal load", func() {
		local, remote := engine("near", 4, 14000, 0), engine("far", 4, 13600, 0)
		remote.Penalty = placement.RemotePenalty
		Expect(placement.ChooseLeastLoaded([]placement.Candidate{local, remote}, 3000, 0.6)).To(Equal(0))
		local.ReservedTokens = 20000
		Expect(placement.ChooseLeastLoaded([]placement.Candidate{local, remote}, 3000, 0.1)).To(Equal(1))
	})

	It("returns -1 without candidates", func() { Expect(placement.ChooseLeastLoaded(nil, 1, 0.5)).To(Equal(-1)) })

	// 84 hosts place prompts on 48 engines and learn of each other's choices a
	// quarter of a second later. If every host takes the least loaded engine, a
	// dozen prompts queue at one engine while others are idle, and callers wait
	// seconds for the first token. Each round stands for the time in which no
	// host learns of the choices of the others.
	DescribeTable("doesn't send all hosts' prompts to one target", func(hosts, maxPerTarget int) {
		const targets, rounds, tokens = 48, 40, 2500
		rng := rand.New(rand.NewPCG(1, 2))
		maxSent := 0
		candidates := make([]placement.Candidate, targets)
		for range rounds {
			for i := range candidates {
				candidates[i] = placement.Candidate{Slots: 24, MemoryTokens: 30_000, ReservedTokens: rng.IntN(15_000)}
			}
			sent := make([]int, targets)
			for range 14 {
				order := rng.Perm(targets)[:placement.SampleSize(targets, hosts)]
				best := order[0]
				for _, index := range order {
					if placement.LoadWith(candidates[index], tokens) < placement.LoadWith(candidates[best], tokens) {
						best = index
					}
				}
				sent[best]++
			}
			maxSent = max(maxSent, slices.Max(sent))
		}
		Expect(maxSent).To(BeNumerically("<=", maxPerTarget))
	},
		Entry("a large fleet", 84, 6),
		Entry("a larger fleet", 300, 6),
	)

	DescribeTable("samples", func(targets, hosts, sample int) {
		Expect(placement.SampleSize(targets, hosts)).To(Equal(sample))
	},
		Entry("all engines of a small fleet", 9, 8, 9),
		Entry("some engines of a large fleet", 48, 84, 4),
		Entry("at least three engines", 200, 3000, 3),
		Entry("all engines if there are few", 3, 84, 3),
		Entry("no engine if there are none", 0, 84, 0),
	)
})
