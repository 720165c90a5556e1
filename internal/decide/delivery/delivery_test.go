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
	pass, dup, gap = delivery.Pass, delivery.Duplicate, delivery.Gap
	crossed, whole = delivery.Mismatched, delivery.Complete
)

func f(generation string, offset, tokens uint64, finish ...bool) delivery.Frame {
	return delivery.Frame{Generation: generation, Offset: offset, Tokens: tokens, Finish: len(finish) > 0}
}

var done = delivery.Frame{Done: true}

type step struct {
	frame delivery.Frame
	want  delivery.Verdict
}

var _ = Describe("the order of frames", func() {
	// Links are cut, engines number wrongly, answers cross on a reused
	// connection, an engine closes early. The caller would read a report with
	// words twice, missing, from another request, or cut short, and could not
	// tell.
	DescribeTable("passes each token once, in order, from one generation",
		func(reached uint64, steps ...step) {
			o := delivery.New(delivery.Stream, "g")
			for i, s := range steps {
				Expect(o.Check(s.frame)).To(Equal(s.want), "frame %d", i)
			}
			Expect(o.DeliveredTokens()).To(Equal(reached))
		},
		Entry("a plain stream", uint64(3), step{f("g", 0, 1), pass}, step{f("g", 1, 2), pass}, step{f("g", 3, 0, true), pass}, step{done, whole}),
		Entry("the end with the last token", uint64(2), step{f("g", 0, 2, true), pass}, step{done, whole}),
		Entry("a frame again after a resume", uint64(2), step{f("g", 0, 2), pass}, step{f("g", 0, 1), dup}, step{f("g", 1, 1), dup}),
		Entry("the finishing frame again", uint64(2), step{f("g", 0, 2, true), pass}, step{f("g", 1, 1, true), dup}, step{done, whole}),
		Entry("old and new tokens in one frame", uint64(2), step{f("g", 0, 2), pass}, step{f("g", 1, 2), gap}),
		Entry("a missing frame", uint64(2), step{f("g", 0, 1), pass}, step{f("g", 2, 1), gap}, step{f("g", 1, 1), pass}),
		Entry("another's frame", uint64(1), step{f("g", 0, 1), pass}, step{f("h", 1, 1), crossed}, step{f("h", 0, 1, true), crossed}),
		Entry("an early close", uint64(1), step{f("g", 0, 1), pass}, step{done, gap}),
		Entry("a close before anything", uint64(0), step{done, gap}),
		Entry("an older frame that claims the end", uint64(3), step{f("g", 0, 3), pass}, step{f("g", 0, 2, true), dup}, step{done, gap}),
		Entry("tokens after the end", uint64(1), step{f("g", 0, 1, true), pass}, step{f("g", 1, 1), crossed}),
		Entry("numbers that overflow", uint64(1), step{f("g", 0, 1), pass}, step{f("g", 1, ^uint64(0)), crossed}),
	)

	It("goes on at a caller's offset and never restarts there", func() {
		for _, offset := range []uint64{0, 7} {
			o := delivery.Resume(delivery.Stream, "g", offset)
			Expect(o.Check(f("g", offset+1, 1))).To(Equal(gap))
			Expect(o.MayRestart()).To(BeFalse())
			Expect(o.Check(f("g", offset, 1, true))).To(Equal(pass))
			Expect(o.Check(done)).To(Equal(whole))
			Expect(o.Completed()).To(BeTrue())
		}
	})

	// The engine dies. If its tokens are with the caller, a new generation
	// would go on with other words in the middle of the report.
	DescribeTable("restarts only while nothing reached the caller",
		func(mode delivery.Mode, frames int, release, want bool) {
			o := delivery.New(mode, "g")
			for i := range frames {
				Expect(o.Check(f("g", uint64(i), 1))).To(Equal(pass))
			}
			if release {
				o.MarkReleased()
			}
			Expect(o.Restart("h")).To(Equal(want))
			if want {
				Expect(o.Generation()).To(Equal("h"))
				Expect(o.NextOffset()).To(BeZero())
				Expect(o.Check(f("g", 0, 1))).To(Equal(crossed), "the dead generation's frames cross")
				return
			}
			end := o.LostError(errors.New("reset"))
			Expect(end.Kind).To(Equal(failure.KindTargetLost))
			Expect(end.Executed).To(Equal(failure.ExecutedYes))
			Expect(end.Delivered).To(Equal(frames))
		},
		Entry("streamed, nothing sent", delivery.Stream, 0, false, true),
		Entry("streamed, one token sent", delivery.Stream, 1, false, false),
		Entry("held, nothing released", delivery.Buffered, 3, false, true),
		Entry("held and released", delivery.Buffered, 3, true, false),
		Entry("an empty answer released", delivery.Buffered, 0, true, false),
	)

	// An engine that numbers from the wrong token sends the same wrong frame
	// on each new connection. Without a bound the entry would reconnect for
	// good and the caller would wait for good.
	It("gives up resuming when connections bring nothing", func() {
		o := delivery.Resume(delivery.Stream, "g", 0)
		for range 3 {
			for range delivery.DefaultResumes {
				Expect(o.TryResume()).To(BeTrue())
			}
			Expect(o.TryResume()).To(BeFalse())
			Expect(o.Check(f("g", o.NextOffset(), 1))).To(Equal(pass), "progress allows more")
		}
		Expect(o.LostError(nil).Delivered).To(Equal(3))
	})

	// The target's connection breaks after the last token, or the caller comes
	// back with nothing missing but the closing event. To call that answer lost
	// would make the caller pay for a report that it has.
	It("takes a finished answer for whole without its closing event", func() {
		o := delivery.New(delivery.Stream, "g")
		Expect(o.Check(f("g", 0, 1))).To(Equal(pass))
		Expect(o.MarkComplete()).To(BeFalse())
		Expect(o.Check(f("g", 1, 1, true))).To(Equal(pass))
		Expect(o.Finished()).To(BeTrue())
		Expect(o.MarkComplete()).To(BeTrue())
		Expect(o.MayRestart()).To(BeFalse())
		back := delivery.ResumeFinished(delivery.Stream, "g", 2)
		Expect(back.MarkComplete()).To(BeTrue())
	})

	// The target hangs before its first token. A second connection that stays
	// silent shows that it is stuck; another target can start over unseen.
	It("reconnects only once while it may start over", func() {
		o := delivery.New(delivery.Buffered, "g")
		Expect(o.TryResume()).To(BeTrue())
		Expect(o.TryResume()).To(BeFalse())
		Expect(o.Restart("h")).To(BeTrue())
		Expect(o.TryResume()).To(BeTrue())
	})

	It("names its verdicts", func() {
		Expect([]string{gap.String(), whole.String(), delivery.Verdict(99).String()}).To(Equal([]string{"gap", "complete", "none"}))
	})
})

// FuzzOrder feeds frames in any order; what passes must be the generation's
// tokens 0, 1, 2, ... without a break, and an end only after them all.
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
			case whole:
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
