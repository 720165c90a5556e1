package gateway_test

import (
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/call"
	"filbertdeck/internal/gateway"
	"filbertdeck/platform"
	"filbertdeck/platform/standin"
)

// stallingCodec reads the header of the first answer to a switch late, as a process does
// that has no processor for a moment.
type stallingCodec struct {
	call.Codec
	stall time.Duration
	done  *atomic.Bool
}

// ParseResponseHeader implements call.Codec.
func (c stallingCodec) ParseResponseHeader(resp *http.Response) call.ResponseHeader {
	if resp.Request.Header.Get(standin.HeaderKVFrom) != "" && !c.done.Swap(true) {
		time.Sleep(c.stall)
	}
	return c.Codec.ParseResponseHeader(resp)
}

var _ = Describe("a switch to another engine that is answered", func() {
	const events = 60

	// Guards against a stream that the time limit of its switch has ended and that takes the
	// place of the sound one.
	It("just before its time is over does not break the answer off", func() {
		first, second := startEngine("i-1", events, 20*time.Millisecond), startEngine("i-2", events, 5*time.Millisecond)
		codec := stallingCodec{platform.Dialect{}, gateway.SwitchTimeout + 50*time.Millisecond, &atomic.Bool{}}
		gw := startGatewayWithDialect(codec, slog.DiscardHandler, first.directoryEntry("llm", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("POST", "/report/")) }()
		Eventually(first.eventsSent.Load).Should(BeNumerically(">", 5))
		gw.publish(asLeaving(first.directoryEntry("llm", "dc-1")), second.directoryEntry("llm", "dc-1"))
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(codec.done.Load()).To(BeTrue())
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(eventStream(events)))
	})
})
