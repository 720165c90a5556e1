package generation

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/failure"
)

func TestGeneration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "generation")
}

var _ = Describe("an engine's event", func() {
	// A faulty engine, or a box between, sends something that is no event. If
	// its text were passed on as it stands, a raw line feed in it would end
	// the caller's event early and the rest would be read as another one.
	DescribeTable("is refused when it cannot be trusted",
		func(data string) {
			var f engineFrame
			err := f.parse([]byte(data))
			Expect(failure.KindOf(err)).To(Equal(failure.KindTargetFailed))
			Expect(failure.From(err).Executed).To(Equal(failure.ExecutedUnknown))
		},
		Entry("half an event", `{"generation":"g","text":"a`),
		Entry("a raw line feed in the text", "{\"generation\":\"g\",\"offset\":0,\"tokens\":1,\"text\":\"a\nb\"}"),
		Entry("no text", `{"generation":"g","offset":0,"tokens":1}`),
		Entry("text that is a number", `{"generation":"g","offset":0,"tokens":1,"text":7}`),
		Entry("a negative offset", `{"generation":"g","offset":-1,"tokens":1,"text":"a"}`),
		Entry("an offset with a fraction", `{"generation":"g","offset":1.5,"tokens":1,"text":"a"}`),
		Entry("a list", `[1]`),
	)

	It("keeps nothing of the event before", func() {
		var f engineFrame
		Expect(f.parse([]byte(`{"generation":"g","offset":4,"tokens":2,"text":"a\"b","finish_reason":"stop"}`))).To(Succeed())
		Expect(f.finished()).To(BeTrue())
		Expect(f.parse([]byte(`{"generation":"g","text":"c","finish_reason":null}`))).To(Succeed())
		Expect(f.finished()).To(BeFalse())
		Expect([]uint64{f.Offset, f.Tokens}).To(Equal([]uint64{0, 0}))
	})
})

// FuzzFrame: whatever a target sends, what is passed on is JSON.
func FuzzFrame(f *testing.F) {
	f.Add([]byte(`{"generation":"g","offset":4,"tokens":2,"text":"a\"b","finish_reason":"stop"}`))
	f.Add([]byte(`{"text":"\u0000","generation":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var frame engineFrame
		if frame.parse(data) != nil {
			return
		}
		for _, raw := range []json.RawMessage{frame.Text, frame.Generation, frame.FinishReason} {
			if len(raw) > 0 && !json.Valid(raw) {
				t.Fatalf("%q gives %q, which is not JSON", data, raw)
			}
		}
	})
}
