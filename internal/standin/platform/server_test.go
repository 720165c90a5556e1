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
	RunSpecs(t, "platform stand-in")
}

var _ = Describe("the configuration service", func() {
	var server *platform.Server
	var site *httptest.Server
	var now time.Time

	start := func(rate int) {
		server = platform.NewServer(platform.Config{CallsPerSecond: rate, Now: func() time.Time { return now }})
		site = httptest.NewServer(server.Handler())
		DeferCleanup(site.Close)
		DeferCleanup(server.Close)
	}

	call := func(method, path, body string) (int, string) {
		r, err := http.NewRequest(method, site.URL+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0, ""
		}
		defer resp.Body.Close()
		var out strings.Builder
		_ = resp.Write(&out)
		return resp.StatusCode, out.String()
	}

	// read gives the answer in short: revision, keys, and key@revision=value.
	read := func(query string) string {
		resp, err := http.Get(site.URL + "/v1/values?" + query)
		if err != nil {
			return "no answer"
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("Retry-After"))
		}
		var a platform.Answer
		Expect(json.NewDecoder(resp.Body).Decode(&a)).To(Succeed())
		out := fmt.Sprint(a.Revision, " ", a.Keys)
		for _, v := range a.Values {
			out += fmt.Sprintf(" %s@%d=%s", v.Key, v.Revision, v.Value)
		}
		return out
	}

	edit := func() {
		server.Put("table/0001", "a")
		server.Put("drain", "dc-1")
		server.Put("table/0001", "b")
	}

	DescribeTable("answers what changed under a prefix", func(query, want string) {
		start(0)
		edit()
		Expect(read(query)).To(Equal(want))
	},
		Entry("all", "", "3 [drain table/0001] drain@2=dc-1 table/0001@3=b"),
		Entry("prefix", "prefix=drain", "3 [drain] drain@2=dc-1"),
		Entry("after", "after=2", "3 [drain table/0001] table/0001@3=b"),
		Entry("nothing new", "prefix=drain&after=2&wait_ms=1", "3 [drain]"),
		Entry("bad number", "after=x", "400 "),
	)

	DescribeTable("wakes a watch", func(write func(), want string) {
		start(0)
		edit()
		answer := make(chan string, 1)
		go func() { answer <- read("prefix=table/&after=3&wait_ms=60000") }()
		Eventually(func() string { _, body := call("GET", "/admin/calls", ""); return body }).
			Should(ContainSubstring(`"total":1`))
		write()
		Eventually(answer, 5*time.Second).Should(Receive(Equal(want)))
	},
		Entry("by a write", func() { server.Put("table/0002", "c") }, "4 [table/0001 table/0002] table/0002@4=c"),
		Entry("by a deletion", func() { call("DELETE", "/admin/values/table/0001", "") }, "4 []"),
		Entry("by a restore", func() { call("POST", "/admin/restore", `{"revision":1}`) }, "1 [table/0001]"),
		Entry("by its end", func() { call("POST", "/admin/mode", `{"mode":"down"}`) }, "no answer"),
	)

	// Operators put an old backup in place. Readers that know later edits see
	// the revision fall, and later edits get revisions that were given before.
	It("gives a restored state with its old, lower revision", func() {
		start(0)
		edit()
		call("POST", "/admin/restore", `{"revision":2}`)
		Expect(read("")).To(Equal("2 [drain table/0001] drain@2=dc-1 table/0001@1=a"))
		call("PUT", "/admin/values/table/0001", "other")
		Expect(read("after=2")).To(Equal("3 [drain table/0001] table/0001@3=other"))
	})

	// The service answers, but from a replica that got stuck: edits are made
	// and nobody sees them until it catches up.
	It("hides edits while it is stale and shows them afterwards", func() {
		start(0)
		edit()
		call("POST", "/admin/mode", `{"mode":"stale"}`)
		server.Put("drain", "")
		Expect(read("prefix=drain")).To(Equal("3 [drain] drain@2=dc-1"))
		call("POST", "/admin/mode", `{"mode":"normal"}`)
		Expect(read("prefix=drain&after=3&wait_ms=60000")).To(Equal("4 [drain] drain@4="))
	})

	It("drops calls while it is down, and refuses unknown modes and big values", func() {
		start(0)
		server.SetMode(platform.ModeDown, 0)
		Expect(read("")).To(Equal("no answer"))
		server.SetMode(platform.ModeSlow, time.Millisecond)
		Expect(read("")).To(Equal("0 []"))
		status, _ := call("POST", "/admin/mode", `{"mode":"odd"}`)
		Expect(status).To(Equal(http.StatusBadRequest))
		status, _ = call("PUT", "/admin/values/big", strings.Repeat("x", platform.MaxValue+1))
		Expect(status).To(Equal(http.StatusRequestEntityTooLarge))
	})

	It("counts calls and answers 429 past the rate", func() {
		start(2)
		answers := ""
		for range 3 {
			answers += read("prefix=p") + ";"
		}
		now = now.Add(time.Second)
		Expect(answers + read("prefix=p")).To(Equal("0 [];0 [];429 1;0 []"))
		_, body := call("GET", "/admin/calls", "")
		Expect(body).To(ContainSubstring(`"total":4,"refused":1`))
	})
})
