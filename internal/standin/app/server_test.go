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
	RunSpecs(t, "plain service stand-in")
}

var _ = Describe("the plain service", func() {
	var server *app.Server
	var site *httptest.Server

	BeforeEach(func() {
		server = app.NewServer(app.Config{Bears: 4})
		site = httptest.NewServer(server.Handler())
		DeferCleanup(site.Close)
		DeferCleanup(server.Close)
	})

	post := func(path, key, body string) (string, int) {
		r, err := http.NewRequest(http.MethodPost, site.URL+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		if key != "" {
			r.Header.Set("Idempotency-Key", key)
		}
		// Go's transport re-sends a request with this header by itself when a
		// reused connection fails, which would count executions twice here.
		resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
		if err != nil {
			return "no answer", 0
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return strings.TrimSpace(string(text)), resp.StatusCode
	}

	It("echoes the call and counts executions by header or field", func() {
		text, _ := post("/book//x?day=1", "k1", "hello")
		Expect(text).To(Equal(`{"path":"/book//x?day=1","method":"POST","body":"hello","executions":1}`))
		text, _ = post("/book", "k1", "")
		Expect(text).To(ContainSubstring(`"executions":2`))
		post("/book", "", `{"key":"k2"}`)
		Expect(server.Executions()).To(Equal(app.Executions{Total: 3, ByKey: map[string]int{"k1": 2, "k2": 1}}))
	})

	DescribeTable("brings faults about", func(fault, answer string, status, ran int) {
		_, code := post("/admin/fault", "", fault)
		Expect(code).To(Equal(http.StatusNoContent))
		text, got := post("/book", "k", "")
		Expect(text).To(ContainSubstring(answer))
		Expect(got).To(Equal(status))
		Expect(server.Executions().Total).To(Equal(ran))
	},
		Entry("slow", `{"kind":"slow","delay_ms":1}`, `"executions":1`, 200, 1),
		Entry("drop after run", `{"kind":"drop_after_run","count":1}`, "no answer", 0, 1),
		Entry("refuse", `{"kind":"refuse"}`, `"executed":"no"`, 503, 0),
		Entry("none", `{"kind":"none"}`, `"executions":1`, 200, 1),
	)

	It("ends a counted fault and refuses unknown ones", func() {
		server.SetFault(app.Fault{Kind: app.FaultRefuse, Count: 1})
		post("/book", "k", "")
		_, status := post("/book", "k", "")
		Expect(status).To(Equal(http.StatusOK))
		_, status = post("/admin/fault", "", `{"kind":"odd"}`)
		Expect(status).To(Equal(http.StatusBadRequest))
	})

	// The process pauses after it took the call. The caller hears nothing, and
	// the call runs when the process wakes up.
	It("runs a call that came during a freeze when the freeze is over", func() {
		server.SetFault(app.Fault{Kind: app.FaultFreeze})
		done := make(chan string, 1)
		go func() { text, _ := post("/book", "k", ""); done <- text }()
		Eventually(func() string { r, _ := http.Get(site.URL + "/v1/load"); b, _ := io.ReadAll(r.Body); return string(b) }).
			Should(ContainSubstring(`"running":1`))
		Expect(server.Executions().Total).To(BeZero())
		server.SetFault(app.Fault{Kind: app.FaultNone})
		Eventually(done, "5s").Should(Receive(ContainSubstring(`"executions":1`)))
	})
})
