package generation

import (
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/handle"
	"filbertdeck/internal/sse"
)

var _ = Describe("a caller's stream", func() {
	newSink := func() (*streamSink, *httptest.ResponseRecorder) {
		ring, err := handle.NewKeyRing(handle.RandomSecret())
		Expect(err).NotTo(HaveOccurred())
		rec := httptest.NewRecorder()
		return newStreamSink(rec, ring, handle.Handle{}, answerInfo{id: "cmpl-1", model: "reports"}), rec
	}

	It("reports a refusal with its status while nothing was sent", func() {
		s, rec := newSink()
		defer s.close()
		s.fail(failure.New(failure.KindOverloaded, "full"))
		Expect(rec.Code).To(Equal(503))
		Expect(rec.Header().Get("Content-Type")).To(Equal(failure.ProblemType))
	})

	// Guards against a silent queue: a request can wait in a full queue longer
	// than callers wait for a byte. Without keep-alives the caller disconnects
	// and retries, which fills the queue further. After a keep-alive, a refusal
	// can no longer use the status.
	It("sends keep-alives in the queue and ends with a typed error event", func() {
		s, rec := newSink()
		Expect(s.keepAlive()).To(Succeed())
		s.fail(failure.New(failure.KindOverloaded, "full"))
		s.close()
		Expect(s.keepAlive()).To(Succeed())
		Expect(rec.Code).To(Equal(200))
		Expect(rec.Body.String()).To(HavePrefix(sse.KeepAlive + "event: error\ndata: {"))
		Expect(rec.Body.String()).To(HaveSuffix("}\n\n"), "nothing follows the end")
	})
})
