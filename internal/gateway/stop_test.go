package gateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a process that shuts down", func() {
	// Guards against starting a generation during shutdown because its length
	// was underestimated: the process exits first, and the caller is left with
	// part of a generation that may not run again.
	It("starts no generation after the last start time, and none that would outlast it", func() {
		e := startEngine("i-1", 3, time.Millisecond)
		gw := startGateway(e.directoryEntry("llm", "dc-1"))
		gw.gateway.AnnounceShutdown(time.Now().Add(time.Hour), time.Now().Add(time.Hour))
		Expect(gw.do(gw.request("POST", "/report/")).status).To(Equal(http.StatusOK))

		gw.gateway.AnnounceShutdown(time.Now().Add(-time.Second), time.Now().Add(time.Hour))
		late := gw.do(gw.request("POST", "/report/"))
		Expect(late.status).To(Equal(http.StatusServiceUnavailable))
		Expect(late.header.Get("Retry-After")).NotTo(BeEmpty())

		gw.gateway.AnnounceShutdown(time.Now().Add(time.Hour), time.Now().Add(100*time.Millisecond))
		Expect(gw.do(gw.request("POST", "/report/")).status).To(Equal(http.StatusServiceUnavailable))
		Expect(e.requests()).To(HaveLen(1))
	})

	It("still serves plain requests", func() {
		t := startTarget("i-1", respond(completeAnswer))
		gw := startGateway(t.directoryEntry("app", "dc-1"))
		gw.gateway.AnnounceShutdown(time.Now().Add(-time.Second), time.Now())
		Expect(gw.do(gw.request("POST", "/book/")).status).To(Equal(http.StatusOK))
	})
})
