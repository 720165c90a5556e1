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
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "simulated engine")
}

// streamFrame is the data of one event.
type streamFrame struct {
	Generation   string  `json:"generation"`
	Offset       int     `json:"offset"`
	Text         string  `json:"text"`
	Tokens       int     `json:"tokens"`
	FinishReason *string `json:"finish_reason"`
}

// streamReader reads the lines of a streaming response.
type streamReader struct {
	resp  *http.Response
	lines *bufio.Scanner
}

var _ = Describe("the simulated engine", func() {
	var server *engine.Server
	var httpServer *httptest.Server

	startServer := func(configure func(*engine.Config)) {
		cfg := engine.Config{Model: model.Config{
			BaseStep: 100 * time.Microsecond, PerSequence: time.Microsecond, PerPromptToken: time.Nanosecond,
			ReportLag: time.Millisecond,
		}}
		configure(&cfg)
		server = engine.NewServer(cfg)
		httpServer = httptest.NewServer(server.Handler())
		DeferCleanup(httpServer.Close)
		DeferCleanup(server.Close)
	}
	defaultConfig := func(*engine.Config) {}

	sendRequest := func(method, path, body string, headers ...string) *http.Response {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		r, err := http.NewRequestWithContext(ctx, method, httpServer.URL+path, strings.NewReader(body))
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
	startStream := func(id, prompt string) *streamReader {
		resp := sendRequest("POST", "/v1/completions", fmt.Sprintf(`{"prompt":%q,"stream":true}`, prompt), engine.HeaderGeneration, id)
		return &streamReader{resp: resp, lines: bufio.NewScanner(resp.Body)}
	}
	resumeStream := func(id string, offset int) *streamReader {
		resp := sendRequest("GET", fmt.Sprintf("/v1/generations/%s?offset=%d", id, offset), "")
		return &streamReader{resp: resp, lines: bufio.NewScanner(resp.Body)}
	}
	// readFrame returns the next frame, and false at the end of the stream.
	readFrame := func(reader *streamReader) (streamFrame, bool) {
		for reader.lines.Scan() {
			data, ok := strings.CutPrefix(reader.lines.Text(), "data: ")
			if !ok || data == "[DONE]" {
				continue
			}
			var frame streamFrame
			ExpectWithOffset(1, json.Unmarshal([]byte(data), &frame)).To(Succeed())
			return frame, true
		}
		return streamFrame{}, false
	}
	// readRemaining reads the stream to its end, checks that the offsets have no
	// gaps, and returns the text and the finish reason ("cut" if there is none).
	readRemaining := func(reader *streamReader, from int) (string, string) {
		text, finishReason := "", "cut"
		for frame, ok := readFrame(reader); ok; frame, ok = readFrame(reader) {
			ExpectWithOffset(1, frame.Offset).To(Equal(from))
			from += frame.Tokens
			text += frame.Text
			if frame.FinishReason != nil {
				finishReason = *frame.FinishReason
			}
		}
		return text, finishReason
	}
	setFault := func(fault engine.Fault) { ExpectWithOffset(1, server.SetFault(fault)).To(Succeed()) }
	generationStates := func() string {
		states := ""
		for _, r := range server.Records() {
			states += fmt.Sprintf("%s:%s ", r.Generation, r.State)
		}
		return strings.TrimSpace(states)
	}

	It("streams the text determined by the id, and resumes it", func() {
		startServer(defaultConfig)
		text, finishReason := readRemaining(startStream("gen-000abc", "[tokens=3]"), 0)
		Expect(text).To(Equal("w0-000abc w1-000abc w2-000abc "))
		Expect(finishReason).To(Equal("stop"))
		text, finishReason = readRemaining(resumeStream("gen-000abc", 2), 2)
		Expect(text + finishReason).To(Equal("w2-000abc stop"))
		_, finishReason = readRemaining(resumeStream("gen-000abc", 3), 3)
		Expect(finishReason).To(Equal("stop"))
		Expect(sendRequest("GET", "/v1/generations/gen-000abc?offset=4", "").StatusCode).To(Equal(400))
		Expect(sendRequest("GET", "/v1/generations/none", "").StatusCode).To(Equal(404))
	})

	It("responds with the whole text, limited by max_tokens, with a length determined by seed and id", func() {
		startServer(defaultConfig)
		body, _ := io.ReadAll(sendRequest("POST", "/v1/completions", `{"model":"m","prompt":"[tokens=9]","max_tokens":2}`,
			engine.HeaderGeneration, "g1").Body)
		Expect(string(body)).To(ContainSubstring(`"text":"w0-g1 w1-g1 ","finish_reason":"length"`))
		sendRequest("POST", "/v1/completions", `{"prompt":"x"}`, engine.HeaderGeneration, "g2")
		first := server.Records()[1].Length
		startServer(defaultConfig)
		sendRequest("POST", "/v1/completions", `{"prompt":"x"}`, engine.HeaderGeneration, "g2")
		Expect(server.Records()[0].Length).To(Equal(first))
	})

	DescribeTable("refuses a request and reports that it was not executed", func(status int, body string, headers ...string) {
		startServer(func(c *engine.Config) { c.CheckFence = true })
		sendRequest("POST", "/v1/completions", `{"prompt":"[tokens=1]"}`, engine.HeaderGeneration, "g1", engine.HeaderFence, "7")
		resp := sendRequest("POST", "/v1/completions", body, headers...)
		Expect(resp.StatusCode).To(Equal(status))
		Expect(resp.Header.Get(engine.HeaderExecuted)).To(Equal("no"))
		Expect(server.Records()).To(HaveLen(1))
	},
		Entry("second start", 409, `{}`, engine.HeaderGeneration, "g1"),
		Entry("old fence", 412, `{}`, engine.HeaderFence, "6"),
		Entry("invalid fence", 400, `{}`, engine.HeaderFence, "x"),
		Entry("bad id", 400, `{}`, engine.HeaderGeneration, `a"b`),
		Entry("bad priority", 400, `{}`, engine.HeaderPriority, "x"),
		Entry("too large", 422, `{"prompt":"[tokens=999999]","max_tokens":999999}`),
	)

	DescribeTable("checks the fencing token of orders", func(check bool, want int) {
		startServer(func(c *engine.Config) { c.CheckFence = check })
		Expect(sendRequest("POST", "/v1/orders", `{"kind":"set_role","name":"a","fence":5}`).StatusCode).To(Equal(200))
		Expect(sendRequest("POST", "/v1/orders", `{"kind":"load_model","name":"b","fence":4}`).StatusCode).To(Equal(want))
		Expect(sendRequest("POST", "/v1/orders", `{"kind":"odd","fence":9}`).StatusCode).To(Equal(400))
	},
		Entry("checked", true, 412),
		Entry("not checked", false, 200),
	)

	It("cancels on request, and after the grace period when the connection is lost", func() {
		startServer(func(c *engine.Config) { c.DisconnectGrace = time.Millisecond })
		startStream("g1", "[tokens=15000]")
		Expect(sendRequest("DELETE", "/v1/generations/g1", "").StatusCode).To(Equal(204))
		Expect(sendRequest("GET", "/v1/generations/g1", "").StatusCode).To(Equal(404))
		reader := startStream("g2", "[tokens=15000]")
		_ = reader.resp.Body.Close()
		Eventually(generationStates, "10s").Should(Equal("g1:cancelled g2:cancelled"))
	})

	// If the network drops the connection in mid-stream, the caller gets a partial
	// response unless the same generation is resumed at the offset reached.
	It("continues a generation whose connection was closed, for a resume", func() {
		startServer(defaultConfig)
		reader := startStream("g1", "[tokens=15000]")
		frame, _ := readFrame(reader)
		setFault(engine.Fault{Kind: engine.FaultCloseStreams})
		_, finishReason := readRemaining(reader, frame.Tokens)
		Expect(finishReason).To(Equal("cut"))
		Eventually(generationStates, "60s").Should(Equal("g1:finished"))
		text, finishReason := readRemaining(resumeStream("g1", 14_998), 14_998)
		Expect(text).To(Equal("w14998-g1 w14999-g1 "))
		Expect(finishReason).To(Equal("stop"))
	})

	// A middlebox that loses the state of a connection leaves it open without
	// delivering further data.
	It("stops sending on existing connections while new ones work", func() {
		startServer(func(c *engine.Config) { c.KeepAliveInterval = time.Millisecond })
		reader := startStream("g1", "[tokens=15000]")
		setFault(engine.Fault{Kind: engine.FaultSilenceStreams})
		_, finishReason := readRemaining(resumeStream("g1", 0), 0)
		Expect(finishReason).To(Equal("stop"))
		ended := make(chan struct{})
		go func() {
			for reader.lines.Scan() {
			}
			close(ended)
		}()
		Consistently(ended, "50ms").ShouldNot(BeClosed())
	})

	DescribeTable("corrupts one frame", func(field string, isCorrupted func(streamFrame) bool) {
		startServer(defaultConfig)
		setFault(engine.Fault{Kind: engine.FaultCorruptFrame, Field: field})
		// Long enough for several frames, even if the first one has many tokens.
		reader := startStream("g1", "[tokens=1000]")
		first, _ := readFrame(reader)
		Expect(isCorrupted(first)).To(BeTrue())
		second, ok := readFrame(reader)
		Expect(ok).To(BeTrue())
		Expect(isCorrupted(second)).To(BeFalse())
	},
		Entry("offset", "offset", func(frame streamFrame) bool { return !strings.HasPrefix(frame.Text, fmt.Sprintf("w%d-", frame.Offset)) }),
		Entry("generation", "generation", func(frame streamFrame) bool { return frame.Generation != "g1" }),
	)

	// A poison request crashes each engine that runs it. All other streams of the
	// engine are cut off and can't be resumed.
	It("crashes at a poison request and restarts cold, with a new incarnation", func() {
		startServer(func(c *engine.Config) {
			c.RestartAfter, c.Model.WarmUpTime = time.Millisecond, time.Hour
			c.Model.WarmCapacity = 1
		})
		reader := startStream("g1", "[tokens=5000] [crash]")
		_, finishReason := readRemaining(reader, 0)
		Expect(finishReason).To(Equal("cut"))
		Eventually(func() int {
			if resp := sendRequest("GET", "/v1/generations/g1", ""); resp != nil {
				return resp.StatusCode
			}
			return 0
		}, "10s").Should(Equal(404))
		Expect(generationStates()).To(Equal("g1:lost"))
		text, _ := readRemaining(startStream("g1", "[tokens=1]"), 0)
		Expect(text).To(Equal("w0-g1 "))
		records := server.Records()
		Expect(records[1].Incarnation).To(Equal(records[0].Incarnation + 1))
	})

	It("calls OnCrash, and closes the connection of each later request", func() {
		crashed := make(chan struct{})
		startServer(func(c *engine.Config) { c.OnCrash = func() { close(crashed) } })
		setFault(engine.Fault{Kind: engine.FaultReclaim, NoticeMS: 1})
		Eventually(crashed, "10s").Should(BeClosed())
		Expect(sendRequest("GET", "/healthz", "")).To(BeNil())
	})

	It("blocks requests during a freeze and continues afterwards", func() {
		startServer(defaultConfig)
		setFault(engine.Fault{Kind: engine.FaultFreeze, DurationMS: 60_000})
		statusCode := make(chan int, 1)
		go func() {
			resp, err := http.Get(httpServer.URL + "/v1/load")
			if err == nil {
				_ = resp.Body.Close()
				statusCode <- resp.StatusCode
			}
		}()
		Consistently(statusCode, "50ms").ShouldNot(Receive())
		setFault(engine.Fault{Kind: engine.FaultNone})
		Eventually(statusCode, "10s").Should(Receive(Equal(200)))
	})

	It("reports load and cache events in the format of the protocol", func() {
		startServer(func(c *engine.Config) { c.Model.WarmCapacity = 3 })
		readRemaining(startStream("g1", strings.Repeat("p", 64)+"[tokens=1]"), 0)
		body, _ := io.ReadAll(sendRequest("GET", "/v1/load", "").Body)
		Expect(string(body)).To(MatchRegexp(
			`^\{"incarnation":\d+,"age_ms":\d+,"memory_tokens":100000,"used_tokens":\d+,"running":\d,"waiting":0,"preemptions":0,"bears":3,"step_us":\d+,"stopping":false\}`))
		body, _ = io.ReadAll(sendRequest("GET", "/admin/stats", "").Body)
		Expect(string(body)).To(HavePrefix(`{"submitted":1,"finished":1,"cancelled":0,"tokens":1,"preemptions":0`))
		body, _ = io.ReadAll(sendRequest("GET", "/v1/cache/events?after=0", "").Body)
		want := fmt.Sprintf(`{"sequence":1,"gap":false,"cached":["%d"],"evicted":[]}`, model.PrefixChain(strings.Repeat("p", 64))[0])
		Expect(strings.TrimSpace(string(body))).To(Equal(want))
	})
})
