package rollout_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/rollout"
)

var _ = Describe("the history of revisions", func() {
	headAt := func(epoch, revision, digest uint64) rollout.Head {
		return rollout.Head{Version: at(epoch, revision), Digest: digest}
	}
	h := rollout.NewRevisionHistory()
	h.Record("table", headAt(0, 10, 1))
	h.Record("hosts", headAt(0, 11, 2))
	h.Record("table", headAt(1, 11, 3))

	// A lagging replica shows old revisions as they were; only a restored
	// service shows something else under a number that was given before.
	DescribeTable("proves a restore only by another content under a known number",
		func(section string, head rollout.Head, foreign bool) {
			Expect(h.ProvesRestore(section, head)).To(Equal(foreign))
		},
		Entry("the same again", "table", headAt(0, 10, 1), false),
		Entry("another content", "table", headAt(0, 10, 9), true),
		Entry("another document", "table", headAt(0, 11, 9), true),
		Entry("a number never seen", "table", headAt(0, 12, 9), false),
		Entry("a number of another lineage", "table", headAt(1, 10, 9), false),
	)

	It("tells in which lineage a content was seen", func() {
		lineage, known := h.Lineage("table", headAt(0, 11, 3))
		Expect([]any{lineage, known}).To(Equal([]any{uint64(1), true}))
		_, known = h.Lineage("table", headAt(0, 11, 2))
		Expect(known).To(BeFalse())
	})

	It("forgets the oldest", func() {
		long := rollout.NewRevisionHistory()
		for i := range uint64(5000) {
			long.Record("table", headAt(0, i, i+1))
		}
		Expect(long.ProvesRestore("table", headAt(0, 1, 9))).To(BeFalse())
		Expect(long.ProvesRestore("table", headAt(0, 4999, 9))).To(BeTrue())
	})
})

var _ = Describe("rows that a restore lost", func() {
	inForce := []rollout.Row{{Key: "a", Text: "new"}, {Key: "b", Text: "same"}, {Key: "added", Text: "x"}}
	restored := []rollout.Row{{Key: "a", Text: "old"}, {Key: "b", Text: "same"}, {Key: "removed", Text: "y"}}
	lost := rollout.LostEdits(inForce, restored)

	DescribeTable("stay in force until the service shows them changed",
		func(service, want []rollout.Row, left int) {
			rows, overlay := lost.Apply(service)
			Expect(rows).To(ConsistOf(want))
			Expect(overlay).To(HaveLen(left))
		},
		Entry("nothing edited", restored, inForce, 3),
		Entry("the lost row edited", []rollout.Row{{Key: "a", Text: "newer"}, {Key: "b", Text: "same"}, {Key: "removed", Text: "y"}},
			[]rollout.Row{{Key: "a", Text: "newer"}, {Key: "b", Text: "same"}, {Key: "added", Text: "x"}}, 2),
		Entry("another row edited", []rollout.Row{{Key: "a", Text: "old"}, {Key: "b", Text: "edited"}, {Key: "removed", Text: "y"}},
			[]rollout.Row{{Key: "a", Text: "new"}, {Key: "b", Text: "edited"}, {Key: "added", Text: "x"}}, 3),
		Entry("the lost addition made again", append([]rollout.Row{{Key: "added", Text: "z"}}, restored...),
			[]rollout.Row{{Key: "a", Text: "new"}, {Key: "b", Text: "same"}, {Key: "added", Text: "z"}}, 2),
		Entry("the row that the restore brought back removed again", []rollout.Row{{Key: "a", Text: "old"}, {Key: "b", Text: "same"}}, inForce, 2),
	)

	It("travel as rows", func() {
		back := rollout.DecodeOverlays(rollout.EncodeOverlays(map[string]rollout.Overlay{"table": lost}))
		Expect(back).To(Equal(map[string]rollout.Overlay{"table": lost}))
		Expect(rollout.DecodeOverlays([]rollout.Row{{Key: "x", Text: "y"}})).To(BeEmpty())
	})
})
