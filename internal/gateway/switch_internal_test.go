package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the limit of a switch", func() {
	answered := make(chan struct{})
	close(answered)

	// Guards against ending a stream whose first event arrived while the process was held up.
	It("ends late in favour of an event that has arrived", func() {
		limit := &switchLimit{timeout: switchTimeout, startedAt: time.Now().Add(-time.Minute), answered: answered}
		Expect(limit.answeredLate()).To(BeTrue())
	})

	// Guards against a late limit that waits for an engine which does not answer.
	It("ends late without an event", func() {
		limit := &switchLimit{timeout: switchTimeout, startedAt: time.Now().Add(-time.Minute), answered: make(chan struct{})}
		Expect(limit.answeredLate()).To(BeFalse())
	})
})
