package generation

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/failure"
)

func TestGeneration(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "generation")
}

var _ = Describe("an engine's event", func() {
	// Guards against passing on invalid data from a faulty engine or an
	// intermediary: a raw line feed in the text would end the caller's event
	// early, and the rest would be parsed as another event.
	DescribeTable("is rejected if it is malformed",
		func(data string) {
			var f engineFrame
			err := f.parse([]byte(data))
			Expect(failure.KindOf(err)).To(Equal(failure.KindTargetFailed))
			Expect(failure.FromError(err).Executed).To(Equal(failure.ExecutedUnknown))
		},
		Entry("a truncated event", `{"generation":"g","text":"a`),
		Entry("a raw line feed in the text", "{\"generation\":\"g\",\"offset\":0,\"tokens\":1,\"text\":\"a\nb\"}"),
		Entry("no text", `{"generation":"g","offset":0,"tokens":1}`),
		Entry("text that is a number", `{"generation":"g","offset":0,"tokens":1,"text":7}`),
		Entry("a negative offset", `{"generation":"g","offset":-1,"tokens":1,"text":"a"}`),
		Entry("an offset with a fraction", `{"generation":"g","offset":1.5,"tokens":1,"text":"a"}`),
		Entry("a list", `[1]`),
	)

	It("keeps no fields of the previous event", func() {
		var f engineFrame
		Expect(f.parse([]byte(`{"generation":"g","offset":4,"tokens":2,"text":"a\"b","finish_reason":"stop"}`))).To(Succeed())
		Expect(f.finished()).To(BeTrue())
		Expect(f.parse([]byte(`{"generation":"g","text":"c","finish_reason":null}`))).To(Succeed())
		Expect(f.finished()).To(BeFalse())
		Expect([]uint64{f.Offset, f.Tokens}).To(Equal([]uint64{0, 0}))
	})
})

// FuzzFrame checks that whatever a target sends, only valid JSON is passed on.
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
				t.Fatalf("parsing %q produced %q, which is not JSON", data, raw)
			}
		}
	})
}
