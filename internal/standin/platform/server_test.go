package platform_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/standin/platform"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "simulated configuration service")
}

var _ = Describe("the simulated configuration service", func() {
	var server *platform.Server
	var httpServer *httptest.Server
	var now time.Time

	startServer := func(rate int) {
		server = platform.NewServer(platform.Config{CallsPerSecond: rate, Now: func() time.Time { return now }})
		httpServer = httptest.NewServer(server.Handler())
		DeferCleanup(httpServer.Close)
		DeferCleanup(server.Close)
	}

	call := func(method, path, body string) (int, string) {
		r, err := http.NewRequest(method, httpServer.URL+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0, ""
		}
		defer resp.Body.Close()
		var summary strings.Builder
		_ = resp.Write(&summary)
		return resp.StatusCode, summary.String()
	}

	// readValues summarizes the response: revision, keys, and key@revision=value.
	readValues := func(query string) string {
		resp, err := http.Get(httpServer.URL + "/v1/values?" + query)
		if err != nil {
			return "no answer"
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("Retry-After"))
		}
		var result platform.ReadResult
		Expect(json.NewDecoder(resp.Body).Decode(&result)).To(Succeed())
		summary := fmt.Sprint(result.Revision, " ", result.Keys)
		for _, v := range result.Values {
			summary += fmt.Sprintf(" %s@%d=%s", v.Key, v.Revision, v.Value)
		}
		return summary
	}

	writeSampleValues := func() {
		server.Put("table/0001", "a")
		server.Put("drain", "dc-1")
		server.Put("table/0001", "b")
	}

	DescribeTable("returns the values that changed under a prefix", func(query, want string) {
		startServer(0)
		writeSampleValues()
		Expect(readValues(query)).To(Equal(want))
	},
		Entry("all", "", "3 [drain table/0001] drain@2=dc-1 table/0001@3=b"),
		Entry("prefix", "prefix=drain", "3 [drain] drain@2=dc-1"),
		Entry("after", "after=2", "3 [drain table/0001] table/0001@3=b"),
		Entry("nothing new", "prefix=drain&after=2&wait_ms=1", "3 [drain]"),
		Entry("bad number", "after=x", "400 "),
	)

	DescribeTable("ends a blocked watch", func(write func(), want string) {
		startServer(0)
		writeSampleValues()
		response := make(chan string, 1)
		go func() { response <- readValues("prefix=table/&after=3&wait_ms=60000") }()
		Eventually(func() string { _, body := call("GET", "/admin/calls", ""); return body }).
			Should(ContainSubstring(`"total":1`))
		write()
		Eventually(response, 5*time.Second).Should(Receive(Equal(want)))
	},
		Entry("by a write", func() { server.Put("table/0002", "c") }, "4 [table/0001 table/0002] table/0002@4=c"),
		Entry("by a deletion", func() { call("DELETE", "/admin/values/table/0001", "") }, "4 []"),
		Entry("by a restore", func() { call("POST", "/admin/restore", `{"revision":1}`) }, "1 [table/0001]"),
		Entry("by a switch to the mode down", func() { call("POST", "/admin/mode", `{"mode":"down"}`) }, "no answer"),
	)

	// After operators restore an old backup, readers that have seen later edits
	// observe a lower revision, and new edits reuse revision numbers.
	It("serves a restored state with its old, lower revision", func() {
		startServer(0)
		writeSampleValues()
		call("POST", "/admin/restore", `{"revision":2}`)
		Expect(readValues("")).To(Equal("2 [drain table/0001] drain@2=dc-1 table/0001@1=a"))
		call("PUT", "/admin/values/table/0001", "other")
		Expect(readValues("after=2")).To(Equal("3 [drain table/0001] table/0001@3=other"))
	})

	// The service responds from a replica that lags behind: readers do not see
	// new edits until the replica catches up.
	It("hides edits while it is stale and shows them afterwards", func() {
		startServer(0)
		writeSampleValues()
		call("POST", "/admin/mode", `{"mode":"stale"}`)
		server.Put("drain", "")
		Expect(readValues("prefix=drain")).To(Equal("3 [drain] drain@2=dc-1"))
		call("POST", "/admin/mode", `{"mode":"normal"}`)
		Expect(readValues("prefix=drain&after=3&wait_ms=60000")).To(Equal("4 [drain] drain@4="))
	})

	It("drops calls while it is down, and rejects unknown modes and oversized values", func() {
		startServer(0)
		server.SetMode(platform.ModeDown, 0)
		Expect(readValues("")).To(Equal("no answer"))
		server.SetMode(platform.ModeSlow, time.Millisecond)
		Expect(readValues("")).To(Equal("0 []"))
		status, _ := call("POST", "/admin/mode", `{"mode":"odd"}`)
		Expect(status).To(Equal(http.StatusBadRequest))
		status, _ = call("PUT", "/admin/values/big", strings.Repeat("x", platform.MaxValueBytes+1))
		Expect(status).To(Equal(http.StatusRequestEntityTooLarge))
	})

	It("counts calls and responds with 429 when the rate limit is exceeded", func() {
		startServer(2)
		responses := ""
		for range 3 {
			responses += readValues("prefix=p") + ";"
		}
		now = now.Add(time.Second)
		Expect(responses + readValues("prefix=p")).To(Equal("0 [];0 [];429 1;0 []"))
		_, body := call("GET", "/admin/calls", "")
		Expect(body).To(ContainSubstring(`"total":4,"refused":1`))
	})
})
