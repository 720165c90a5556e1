package app_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/standin/app"
)

func TestApp(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "simulated HTTP service")
}

var _ = Describe("the simulated HTTP service", func() {
	var server *app.Server
	var httpServer *httptest.Server

	BeforeEach(func() {
		server = app.NewServer(app.Config{Capacity: 4})
		httpServer = httptest.NewServer(server.Handler())
		DeferCleanup(httpServer.Close)
		DeferCleanup(server.Close)
	})

	sendPost := func(path, key, body string) (string, int) {
		r, err := http.NewRequest(http.MethodPost, httpServer.URL+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		if key != "" {
			r.Header.Set("Idempotency-Key", key)
		}
		// Keep-alive is disabled because net/http resends a request with an
		// Idempotency-Key header when a reused connection fails, and the resent
		// request would count as a second execution.
		resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
		if err != nil {
			return "no answer", 0
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return strings.TrimSpace(string(text)), resp.StatusCode
	}

	It("echoes the call and counts executions by the key in the header or the body", func() {
		text, _ := sendPost("/book//x?day=1", "k1", "hello")
		Expect(text).To(Equal(`{"path":"/book//x?day=1","method":"POST","body":"hello","executions":1}`))
		text, _ = sendPost("/book", "k1", "")
		Expect(text).To(ContainSubstring(`"executions":2`))
		sendPost("/book", "", `{"key":"k2"}`)
		Expect(server.Executions()).To(Equal(app.Executions{Total: 3, ByKey: map[string]int{"k1": 2, "k2": 1}}))
	})

	DescribeTable("simulates faults", func(fault, wantBody string, wantStatus, wantExecutions int) {
		_, code := sendPost("/admin/fault", "", fault)
		Expect(code).To(Equal(http.StatusNoContent))
		text, gotStatus := sendPost("/book", "k", "")
		Expect(text).To(ContainSubstring(wantBody))
		Expect(gotStatus).To(Equal(wantStatus))
		Expect(server.Executions().Total).To(Equal(wantExecutions))
	},
		Entry("slow", `{"kind":"slow","delay_ms":1}`, `"executions":1`, 200, 1),
		Entry("drop after run", `{"kind":"drop_after_run","count":1}`, "no answer", 0, 1),
		Entry("refuse", `{"kind":"refuse"}`, `"executed":"no"`, 503, 0),
		Entry("none", `{"kind":"none"}`, `"executions":1`, 200, 1),
	)

	It("ends a fault after its call count and rejects unknown kinds", func() {
		server.SetFault(app.Fault{Kind: app.FaultRefuse, Count: 1})
		sendPost("/book", "k", "")
		_, status := sendPost("/book", "k", "")
		Expect(status).To(Equal(http.StatusOK))
		_, status = sendPost("/admin/fault", "", `{"kind":"odd"}`)
		Expect(status).To(Equal(http.StatusBadRequest))
	})

	// A process can be suspended after it accepted a call: the caller gets no
	// response, and the call is executed when the process resumes.
	It("executes a call that arrived during a freeze after the freeze ends", func() {
		server.SetFault(app.Fault{Kind: app.FaultFreeze})
		done := make(chan string, 1)
		go func() { text, _ := sendPost("/book", "k", ""); done <- text }()
		Eventually(func() string {
			r, _ := http.Get(httpServer.URL + "/v1/load")
			b, _ := io.ReadAll(r.Body)
			return string(b)
		}).
			Should(ContainSubstring(`"running":1`))
		Expect(server.Executions().Total).To(BeZero())
		server.SetFault(app.Fault{Kind: app.FaultNone})
		Eventually(done, "5s").Should(Receive(ContainSubstring(`"executions":1`)))
	})
})
