package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/fleet"
	"filbertdeck/internal/sse"
	"filbertdeck/internal/standin/app"
	"filbertdeck/internal/standin/engine"
	"filbertdeck/internal/standin/model"
	"filbertdeck/internal/tcpconn/cuttest"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load")
}

func scheduledCalls(a ArrivalConfig, accounts int) []Call {
	p, _ := FindProfile("cooperative")
	s := newSchedule(a, p, accounts)
	var out []Call
	for c, ok := s.next(); ok; c, ok = s.next() {
		out = append(out, c)
	}
	return out
}

var _ = Describe("the schedule", func() {
	base := ArrivalConfig{Rate: 100, Duration: 100 * time.Second, LengthScale: 1, Seed: 7}

	It("is identical for the same seed and differs for another", func() {
		other := base
		other.Seed = 8
		Expect(scheduledCalls(base, 10)).To(Equal(scheduledCalls(base, 10)))
		Expect(scheduledCalls(other, 10)[0].IntendedStart).NotTo(Equal(scheduledCalls(base, 10)[0].IntendedStart))
	})

	It("has the configured rate, shares, account sizes and medians", func() {
		all := scheduledCalls(base, 10)
		Expect(len(all)).To(BeNumerically("~", 10_000, 400))
		kinds, accounts, longWaivers := map[string]int{}, map[int]int{}, 0
		for _, c := range all {
			kinds[c.Kind.Name]++
			accounts[c.AccountIndex]++
			if c.Kind.Name == "waiver" && c.OutputTokens > 250 {
				longWaivers++
			}
		}
		Expect(kinds["lookup"]).To(BeNumerically("~", 5500, 250))
		Expect(accounts[0]).To(BeNumerically("~", 3414, 200))
		Expect(accounts[9]).To(BeNumerically("~", 341, 80))
		Expect(longWaivers).To(BeNumerically("~", kinds["waiver"]/2, 120))
	})

	It("adds bursts at the end of each period", func() {
		a := base
		a.BurstFactor, a.BurstInterval, a.BurstDuration = 10, 10*time.Second, time.Second
		inBursts := 0
		all := scheduledCalls(a, 3)
		for _, c := range all {
			if c.IntendedStart%a.BurstInterval >= 9*time.Second {
				inBursts++
			}
		}
		Expect(inBursts).To(BeNumerically("~", 10_000, 400))
		Expect(len(all) - inBursts).To(BeNumerically("~", 9_000, 400))
	})

	It("has profiles whose shares sum to one", func() {
		for _, p := range Profiles() {
			sum := 0.0
			for _, k := range p.Kinds {
				sum += k.Share
			}
			Expect(sum).To(BeNumerically("~", 1, 1e-9), p.Name)
		}
	})
})

var _ = DescribeTable("the checker finds", func(want Violation, chunks ...tokenChunk) {
	c, got := tokenChecker{}, Violation("")
	for _, p := range chunks {
		if got = c.checkChunk(p); got != "" {
			break
		}
	}
	if got == "" {
		got = c.checkLength(3)
	}
	Expect(got).To(Equal(want))
},
	Entry("nothing", Violation(""), tokenChunk{"gen-abcdef", 0, 2, "w0-abcdef w1-abcdef "}, tokenChunk{"gen-abcdef", 2, 1, "w2-abcdef "}),
	Entry("a repeated token", ViolationTokenOrder, tokenChunk{"g", 0, 1, "w0-g "}, tokenChunk{"g", 0, 1, "w0-g "}),
	Entry("a missing token", ViolationTokenOrder, tokenChunk{"g", 0, 1, "w0-g "}, tokenChunk{"g", 2, 1, "w2-g "}),
	Entry("a word at the wrong position", ViolationTokenOrder, tokenChunk{"g", 0, 2, "w1-g w0-g "}),
	Entry("fewer words than declared", ViolationTokenOrder, tokenChunk{"g", 0, 2, "w0-g "}),
	Entry("another generation", ViolationMixedGenerations, tokenChunk{"g", 0, 1, "w0-g "}, tokenChunk{"h", 1, 1, "w1-h "}),
	Entry("another generation's words", ViolationMixedGenerations, tokenChunk{"g", 0, 1, "w0-h "}),
	Entry("no generation", ViolationMixedGenerations, tokenChunk{"", 0, 1, "w0- "}),
	Entry("unexpected words", ViolationWrongWord, tokenChunk{"g", 0, 1, "hello "}),
	Entry("an early end", ViolationIncomplete, tokenChunk{"g", 0, 2, "w0-g w1-g "}),
)

// fakeEntry responds like an entry and injects the configured fault.
type fakeEntry struct {
	mu         sync.Mutex
	fault      string
	executions map[string]int
	mintedKeys int
	resumes    int
	// hung is set once a request has been left without a complete response.
	hung bool
}

var tokensPattern = regexp.MustCompile(`\[tokens=(\d+)\]`)

const fakeGeneration = "gen-123456"

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	switch {
	case r.Header.Get("Authorization") != "Bearer KEY" || f.fault == "refuse":
		failure.Write(w, failure.New(failure.KindOverloaded, "full").WithRetryAfter(time.Second))
	case f.fault == "drop":
		panic(http.ErrAbortHandler)
	case f.fault == "hang plain" && !f.hung && strings.HasPrefix(r.URL.Path, "/v1/services/"):
		f.hang(r)
	case r.URL.Path == "/v1/idempotency-keys":
		f.mintedKeys++
		fmt.Fprintf(w, `{"key":"k%d"}`, f.mintedKeys)
	case strings.HasPrefix(r.URL.Path, "/v1/services/"):
		f.servePlain(w, r, string(body))
	default:
		f.serveCompletion(w, r, body)
	}
}

func (f *fakeEntry) servePlain(w http.ResponseWriter, r *http.Request, body string) {
	key := r.Header.Get("Idempotency-Key")
	f.executions[key]++
	response := plainResponse{Path: r.URL.RequestURI(), Body: body, Executions: f.executions[key]}
	if f.fault == "crossed" {
		response.Path, response.Body = response.Path+"0", response.Body+"0"
	}
	if f.fault == "twice" {
		response.Executions++
	}
	_ = json.NewEncoder(w).Encode(response)
}

func (f *fakeEntry) serveCompletion(w http.ResponseWriter, r *http.Request, body []byte) {
	var request completionRequest
	_ = json.Unmarshal(body, &request)
	length, _ := strconv.Atoi(tokensPattern.FindStringSubmatch(request.Prompt)[1])
	if f.fault == "short" {
		length--
	}
	if !request.Stream {
		text := ""
		for i := range length {
			text += fmt.Sprintf("w%d-123456 ", i)
		}
		fmt.Fprintf(w, `{"choices":[{"text":%q}],"usage":{"completion_tokens":%d},"filbert":{"generation":%q}}`, text, length, fakeGeneration)
		return
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if from > 0 {
		f.resumes++
	}
	if f.fault == "unopened" && !f.hung {
		f.hang(r)
		return
	}
	fmt.Fprint(w, ": keep-alive\n\n")
	for k := from; k < length; k++ {
		if k == from+3 && (f.fault == "cut" || f.fault == "error") {
			f.breakStream(w)
			return
		}
		if k == 3 && f.fault == "silent" && !f.hung {
			_ = http.NewResponseController(w).Flush()
			f.hang(r)
			return
		}
		offset, generation := k, fakeGeneration
		if f.fault == "reorder" && k == 1 {
			offset = 2
		}
		if f.fault == "switch" && k == 1 {
			generation = "gen-654321"
		}
		fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"text\":\"w%d-%s \"}],\"filbert\":{\"generation\":%q,\"offset\":%d,\"tokens\":1}}\n\n",
			k+1, offset, generation[4:], generation, offset)
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// hang holds a request open until its caller disconnects. It releases the lock
// so that other requests are served meanwhile.
func (f *fakeEntry) hang(r *http.Request) {
	f.hung = true
	f.mu.Unlock()
	<-r.Context().Done()
	f.mu.Lock()
}

func (f *fakeEntry) breakStream(w http.ResponseWriter) {
	if f.fault == "error" {
		fmt.Fprint(w, "event: error\ndata: {\"type\":\"urn:x\",\"title\":\"target-lost\",\"executed\":\"yes\"}\n\n")
		return
	}
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

var _ = Describe("a run", func() {
	run := func(fault string) (*Result, *fakeEntry, string) {
		fake := &fakeEntry{fault: fault, executions: map[string]int{}}
		server := httptest.NewServer(fake)
		defer server.Close()
		file := filepath.Join(GinkgoT().TempDir(), "r.json")
		var out, errOut bytes.Buffer
		code := Main([]string{"run", "--entry", server.Listener.Addr().String(), "--api-key", "a=KEY", "--api-key", "b=KEY",
			"--rate", "400", "--duration", "250ms", "--length-scale", "0.01", "--attempts", "2", "--out", file,
			"--timeout", "1m", "--opening", "2s", "--silence", "2s", "--progress-every", "100ms", "--service", "lookup=other"}, &out, &errOut)
		r, err := LoadResult(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.HasViolations()).To(Equal(code == exitViolation), errOut.String())
		Expect(r.Total.Sent).To(Equal(r.Total.Whole + r.Total.Refused + r.Total.Violated))
		Expect(r.Accounts["a"].Sent + r.Accounts["b"].Sent).To(Equal(r.Total.Sent))
		return r, fake, errOut.String()
	}

	It("reports no failures for an entry without faults", func() {
		r, fake, progress := run("")
		Expect(r.Total.Whole).To(BeNumerically(">", 50))
		Expect(r.Total.Whole).To(Equal(r.Total.Sent))
		Expect(r.Kinds["report"].FirstToken.Count).To(BeEquivalentTo(r.Kinds["report"].Sent))
		Expect(r.Kinds["report"].BetweenTokens.Count).To(BeEquivalentTo(r.Kinds["report"].Tokens - r.Kinds["report"].Sent))
		Expect(fake.mintedKeys).To(Equal(r.Kinds["booking"].Sent))
		Expect(progress).To(ContainSubstring("violated 0"))
	})

	// The connection breaks after every third token. The caller resumes with the
	// handle of the last event each time and must receive every token once.
	It("resumes lost streams after the last token", func() {
		r, fake, _ := run("cut")
		Expect(r.Total.Whole).To(Equal(r.Total.Sent))
		Expect(fake.resumes).To(Equal(r.Kinds["report"].Retries))
		Expect(fake.resumes).To(BeNumerically(">", 0))
	})

	// A connection stays open but sends nothing, either in mid-stream or from the
	// start. Without timeouts of its own, the caller would wait forever.
	DescribeTable("retries at another entry when a connection is silent", func(fault string) {
		r, fake, _ := run(fault)
		Expect(r.Total.Whole).To(Equal(r.Total.Sent))
		Expect(fake.hung).To(BeTrue())
		Expect(r.Total.Retries).To(BeNumerically(">=", 1))
	},
		Entry("during a plain call", "hang plain"),
		Entry("in mid-stream", "silent"),
		Entry("before the stream opens", "unopened"),
	)

	DescribeTable("detects violations", func(fault, kind string, want Violation) {
		r, _, _ := run(fault)
		Expect(r.Kinds[kind].Violations).To(HaveKey(want))
		Expect(r.Kinds[kind].Violations).To(HaveLen(1))
	},
		Entry("order", "reorder", "report", ViolationTokenOrder),
		Entry("generation", "switch", "report", ViolationMixedGenerations),
		Entry("short stream", "short", "report", ViolationIncomplete),
		Entry("short whole", "short", "contract", ViolationIncomplete),
		Entry("crossed lookup", "crossed", "lookup", ViolationCrossedAnswer),
		Entry("crossed booking", "crossed", "booking", ViolationCrossedAnswer),
		Entry("booking run twice", "twice", "booking", ViolationRanTwice),
	)

	DescribeTable("counts refusals by type and outcome", func(fault, kind string, want failure.Kind, executed failure.Executed) {
		r, _, _ := run(fault)
		Expect(r.Kinds[kind].Whole).To(BeZero())
		Expect(r.Kinds[kind].RefusedWithoutRetryAfter).To(BeZero())
		Expect(r.Kinds[kind].Refusals).To(ConsistOf(Refusal{Type: want, Executed: executed, Count: r.Kinds[kind].Sent}))
	},
		Entry("lost each time", "drop", "lookup", kindConnectionLost, failure.ExecutedUnknown),
		Entry("refused", "refuse", "lookup", failure.KindOverloaded, failure.ExecutedNo),
	)

	// An engine fails and the entry ends the stream with a typed error. A caller
	// that treats this as a lost connection would retry without end.
	It("counts a stream that ends with a typed error, with the tokens received", func() {
		r, _, _ := run("error")
		g := r.Kinds["report"]
		Expect(g.Refusals).To(ConsistOf(And(HaveField("Type", failure.KindTargetLost), HaveField("Executed", failure.ExecutedYes))))
		Expect(g.Tokens).To(BeNumerically(">=", 3*g.Refused))
	})

	It("calls stand-ins directly as a baseline", func() {
		e := engine.NewServer(engine.Config{Model: model.Config{BaseStep: 100 * time.Microsecond}})
		defer e.Close()
		engines, apps := httptest.NewServer(e.Handler()), httptest.NewServer(app.NewServer(app.Config{}).Handler())
		defer engines.Close()
		defer apps.Close()
		var out, errOut bytes.Buffer
		Expect(Main([]string{"run", "--direct-engine", engines.Listener.Addr().String(), "--direct-app", apps.Listener.Addr().String(),
			"--api-key", "a=KEY", "--rate", "400", "--duration", "250ms", "--length-scale", "0.01"}, &out, &errOut)).To(BeZero())
		var r Result
		Expect(json.Unmarshal(out.Bytes(), &r)).To(Succeed())
		Expect(r.Total.Whole).To(Equal(r.Total.Sent))
		Expect(r.Kinds["report"].Tokens).To(BeNumerically(">", 0))
	})

	// The system stalls for a moment. Measuring from the actual start would report
	// only a few slow calls, although all calls due during the stall have waited.
	It("measures latency from the intended start", func() {
		rec, start := newRecorder(), time.Unix(0, 0)
		call := Call{Kind: &CallKind{Type: CallTypeLookup}}
		rec.recordOutcome(call, outcome{}, start, start.Add(3*time.Second))
		Expect(rec.buildGroup().Answer.P50).To(BeNumerically("~", 3000, 3))
	})

	It("counts calls above the limit and does not start them", func() {
		release := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
		defer server.Close()
		defer close(release)
		p, _ := FindProfile("foundation")
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(300*time.Millisecond, cancel)
		r := Run(ctx, Config{
			Profile: p, Arrivals: ArrivalConfig{Rate: 500, Duration: 100 * time.Millisecond, LengthScale: 1, Seed: 1},
			Client:        ClientConfig{Entries: []string{server.Listener.Addr().String()}, Accounts: []string{"a"}, APIKeys: []string{"k"}, Timeout: time.Minute, OpenTimeout: time.Minute, IdleTimeout: time.Minute, MaxAttempts: 1},
			MaxInProgress: 1, ProgressOutput: io.Discard, ProgressInterval: time.Second,
		})
		Expect(r.Total.Sent).To(Equal(1))
		Expect(r.Unsent).To(BeNumerically(">", 10))
		Expect(r.Total.Refused).To(Equal(1))
	})
})

var _ = DescribeTable("invalid settings are reported in one line", func(args, want string) {
	var out, errOut bytes.Buffer
	Expect(Main(strings.Fields(args), &out, &errOut)).To(Equal(2))
	Expect(errOut.String()).To(ContainSubstring(want))
	Expect(errOut.String()).NotTo(ContainSubstring("SECRET"))
	Expect(strings.Count(errOut.String(), "\n")).To(Equal(1))
},
	Entry("subcommand", "walk", `first argument is "walk"; allowed: run, trial, compare, profiles`),
	Entry("no entry", "run --api-key a=SECRET", `--entry (FILBERT_LOAD_ENTRY) is ""; allowed: at least one ip:port`),
	Entry("entry", "run --entry here --api-key a=SECRET", `--entry (FILBERT_LOAD_ENTRY) is "here"`),
	Entry("entries and stand-ins", "run --entry 127.0.0.1:1 --direct-app 127.0.0.1:2", "none beside --direct-engine"),
	Entry("no engine", "run --direct-app 127.0.0.1:2", "--direct-engine"),
	Entry("no app", "run --direct-engine 127.0.0.1:2", "--direct-app"),
	Entry("no key", "run --entry 127.0.0.1:1", "--api-key (FILBERT_LOAD_API_KEY)"),
	Entry("key", "run --entry 127.0.0.1:1 --api-key SECRET", "account=KEY"),
	Entry("rate", "run --rate 0", `--rate (FILBERT_LOAD_RATE) is "0": out of range`),
	Entry("warm-up", "run --entry 127.0.0.1:1 --api-key a=SECRET --warmup 1m", "less than --duration, which is 30s"),
	Entry("service", "run --entry 127.0.0.1:1 --api-key a=SECRET --service x=y", "kind among report, contract, lookup, booking"),
	Entry("trial's entries", "trial --entry 127.0.0.1:1", "none in a trial"),
	Entry("trial's faults", "trial --fault 5s", "as 5s@engine-1@kill"),
	Entry("trial's size", "trial --hosts 99", `--hosts (FILBERT_LOAD_HOSTS) is "99": out of range`),
	Entry("compare", "compare a", "two files of results"),
	Entry("compare without files", "compare /none/a /none/b", `"/none/a" can't be read`),
)

var _ = Describe("compare", func() {
	It("lists the metrics of both results, and those that only one has", func() {
		a := &Result{Seconds: 10, Total: Counts{Sent: 4, Tokens: 100}, Kinds: map[string]*Group{
			"report": {Counts: Counts{Whole: 2}, Stall: Summary{Count: 1, P99: 50}}}}
		b := &Result{Seconds: 10, Total: Counts{Sent: 4, Tokens: 150}, Kinds: map[string]*Group{
			"report": {Counts: Counts{Whole: 3}, Answer: Summary{Count: 1, Max: 7},
				Refusals: []Refusal{{failure.KindPoison, failure.ExecutedNo, 1}}}}}
		var out bytes.Buffer
		Expect(WriteComparison(&out, a, b)).To(Succeed())
		text := regexp.MustCompile(` +`).ReplaceAllString(out.String(), " ")
		for _, line := range []string{"total sent 4 4 =", "total tokens/s 10 15 +50.0%", "report whole 2 3 +50.0%",
			"report stall p99 ms 50 -", "report answer max ms - 7", "report refused poison-request, executed no - 1"} {
			Expect(text).To(ContainSubstring(line))
		}
	})

	It("rejects a file that holds no result", func() {
		path := filepath.Join(GinkgoT().TempDir(), "x.json")
		Expect(os.WriteFile(path, []byte("{}"), 0o600)).To(Succeed())
		_, err := LoadResult(path)
		Expect(failure.KindOf(err)).To(Equal(failure.KindSettingInvalid))
	})
})

// FuzzStream passes arbitrary response bytes to the stream reader and the checker.
// For any input, a call must end with an answer, a failure or a violation.
func FuzzStream(f *testing.F) {
	f.Add([]byte("id: 1\ndata: {\"choices\":[{\"text\":\"w0-g \"}],\"filbert\":{\"generation\":\"g\",\"tokens\":1}}\n\ndata: [DONE]\n\n"), 1)
	f.Add([]byte("event: error\ndata: {\"title\":\"overloaded\"}\n\n"), 2)
	f.Add([]byte("data: {\"choices\":[{\"text\":\"- w- w\"}],\"filbert\":{\"generation\":\"g\",\"tokens\":-3}}\n\n"), 3)
	f.Fuzz(func(t *testing.T, data []byte, length int) {
		c := &caller{client: &client{}, stallThreshold: time.Second, onTokenGap: func(Call, time.Duration) {}}
		stream := &streamCall{caller: c, call: Call{Kind: &CallKind{Type: CallTypeStream}, OutputTokens: length}}
		err := stream.readEvents(sse.NewReader(bytes.NewReader(data), maxEventBytes), func() {})
		if err == nil && stream.out.violation == "" && !stream.done {
			t.Fatal("the stream ended without a reason")
		}
		if stream.checker.nextOffset < 0 {
			t.Fatalf("%d tokens", stream.checker.nextOffset)
		}
	})
}

var _ = Describe("a trial", func() {
	It("starts a deployment, injects faults and compares it with direct calls", func() {
		dir := GinkgoT().TempDir()
		Expect(fleet.BuildPrograms(dir)).To(Succeed())
		var out, errOut bytes.Buffer
		code := Main([]string{"trial", "--bin-dir", dir, "--hosts", "2", "--engines", "2", "--apps", "1", "--rate", "60",
			"--duration", "700ms", "--length-scale", "0.01", "--direct", "--engine-args=--base-step 2ms",
			"--fault", `100ms@engine-1@{"kind":"cut"}`, "--fault", `200ms@platform@{"mode":"stale"}`,
			"--fault", "300ms@host-1-entry@odd", "--fault", "300ms@host-9@kill", "--fault", "300ms@engine-2@kill"}, &out, &errOut)
		log := errOut.String()
		Expect(code).To(BeZero(), log)
		for _, line := range []string{"fault engine-1 {\"kind\":\"cut\"}: done", "platform {\"mode\":\"stale\"}: done",
			`action "odd" is none of`, `no target or process is named "host-9"`, "fault engine-2 kill: done", "total whole"} {
			Expect(log).To(ContainSubstring(line))
		}
		var r Result
		Expect(json.Unmarshal(out.Bytes(), &r)).To(Succeed())
		Expect(r.Total.Whole).To(BeNumerically(">", 0))
		Expect(r.Targets).To(And(HaveField("Unreachable", 1), HaveField("RanTwice", 0)))
		Expect(r.Targets.Calls).To(BeNumerically(">=", r.Kinds["booking"].Whole))
	})

	// A booking ran twice but its caller received a single valid answer. Only the
	// counters of the service show this.
	It("reports a violation when a service ran a key twice", func() {
		Expect((&Result{Targets: &TargetCounts{Calls: 2}}).HasViolations()).To(BeFalse())
		Expect((&Result{Targets: &TargetCounts{Calls: 2, RanTwice: 1}}).HasViolations()).To(BeTrue())
	})
})

// Guards against a run that counts the part of an answer as a whole one.
var _ = It("takes an answer that is cut off while its request is written for a lost connection", func() {
	server, err := cuttest.Start("HTTP/1.1 200 OK\r\n\r\n{}", nil)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	c := newClient(ClientConfig{Entries: []string{server.Address()}, Accounts: []string{"a"}, APIKeys: []string{"k"}})
	DeferCleanup(c.close)
	for range 2 * len(cuttest.Pauses) {
		_, err := c.fetch(context.Background(), requestSpec{method: http.MethodPost, path: "/x", body: strings.Repeat("x", cuttest.UploadBytes), generation: true})
		Expect(isConnectionLost(err)).To(BeTrue())
	}
})
