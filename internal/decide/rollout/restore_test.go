package rollout_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/rollout"
)

var _ = Describe("a history of revisions", func() {
	headAt := func(epoch, revision, digest uint64) rollout.Head {
		return rollout.Head{Version: version(epoch, revision), Digest: digest}
	}
	h := rollout.NewRevisionHistory()
	h.Record("table", headAt(0, 10, 1))
	h.Record("hosts", headAt(0, 11, 2))
	h.Record("table", headAt(1, 11, 3))

	// A lagging replica returns old revisions with their original content. Only
	// a restored service returns other content under a known revision.
	DescribeTable("detects a restore only by other content under a known revision",
		func(section string, head rollout.Head, restored bool) {
			Expect(h.ProvesRestore(section, head)).To(Equal(restored))
		},
		Entry("the recorded content", "table", headAt(0, 10, 1), false),
		Entry("other content", "table", headAt(0, 10, 9), true),
		Entry("another document", "table", headAt(0, 11, 9), true),
		Entry("an unknown revision", "table", headAt(0, 12, 9), false),
		Entry("a revision of another lineage", "table", headAt(1, 10, 9), false),
	)

	It("returns the lineage in which content was seen", func() {
		lineage, known := h.Lineage("table", headAt(0, 11, 3))
		Expect([]any{lineage, known}).To(Equal([]any{uint64(1), true}))
		_, known = h.Lineage("table", headAt(0, 11, 2))
		Expect(known).To(BeFalse())
	})

	It("removes the oldest revisions", func() {
		history := rollout.NewRevisionHistory()
		for i := range uint64(5000) {
			history.Record("table", headAt(0, i, i+1))
		}
		Expect(history.ProvesRestore("table", headAt(0, 1, 9))).To(BeFalse())
		Expect(history.ProvesRestore("table", headAt(0, 4999, 9))).To(BeTrue())
	})
})

var _ = Describe("an overlay of lost rows", func() {
	inForce := []rollout.Row{{Key: "a", Text: "new"}, {Key: "b", Text: "same"}, {Key: "added", Text: "x"}}
	restored := []rollout.Row{{Key: "a", Text: "old"}, {Key: "b", Text: "same"}, {Key: "removed", Text: "y"}}
	lost := rollout.LostEdits(inForce, restored)

	DescribeTable("keeps lost rows in force until they change in the service",
		func(service, want []rollout.Row, keptCount int) {
			rows, overlay := lost.Apply(service)
			Expect(rows).To(ConsistOf(want))
			Expect(overlay).To(HaveLen(keptCount))
		},
		Entry("no edit", restored, inForce, 3),
		Entry("lost row edited", []rollout.Row{{Key: "a", Text: "newer"}, {Key: "b", Text: "same"}, {Key: "removed", Text: "y"}},
			[]rollout.Row{{Key: "a", Text: "newer"}, {Key: "b", Text: "same"}, {Key: "added", Text: "x"}}, 2),
		Entry("other row edited", []rollout.Row{{Key: "a", Text: "old"}, {Key: "b", Text: "edited"}, {Key: "removed", Text: "y"}},
			[]rollout.Row{{Key: "a", Text: "new"}, {Key: "b", Text: "edited"}, {Key: "added", Text: "x"}}, 3),
		Entry("lost addition made again", append([]rollout.Row{{Key: "added", Text: "z"}}, restored...),
			[]rollout.Row{{Key: "a", Text: "new"}, {Key: "b", Text: "same"}, {Key: "added", Text: "z"}}, 2),
		Entry("row that reappeared with the restore removed again", []rollout.Row{{Key: "a", Text: "old"}, {Key: "b", Text: "same"}}, inForce, 2),
	)

	It("encodes to rows and back", func() {
		decoded := rollout.DecodeOverlays(rollout.EncodeOverlays(map[string]rollout.Overlay{"table": lost}))
		Expect(decoded).To(Equal(map[string]rollout.Overlay{"table": lost}))
		Expect(rollout.DecodeOverlays([]rollout.Row{{Key: "x", Text: "y"}})).To(BeEmpty())
	})
})
