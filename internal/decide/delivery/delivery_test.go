package delivery_test

import (
	"errors"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/delivery"
	"filbertdeck/internal/failure"
)

func TestDelivery(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "delivery")
}

const (
	pass, duplicate, gap = delivery.Pass, delivery.Duplicate, delivery.Gap
	crossed, complete    = delivery.Mismatched, delivery.Complete
)

func newFrame(generation string, offset, tokens uint64, finish ...bool) delivery.Frame {
	return delivery.Frame{Generation: generation, Offset: offset, Tokens: tokens, Finish: len(finish) > 0}
}

var closingFrame = delivery.Frame{Done: true}

type step struct {
	frame delivery.Frame
	want  delivery.Verdict
}

var _ = Describe("a sequence of frames", func() {
	// Links break, engines number frames wrongly, answers cross on a reused
	// connection, or an engine closes early. Without the check the caller would
	// get a report with repeated or missing words, with words of another
	// request, or cut short, and could not tell.
	DescribeTable("passes each token once, in order, from one generation",
		func(reached uint64, steps ...step) {
			o := delivery.New(delivery.Stream, "g")
			for i, s := range steps {
				Expect(o.Check(s.frame)).To(Equal(s.want), "frame %d", i)
			}
			Expect(o.DeliveredTokens()).To(Equal(reached))
		},
		Entry("a complete stream", uint64(3), step{newFrame("g", 0, 1), pass}, step{newFrame("g", 1, 2), pass}, step{newFrame("g", 3, 0, true), pass}, step{closingFrame, complete}),
		Entry("a finish with the last token", uint64(2), step{newFrame("g", 0, 2, true), pass}, step{closingFrame, complete}),
		Entry("repeated frames after a resume", uint64(2), step{newFrame("g", 0, 2), pass}, step{newFrame("g", 0, 1), duplicate}, step{newFrame("g", 1, 1), duplicate}),
		Entry("a repeated finishing frame", uint64(2), step{newFrame("g", 0, 2, true), pass}, step{newFrame("g", 1, 1, true), duplicate}, step{closingFrame, complete}),
		Entry("old and new tokens in one frame", uint64(2), step{newFrame("g", 0, 2), pass}, step{newFrame("g", 1, 2), gap}),
		Entry("a missing frame", uint64(2), step{newFrame("g", 0, 1), pass}, step{newFrame("g", 2, 1), gap}, step{newFrame("g", 1, 1), pass}),
		Entry("a frame of another generation", uint64(1), step{newFrame("g", 0, 1), pass}, step{newFrame("h", 1, 1), crossed}, step{newFrame("h", 0, 1, true), crossed}),
		Entry("a closing event before the finish", uint64(1), step{newFrame("g", 0, 1), pass}, step{closingFrame, gap}),
		Entry("a closing event before any frame", uint64(0), step{closingFrame, gap}),
		Entry("a finish in an older frame", uint64(3), step{newFrame("g", 0, 3), pass}, step{newFrame("g", 0, 2, true), duplicate}, step{closingFrame, gap}),
		Entry("tokens after the finish", uint64(1), step{newFrame("g", 0, 1, true), pass}, step{newFrame("g", 1, 1), crossed}),
		Entry("an offset that overflows", uint64(1), step{newFrame("g", 0, 1), pass}, step{newFrame("g", 1, ^uint64(0)), crossed}),
	)

	It("resumes at a caller's offset and never restarts", func() {
		for _, offset := range []uint64{0, 7} {
			o := delivery.Resume(delivery.Stream, "g", offset)
			Expect(o.Check(newFrame("g", offset+1, 1))).To(Equal(gap))
			Expect(o.MayRestart()).To(BeFalse())
			Expect(o.Check(newFrame("g", offset, 1, true))).To(Equal(pass))
			Expect(o.Check(closingFrame)).To(Equal(complete))
			Expect(o.Complete()).To(BeTrue())
		}
	})

	// The engine dies. If some of its tokens have reached the caller, a new
	// generation would continue the report in the middle with different words.
	DescribeTable("restarts only while no token has reached the caller",
		func(mode delivery.Mode, frames int, released, want bool) {
			o := delivery.New(mode, "g")
			for i := range frames {
				Expect(o.Check(newFrame("g", uint64(i), 1))).To(Equal(pass))
			}
			if released {
				o.MarkReleased()
			}
			Expect(o.Restart("h")).To(Equal(want))
			if want {
				Expect(o.Generation()).To(Equal("h"))
				Expect(o.NextOffset()).To(BeZero())
				Expect(o.Check(newFrame("g", 0, 1))).To(Equal(crossed), "frames of the lost generation are rejected")
				return
			}
			lostErr := o.LostError(errors.New("reset"))
			Expect(lostErr.Kind).To(Equal(failure.KindTargetLost))
			Expect(lostErr.Executed).To(Equal(failure.ExecutedYes))
			Expect(lostErr.DeliveredTokens).To(Equal(frames))
		},
		Entry("streamed, nothing sent", delivery.Stream, 0, false, true),
		Entry("streamed, one token sent", delivery.Stream, 1, false, false),
		Entry("buffered, nothing released", delivery.Buffered, 3, false, true),
		Entry("buffered and released", delivery.Buffered, 3, true, false),
		Entry("an empty answer released", delivery.Buffered, 0, true, false),
	)

	// An engine that numbers from the wrong token sends the same wrong frame on
	// each new connection. Without a limit the entry would reconnect and the
	// caller would wait without end.
	It("gives up resuming when connections bring no token", func() {
		o := delivery.Resume(delivery.Stream, "g", 0)
		for range 3 {
			for range delivery.DefaultMaxResumes {
				Expect(o.TryResume()).To(BeTrue())
			}
			Expect(o.TryResume()).To(BeFalse())
			Expect(o.Check(newFrame("g", o.NextOffset(), 1))).To(Equal(pass), "a new token resets the limit")
		}
		Expect(o.LostError(nil).DeliveredTokens).To(Equal(3))
	})

	// The target's connection breaks after the last token, or the caller
	// resumes with only the closing event missing. If that answer counted as
	// lost, the caller would pay again for a report that it has.
	It("completes a finished answer without its closing event", func() {
		o := delivery.New(delivery.Stream, "g")
		Expect(o.Check(newFrame("g", 0, 1))).To(Equal(pass))
		Expect(o.MarkComplete()).To(BeFalse())
		Expect(o.Check(newFrame("g", 1, 1, true))).To(Equal(pass))
		Expect(o.Finished()).To(BeTrue())
		Expect(o.MarkComplete()).To(BeTrue())
		Expect(o.MayRestart()).To(BeFalse())
		resumed := delivery.ResumeFinished(delivery.Stream, "g", 2)
		Expect(resumed.MarkComplete()).To(BeTrue())
	})

	// The target hangs before its first token. A second connection without a
	// response shows that it is stuck, and another target can restart the
	// request unnoticed by the caller.
	It("reconnects only once while it may restart", func() {
		o := delivery.New(delivery.Buffered, "g")
		Expect(o.TryResume()).To(BeTrue())
		Expect(o.TryResume()).To(BeFalse())
		Expect(o.Restart("h")).To(BeTrue())
		Expect(o.TryResume()).To(BeTrue())
	})

	It("names its verdicts", func() {
		Expect([]string{gap.String(), complete.String(), delivery.Verdict(99).String()}).To(Equal([]string{"gap", "complete", "none"}))
	})
})

// FuzzOrder checks frames in any order. The passed ones must hold the
// generation's tokens 0, 1, 2, ... without a gap, and the end may come only
// after all of them.
func FuzzOrder(fz *testing.F) {
	fz.Add([]byte{0, 1, 0, 1, 2, 4, 3, 0, 5})
	fz.Fuzz(func(t *testing.T, ops []byte) {
		const length = 12
		o := delivery.New(delivery.Stream, "g")
		var next uint64
		for i := 0; i+1 < len(ops); i += 2 {
			frame := delivery.Frame{Generation: "g", Offset: uint64(ops[i] % 16), Tokens: uint64(ops[i+1] % 8)}
			frame.Finish = frame.Offset+frame.Tokens == length
			frame.Done = ops[i] >= 240
			if ops[i]%32 == 31 {
				frame.Generation = "other"
			}
			switch o.Check(frame) {
			case pass:
				if frame.Generation != "g" || frame.Offset != next {
					t.Fatalf("passed %+v at %d", frame, next)
				}
				next += frame.Tokens
			case complete:
				if next != length {
					t.Fatalf("complete after %d tokens", next)
				}
			}
			if o.DeliveredTokens() != next {
				t.Fatalf("reached %d, passed %d", o.DeliveredTokens(), next)
			}
		}
	})
}
