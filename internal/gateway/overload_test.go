package gateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/platform/standin"
)

var _ = Describe("long generations that no engine has memory for", func() {
	// The deck's engine has memory for 10,000 tokens, its routes a timeout of 5 s.
	const long = "6000,3000"
	ask := func(d *deck, id, patience string) result {
		r := d.request("POST", "/report/")
		r.Header.Set(requestID, id)
		r.Header.Set(standin.TokenUsage, long)
		r.Header.Set(standin.Deadline, patience)
		return d.do(r)
	}
	// start runs a long generation, which fills most of the engine's memory.
	start := func() (*engine, *deck, chan result) {
		e := startEngine("i-1", 20, 20*time.Millisecond)
		d := startDeck(e.entry("llm", "dc-1"))
		first := make(chan result, 1)
		go func() { first <- ask(d, "r-1", "5000") }()
		Eventually(e.made.Load).Should(BeNumerically(">", 0))
		return e, d, first
	}

	// Guards against long generations that wait at full engines at the cost of all
	// others there.
	It("are refused at once, truly not run, with a time to come back", func() {
		e, d, first := start()
		got := ask(d, "r-2", "5000")
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect((<-first).body).To(Equal(wanted(20)))
		Expect(e.requests()).To(HaveLen(1))
	})

	// Guards against callers that come back as told and are refused again.
	It("run when their caller came back", func() {
		e, d, first := start()
		Expect(ask(d, "r-2", "3000").body).To(Equal(wanted(20)))
		Expect((<-first).body).To(Equal(wanted(20)))
		Expect(e.requests()).To(HaveLen(2))
	})

	// Guards against a refused generation that stays counted at the engine.
	It("leave nothing counted", func() {
		_, d, first := start()
		Expect(ask(d, "r-2", "5000").status).To(Equal(http.StatusServiceUnavailable))
		Expect((<-first).body).To(Equal(wanted(20)))
		Expect(ask(d, "r-3", "5000").body).To(Equal(wanted(20)))
	})
})
