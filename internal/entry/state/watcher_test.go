package state

import (
	"io"
	"log/slog"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/failure"
)

func TestState(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "an entry's state")
}

const tableHeader = "kind,name,weight,max_running,tokens_per_second,priority,key_sha256,services,type,delivery,max_tokens,max_wait_ms,queue_limit\n"

func fullUpdate(epoch, restores, revision uint64, rows string) *filbertv1.StateUpdate {
	return &filbertv1.StateUpdate{Table: &filbertv1.TableSection{
		Epoch: epoch, Restores: restores, Revision: revision, Pages: [][]byte{[]byte(tableHeader + rows)},
	}}
}

func deltaUpdate(revision uint64, key, text string) *filbertv1.StateUpdate {
	return &filbertv1.StateUpdate{Table: &filbertv1.TableSection{
		Revision: revision, Delta: true, Changes: []*filbertv1.RowChange{{Key: key, Text: text}},
	}}
}

var _ = Describe("the table at an entry", func() {
	var board *Board
	var w *Watcher

	BeforeEach(func() {
		board = NewBoard()
		var err error
		w, err = NewWatcher(board, WatcherConfig{Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
		Expect(err).NotTo(HaveOccurred())
		Expect(w.apply(fullUpdate(0, 0, 7, "account,school,2,,,,,,,,,,\n"))).To(Succeed())
	})

	weight := func() float64 { return board.Table.Get().Accounts["school"].Weight }

	It("applies changed rows", func() {
		Expect(w.apply(deltaUpdate(8, "account/school", "account,school,5,,,,,,,,,,"))).To(Succeed())
		Expect(weight()).To(Equal(5.0))
		Expect(board.Table.Get().Revision).To(BeEquivalentTo(8))
	})

	// Guards against a table that goes backwards: the control process of the
	// host fails, and the next one, which has not received the last edit, sends
	// the previous table. An accepted limit would be lost on this host without
	// anyone noticing.
	It("ignores an older table from a control process that lags behind", func() {
		w.streamTable = nil
		Expect(w.apply(fullUpdate(0, 0, 6, "account,school,1,,,,,,,,,,\n"))).To(Succeed())
		Expect(weight()).To(Equal(2.0))
		Expect(w.apply(deltaUpdate(9, "account/school", "account,school,4,,,,,,,,,,"))).To(Succeed())
		Expect(weight()).To(Equal(4.0), "the next edit applies")
	})

	DescribeTable("is ordered by epoch and restores before the revision",
		func(epoch, restores, revision uint64, accepted bool) {
			w.streamTable = nil
			Expect(w.apply(fullUpdate(epoch, restores, revision, "account,school,9,,,,,,,,,,\n"))).To(Succeed())
			Expect(weight() == 9).To(Equal(accepted))
		},
		Entry("an older revision", uint64(0), uint64(0), uint64(6), false),
		Entry("after a recognised restore", uint64(0), uint64(1), uint64(3), true),
		Entry("after the operators raised the epoch", uint64(1), uint64(0), uint64(2), true),
	)

	It("is unchanged when a row is invalid, and the stream ends", func() {
		err := w.apply(deltaUpdate(8, "account/school", "account,school,-5,,,,,,,,,,"))
		Expect(failure.KindOf(err)).To(Equal(failure.KindTableInvalid))
		Expect(weight()).To(Equal(2.0))
	})
})
