package placement_test

import (
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
		return placement.Candidate{ID: id, Running: running, Slots: 24, Tokens: tokens, Memory: 34000, Unread: unread}
	}

	It("takes the emptiest", func() {
		list := []placement.Candidate{engine("a", 6, 20000, 0), engine("b", 3, 9000, 0), engine("c", 5, 16000, 0)}
		for draw := 0.0; draw < 1; draw += 0.1 {
			Expect(placement.Choose(list, 3000, draw)).To(Equal(1))
		}
	})

	// An engine joins empty, and every host sends it its next prompts. They
	// are read one after the other, and the last waits for seconds while older
	// engines are idle between two steps.
	It("counts the prompts that an empty engine has yet to read", func() {
		list := []placement.Candidate{engine("new", 2, 6000, 6000), engine("old", 4, 14000, 0)}
		Expect(placement.Choose(list, 3000, 0)).To(Equal(1))
	})

	It("prefers the own data centre only among about equals", func() {
		near, far := engine("near", 4, 14000, 0), engine("far", 4, 13600, 0)
		far.Penalty = placement.RemoteCharge
		Expect(placement.Choose([]placement.Candidate{near, far}, 3000, 0.6)).To(Equal(0))
		near.Tokens = 20000
		Expect(placement.Choose([]placement.Candidate{near, far}, 3000, 0.1)).To(Equal(1))
	})

	It("finds none among none", func() { Expect(placement.Choose(nil, 1, 0.5)).To(Equal(-1)) })
})
