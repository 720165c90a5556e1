package failure_test

import (
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/failure"
)

func TestFailure(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "failure")
}

var _ = Describe("a problem document", func() {
	It("carries type, outcome and the time to come back", func() {
		rec := httptest.NewRecorder()
		failure.Write(rec, failure.New(failure.KindOverloaded, "queue is full").WithRetryAfter(1500*time.Millisecond))
		Expect(rec.Code).To(Equal(503))
		Expect(rec.Header().Get("Retry-After")).To(Equal("2"))
		Expect(rec.Body.String()).To(ContainSubstring(`"executed":"no"`))
	})

	It("keeps the details of each failure on the way", func() {
		inner := failure.Wrap(errors.New("no number"), failure.KindTableInvalid, "row 7")
		outer := failure.Wrap(failure.Wrap(inner, failure.KindConfigUnreadable, "page 2"), failure.KindNotReady, "no table")
		Expect(outer.Error()).To(Equal("not-ready: no table: configuration-unreadable: page 2: table-invalid: row 7: no number"))
	})

	// An error that nobody gave a type could stem from any step, also from one
	// after the call went out. Calling it "not run" would make the caller book
	// a second time.
	It("never says that an untyped error did not run", func() {
		Expect(failure.FromError(errors.New("surprise")).Executed).To(Equal(failure.ExecutedUnknown))
	})
})
