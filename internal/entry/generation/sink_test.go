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
		ring, err := handle.NewRing(handle.RandomSecrets())
		Expect(err).NotTo(HaveOccurred())
		rec := httptest.NewRecorder()
		return newStreamSink(rec, ring, handle.Handle{}, shape{id: "cmpl-1", model: "reports"}), rec
	}

	It("gives a refusal its status while nothing was sent", func() {
		s, rec := newSink()
		defer s.close()
		s.fail(failure.New(failure.KindOverloaded, "full"))
		Expect(rec.Code).To(Equal(503))
		Expect(rec.Header().Get("Content-Type")).To(Equal(failure.ProblemType))
	})

	// A request waits in a full queue for longer than a caller waits for a
	// byte. Without a sign of life the caller hangs up and asks again, which
	// fills the queue further; after one, a refusal has no status to use.
	It("shows itself to be alive in the queue, and ends with a typed event", func() {
		s, rec := newSink()
		Expect(s.alive()).To(Succeed())
		s.fail(failure.New(failure.KindOverloaded, "full"))
		s.close()
		Expect(s.alive()).To(Succeed())
		Expect(rec.Code).To(Equal(200))
		Expect(rec.Body.String()).To(HavePrefix(sse.KeepAlive + "event: error\ndata: {"))
		Expect(rec.Body.String()).To(HaveSuffix("}\n\n"), "nothing follows the end")
	})
})
