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

	It("takes the emptiest", func() {
		list := []placement.Candidate{engine("a", 6, 20000, 0), engine("b", 3, 9000, 0), engine("c", 5, 16000, 0)}
		for draw := 0.0; draw < 1; draw += 0.1 {
			Expect(placement.ChooseLeastLoaded(list, 3000, draw)).To(Equal(1))
		}
	})

	// An engine joins empty, and every host sends it its next prompts. They
	// are read one after the other, and the last waits for seconds while older
	// engines are idle between two steps.
	It("counts the prompts that an empty engine has yet to read", func() {
		list := []placement.Candidate{engine("new", 2, 6000, 6000), engine("old", 4, 14000, 0)}
		Expect(placement.ChooseLeastLoaded(list, 3000, 0)).To(Equal(1))
	})

	It("prefers the own data centre only among about equals", func() {
		near, far := engine("near", 4, 14000, 0), engine("far", 4, 13600, 0)
		far.Penalty = placement.RemotePenalty
		Expect(placement.ChooseLeastLoaded([]placement.Candidate{near, far}, 3000, 0.6)).To(Equal(0))
		near.ReservedTokens = 20000
		Expect(placement.ChooseLeastLoaded([]placement.Candidate{near, far}, 3000, 0.1)).To(Equal(1))
	})

	It("finds none among none", func() { Expect(placement.ChooseLeastLoaded(nil, 1, 0.5)).To(Equal(-1)) })

	// 84 hosts place prompts on 48 engines and hear of each other's choices a
	// quarter of a second late. If all take the emptiest of all, a dozen prompts
	// queue at one engine while others idle, and clerks wait seconds for a first
	// word. The rounds stand for the time in which nobody hears of the others.
	DescribeTable("doesn't send all hosts' prompts to one target", func(hosts, most int) {
		const targets, rounds, tokens = 48, 40, 2500
		draw := rand.New(rand.NewPCG(1, 2))
		worst := 0
		candidates := make([]placement.Candidate, targets)
		for range rounds {
			for i := range candidates {
				candidates[i] = placement.Candidate{Slots: 24, MemoryTokens: 30_000, ReservedTokens: draw.IntN(15_000)}
			}
			got := make([]int, targets)
			for range 14 {
				order := draw.Perm(targets)[:placement.SampleSize(targets, hosts)]
				best := order[0]
				for _, at := range order {
					if placement.Load(candidates[at], tokens) < placement.Load(candidates[best], tokens) {
						best = at
					}
				}
				got[best]++
			}
			worst = max(worst, slices.Max(got))
		}
		Expect(worst).To(BeNumerically("<=", most))
	},
		Entry("a large fleet", 84, 6),
		Entry("a larger one", 300, 6),
	)

	DescribeTable("looks at", func(targets, hosts, sample int) {
		Expect(placement.SampleSize(targets, hosts)).To(Equal(sample))
	},
		Entry("all engines of a small fleet", 9, 8, 9),
		Entry("some of a large one's", 48, 84, 4),
		Entry("three at least", 200, 3000, 3),
		Entry("all where there are few", 3, 84, 3),
		Entry("none of none", 0, 84, 0),
	)
})
