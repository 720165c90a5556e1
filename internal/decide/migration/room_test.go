package migration_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/migration"
)

var _ = Describe("moves that wait for room", func() {
	// order returns the tokens of the moves in the order in which they search.
	order := func(moves ...migration.Waiting) (tokens []int) {
		for {
			i := migration.Next(moves)
			if i < 0 {
				return tokens
			}
			tokens = append(tokens, moves[i].Tokens)
			moves = append(moves[:i:i], moves[i+1:]...)
		}
	}

	// Guards against a generation that is lost because one with more time, or one that
	// fits into less room, took the room before it.
	It("search in the order of the time left, larger ones first", func() {
		Expect(order(
			migration.Waiting{UntilStop: 2 * time.Second, Tokens: 6000}, migration.Waiting{UntilStop: time.Second, Tokens: 1000},
			migration.Waiting{UntilStop: 2 * time.Second, Tokens: 7000}, migration.Waiting{UntilStop: time.Second, Tokens: 3000},
		)).To(Equal([]int{3000, 1000, 7000, 6000}))
		Expect(order()).To(BeEmpty())
	})

	// Guards against copies that queue on an engine's link while they hold room, and against
	// moves that wait for a link which they do not use.
	It("do not search while enough copies are made from their engine", func() {
		Expect(order(
			migration.Waiting{UntilStop: time.Second, Tokens: 1, Copies: true, CopiesInProgress: 2},
			migration.Waiting{UntilStop: time.Second, Tokens: 2, CopiesInProgress: 2},
			migration.Waiting{UntilStop: time.Second, Tokens: 3, Copies: true, CopiesInProgress: 1},
		)).To(Equal([]int{3, 2}))
	})

	// Guards against moves that search again and again before others have searched once, and
	// against a new one that takes the room for which others wait.
	It("search once in each round", func() {
		searched := migration.Waiting{UntilStop: time.Second, Tokens: 2, Searched: true}
		Expect(order(searched, migration.Waiting{UntilStop: 2 * time.Second, Tokens: 1})).To(Equal([]int{1}))
		Expect(migration.WaitsForRound(migration.Waiting{UntilStop: 2 * time.Second}, []migration.Waiting{searched})).To(BeTrue())
		Expect(migration.WaitsForRound(migration.Waiting{UntilStop: time.Second, Tokens: 3}, []migration.Waiting{searched})).To(BeFalse())
	})

	It("take any engine shortly before theirs stops", func() {
		Expect(migration.TakesAnyEngine(401 * time.Millisecond)).To(BeFalse())
		Expect(migration.TakesAnyEngine(400 * time.Millisecond)).To(BeTrue())
		Expect(migration.TakesAnyEngine(-time.Second)).To(BeTrue())
	})

	It("ask for two copies", func() {
		Expect(migration.MayAskForCopy(1)).To(BeTrue())
		Expect(migration.MayAskForCopy(2)).To(BeFalse())
	})
})

var _ = Describe("a generation without a first event at an engine that leaves", func() {
	// Guards against a second run of a generation that may run once, and against more runs
	// than the route allows.
	DescribeTable("may be withdrawn", func(resumable bool, attempts int, may bool) {
		Expect(migration.Unstarted{Resumable: resumable, Attempts: attempts, MaxAttempts: 2}.MayWithdraw()).To(Equal(may))
	},
		Entry("on a resumable route with attempts left", true, 1, true),
		Entry("not if its attempts are used up", true, 2, false),
		Entry("not on a route that is not resumable", false, 1, false),
	)

	// Guards against a generation that is read again elsewhere although its engine would
	// have run it, and against one that waits for a late engine until it stops.
	DescribeTable("is withdrawn", func(expected, waited, untilStop time.Duration, withdrawn bool) {
		Expect(migration.Default().Withdraw(migration.Unstarted{Expected: expected, Waited: waited, UntilStop: untilStop})).To(Equal(withdrawn))
	},
		Entry("not if its first event is expected soon", 700*time.Millisecond, 200*time.Millisecond, 1500*time.Millisecond, false),
		Entry("if that is too close to the stop", 1700*time.Millisecond, 200*time.Millisecond, 1500*time.Millisecond, true),
		Entry("not if the event is a little late", 300*time.Millisecond, 500*time.Millisecond, 1500*time.Millisecond, false),
		Entry("if it is much too late", 300*time.Millisecond, 1300*time.Millisecond, 1500*time.Millisecond, true),
		Entry("if the engine stops now", 300*time.Millisecond, 300*time.Millisecond, time.Duration(0), true),
	)
})
