package gateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a process that stops", func() {
	// The process is told to stop and takes a report that its estimate says
	// will end in time. The estimate is wrong, the process is gone first, and
	// the technician has half a report that may not be run again.
	It("begins no generation late, and none that would outlast it", func() {
		e := startEngine("i-1", 3, time.Millisecond)
		d := startDeck(e.entry("llm", "dc-1"))
		d.gateway.AnnounceShutdown(time.Now().Add(time.Hour), time.Now().Add(time.Hour))
		Expect(d.do(d.request("POST", "/report/")).status).To(Equal(http.StatusOK))

		d.gateway.AnnounceShutdown(time.Now().Add(-time.Second), time.Now().Add(time.Hour))
		late := d.do(d.request("POST", "/report/"))
		Expect(late.status).To(Equal(http.StatusServiceUnavailable))
		Expect(late.header.Get("Retry-After")).NotTo(BeEmpty())

		d.gateway.AnnounceShutdown(time.Now().Add(time.Hour), time.Now().Add(100*time.Millisecond))
		Expect(d.do(d.request("POST", "/report/")).status).To(Equal(http.StatusServiceUnavailable))
		Expect(e.requests()).To(HaveLen(1))
	})

	It("goes on serving plain calls", func() {
		t := startTarget("i-1", say(goodPlain))
		d := startDeck(t.entry("app", "dc-1"))
		d.gateway.AnnounceShutdown(time.Now().Add(-time.Second), time.Now())
		Expect(d.do(d.request("POST", "/book/")).status).To(Equal(http.StatusOK))
	})
})
