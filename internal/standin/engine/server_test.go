package engine_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/standin/engine"
	"filbertdeck/internal/standin/model"
)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine stand-in")
}

// frame is one event's data.
type frame struct {
	Generation string  `json:"generation"`
	Offset     int     `json:"offset"`
	Text       string  `json:"text"`
	Tokens     int     `json:"tokens"`
	Finish     *string `json:"finish_reason"`
}

// stream is a stream that the test follows.
type stream struct {
	resp  *http.Response
	lines *bufio.Scanner
}

var _ = Describe("the engine", func() {
	var server *engine.Server
	var site *httptest.Server

	start := func(change func(*engine.Config)) {
		cfg := engine.Config{Model: model.Config{
			BaseStep: 100 * time.Microsecond, PerSequence: time.Microsecond, PerPromptToken: time.Nanosecond,
			ReportLag: time.Millisecond,
		}}
		change(&cfg)
		server = engine.NewServer(cfg)
		site = httptest.NewServer(server.Handler())
		DeferCleanup(site.Close)
		DeferCleanup(server.Close)
	}
	plain := func(*engine.Config) {}

	do := func(method, path, body string, headers ...string) *http.Response {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		r, err := http.NewRequestWithContext(ctx, method, site.URL+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		for i := 0; i < len(headers); i += 2 {
			r.Header.Set(headers[i], headers[i+1])
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return nil
		}
		DeferCleanup(resp.Body.Close)
		return resp
	}
	begin := func(id, prompt string) *stream {
		resp := do("POST", "/v1/completions", fmt.Sprintf(`{"prompt":%q,"stream":true}`, prompt), engine.HeaderGeneration, id)
		return &stream{resp: resp, lines: bufio.NewScanner(resp.Body)}
	}
	resume := func(id string, offset int) *stream {
		resp := do("GET", fmt.Sprintf("/v1/generations/%s?offset=%d", id, offset), "")
		return &stream{resp: resp, lines: bufio.NewScanner(resp.Body)}
	}
	// read gives the next frame, and false at the end of the stream.
	read := func(s *stream) (frame, bool) {
		for s.lines.Scan() {
			data, ok := strings.CutPrefix(s.lines.Text(), "data: ")
			if !ok || data == "[DONE]" {
				continue
			}
			var f frame
			ExpectWithOffset(1, json.Unmarshal([]byte(data), &f)).To(Succeed())
			return f, true
		}
		return frame{}, false
	}
	// rest reads to the end and gives the text, checked for gaps, and the reason.
	rest := func(s *stream, from int) (string, string) {
		text, finish := "", "cut"
		for f, ok := read(s); ok; f, ok = read(s) {
			ExpectWithOffset(1, f.Offset).To(Equal(from))
			from += f.Tokens
			text += f.Text
			if f.Finish != nil {
				finish = *f.Finish
			}
		}
		return text, finish
	}
	fault := func(f engine.Fault) { ExpectWithOffset(1, server.SetFault(f)).To(Succeed()) }
	state := func() string {
		out := ""
		for _, r := range server.Records() {
			out += fmt.Sprintf("%s:%s ", r.Generation, r.State)
		}
		return strings.TrimSpace(out)
	}

	It("streams the words that its protocol foretells, and resumes them", func() {
		start(plain)
		text, finish := rest(begin("gen-000abc", "[tokens=3]"), 0)
		Expect(text).To(Equal("w0-000abc w1-000abc w2-000abc "))
		Expect(finish).To(Equal("stop"))
		text, finish = rest(resume("gen-000abc", 2), 2)
		Expect(text + finish).To(Equal("w2-000abc stop"))
		_, finish = rest(resume("gen-000abc", 3), 3)
		Expect(finish).To(Equal("stop"))
		Expect(do("GET", "/v1/generations/gen-000abc?offset=4", "").StatusCode).To(Equal(400))
		Expect(do("GET", "/v1/generations/none", "").StatusCode).To(Equal(404))
	})

	It("answers whole, bounded by max_tokens, with a length fixed by seed and id", func() {
		start(plain)
		body, _ := io.ReadAll(do("POST", "/v1/completions", `{"model":"m","prompt":"[tokens=9]","max_tokens":2}`,
			engine.HeaderGeneration, "g1").Body)
		Expect(string(body)).To(ContainSubstring(`"text":"w0-g1 w1-g1 ","finish_reason":"length"`))
		do("POST", "/v1/completions", `{"prompt":"x"}`, engine.HeaderGeneration, "g2")
		first := server.Records()[1].Length
		start(plain)
		do("POST", "/v1/completions", `{"prompt":"x"}`, engine.HeaderGeneration, "g2")
		Expect(server.Records()[0].Length).To(Equal(first))
	})

	DescribeTable("refuses, and says that it did not run", func(status int, body string, headers ...string) {
		start(func(c *engine.Config) { c.CheckFence = true })
		do("POST", "/v1/completions", `{"prompt":"[tokens=1]"}`, engine.HeaderGeneration, "g1", engine.HeaderFence, "7")
		resp := do("POST", "/v1/completions", body, headers...)
		Expect(resp.StatusCode).To(Equal(status))
		Expect(resp.Header.Get(engine.HeaderExecuted)).To(Equal("no"))
		Expect(server.Records()).To(HaveLen(1))
	},
		Entry("second start", 409, `{}`, engine.HeaderGeneration, "g1"),
		Entry("old fence", 412, `{}`, engine.HeaderFence, "6"),
		Entry("no fence", 400, `{}`, engine.HeaderFence, "x"),
		Entry("bad id", 400, `{}`, engine.HeaderGeneration, `a"b`),
		Entry("bad priority", 400, `{}`, engine.HeaderPriority, "x"),
		Entry("too large", 422, `{"prompt":"[tokens=999999]","max_tokens":999999}`),
	)

	DescribeTable("takes orders by fencing number", func(check bool, want int) {
		start(func(c *engine.Config) { c.CheckFence = check })
		Expect(do("POST", "/v1/orders", `{"kind":"set_role","name":"a","fence":5}`).StatusCode).To(Equal(200))
		Expect(do("POST", "/v1/orders", `{"kind":"load_model","name":"b","fence":4}`).StatusCode).To(Equal(want))
		Expect(do("POST", "/v1/orders", `{"kind":"odd","fence":9}`).StatusCode).To(Equal(400))
	},
		Entry("checked", true, 412),
		Entry("not checked", false, 200),
	)

	It("cancels on request, and after a grace when the connection is lost", func() {
		start(func(c *engine.Config) { c.Grace = time.Millisecond })
		begin("g1", "[tokens=15000]")
		Expect(do("DELETE", "/v1/generations/g1", "").StatusCode).To(Equal(204))
		Expect(do("GET", "/v1/generations/g1", "").StatusCode).To(Equal(404))
		s := begin("g2", "[tokens=15000]")
		_ = s.resp.Body.Close()
		Eventually(state, "10s").Should(Equal("g1:cancelled g2:cancelled"))
	})

	// The network drops the connection in mid-stream. The caller sees half an
	// answer unless somebody resumes the same generation where it stopped.
	It("lets a cut generation run on for a resume", func() {
		start(plain)
		s := begin("g1", "[tokens=15000]")
		f, _ := read(s)
		fault(engine.Fault{Kind: engine.FaultCut})
		_, finish := rest(s, f.Tokens)
		Expect(finish).To(Equal("cut"))
		Eventually(state, "60s").Should(Equal("g1:finished"))
		text, finish := rest(resume("g1", 14_998), 14_998)
		Expect(text).To(Equal("w14998-g1 w14999-g1 "))
		Expect(finish).To(Equal("stop"))
	})

	// A middlebox forgets the connection: it stays open and brings nothing more.
	It("goes silent on old connections while new ones work", func() {
		start(func(c *engine.Config) { c.KeepAlive = time.Millisecond })
		s := begin("g1", "[tokens=15000]")
		fault(engine.Fault{Kind: engine.FaultSilent})
		_, finish := rest(resume("g1", 0), 0)
		Expect(finish).To(Equal("stop"))
		ended := make(chan struct{})
		go func() {
			for s.lines.Scan() {
			}
			close(ended)
		}()
		Consistently(ended, "50ms").ShouldNot(BeClosed())
	})

	DescribeTable("misnumbers one frame", func(field string, wrong func(frame) bool) {
		start(plain)
		fault(engine.Fault{Kind: engine.FaultMisnumber, Field: field})
		// Long enough for several frames, also when the first one holds many tokens.
		s := begin("g1", "[tokens=1000]")
		first, _ := read(s)
		Expect(wrong(first)).To(BeTrue())
		second, ok := read(s)
		Expect(ok).To(BeTrue())
		Expect(wrong(second)).To(BeFalse())
	},
		Entry("offset", "offset", func(f frame) bool { return !strings.HasPrefix(f.Text, fmt.Sprintf("w%d-", f.Offset)) }),
		Entry("generation", "generation", func(f frame) bool { return f.Generation != "g1" }),
	)

	// A request kills whatever runs it. Everybody else's stream on that engine
	// ends in the middle, and nothing of it can be resumed.
	It("dies of a poison request and comes back cold, with a new incarnation", func() {
		start(func(c *engine.Config) {
			c.RestartAfter, c.Model.WarmUpTime = time.Millisecond, time.Hour
			c.Model.WarmCapacity = 1
		})
		s := begin("g1", "[tokens=5000] [crash]")
		_, finish := rest(s, 0)
		Expect(finish).To(Equal("cut"))
		Eventually(func() int {
			if resp := do("GET", "/v1/generations/g1", ""); resp != nil {
				return resp.StatusCode
			}
			return 0
		}, "10s").Should(Equal(404))
		Expect(state()).To(Equal("g1:lost"))
		text, _ := rest(begin("g1", "[tokens=1]"), 0)
		Expect(text).To(Equal("w0-g1 "))
		records := server.Records()
		Expect(records[1].Incarnation).To(Equal(records[0].Incarnation + 1))
	})

	It("tells its crash, and drops every call from then on", func() {
		crashed := make(chan struct{})
		start(func(c *engine.Config) { c.OnCrash = func() { close(crashed) } })
		fault(engine.Fault{Kind: engine.FaultReclaim, NoticeMS: 1})
		Eventually(crashed, "10s").Should(BeClosed())
		Expect(do("GET", "/healthz", "")).To(BeNil())
	})

	It("holds everything during a freeze and goes on afterwards", func() {
		start(plain)
		fault(engine.Fault{Kind: engine.FaultFreeze, DurationMS: 60_000})
		answer := make(chan int, 1)
		go func() {
			resp, err := http.Get(site.URL + "/v1/load")
			if err == nil {
				_ = resp.Body.Close()
				answer <- resp.StatusCode
			}
		}()
		Consistently(answer, "50ms").ShouldNot(Receive())
		fault(engine.Fault{Kind: engine.FaultNone})
		Eventually(answer, "10s").Should(Receive(Equal(200)))
	})

	It("reports load and cache news in the protocol's form", func() {
		start(func(c *engine.Config) { c.Model.WarmCapacity = 3 })
		rest(begin("g1", strings.Repeat("p", 64)+"[tokens=1]"), 0)
		body, _ := io.ReadAll(do("GET", "/v1/load", "").Body)
		Expect(string(body)).To(MatchRegexp(
			`^\{"incarnation":\d+,"age_ms":\d+,"memory_tokens":100000,"used_tokens":\d+,"running":\d,"waiting":0,"preemptions":0,"bears":3,"step_us":\d+,"stopping":false\}`))
		body, _ = io.ReadAll(do("GET", "/admin/stats", "").Body)
		Expect(string(body)).To(HavePrefix(`{"submitted":1,"finished":1,"cancelled":0,"tokens":1,"preemptions":0`))
		body, _ = io.ReadAll(do("GET", "/v1/cache/events?after=0", "").Body)
		want := fmt.Sprintf(`{"sequence":1,"gap":false,"cached":["%d"],"evicted":[]}`, model.PrefixChain(strings.Repeat("p", 64))[0])
		Expect(strings.TrimSpace(string(body))).To(Equal(want))
	})
})
