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
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load")
}

func calls(a Arrivals, accounts int) []Call {
	p, _ := ProfileNamed("cooperative")
	s := newSchedule(a, p, accounts)
	var out []Call
	for c, ok := s.next(); ok; c, ok = s.next() {
		out = append(out, c)
	}
	return out
}

var _ = Describe("the schedule", func() {
	base := Arrivals{Rate: 100, Duration: 100 * time.Second, LengthScale: 1, Seed: 7}

	It("is the same for the same seed and another for another", func() {
		other := base
		other.Seed = 8
		Expect(calls(base, 10)).To(Equal(calls(base, 10)))
		Expect(calls(other, 10)[0].At).NotTo(Equal(calls(base, 10)[0].At))
	})

	It("keeps rate, shares, account sizes and medians", func() {
		all := calls(base, 10)
		Expect(len(all)).To(BeNumerically("~", 10_000, 400))
		kinds, accounts, above := map[string]int{}, map[int]int{}, 0
		for _, c := range all {
			kinds[c.Kind.Name]++
			accounts[c.Account]++
			if c.Kind.Name == "waiver" && c.Length > 250 {
				above++
			}
		}
		Expect(kinds["lookup"]).To(BeNumerically("~", 5500, 250))
		Expect(accounts[0]).To(BeNumerically("~", 3414, 200))
		Expect(accounts[9]).To(BeNumerically("~", 341, 80))
		Expect(above).To(BeNumerically("~", kinds["waiver"]/2, 120))
	})

	It("adds bursts at the end of each period", func() {
		a := base
		a.BurstFactor, a.BurstEvery, a.BurstFor = 10, 10*time.Second, time.Second
		in := 0
		all := calls(a, 3)
		for _, c := range all {
			if c.At%a.BurstEvery >= 9*time.Second {
				in++
			}
		}
		Expect(in).To(BeNumerically("~", 10_000, 400))
		Expect(len(all) - in).To(BeNumerically("~", 9_000, 400))
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

var _ = DescribeTable("the checker finds", func(want Violation, pieces ...piece) {
	c, got := checker{}, Violation("")
	for _, p := range pieces {
		if got = c.add(p); got != "" {
			break
		}
	}
	if got == "" {
		got = c.complete(3)
	}
	Expect(got).To(Equal(want))
},
	Entry("nothing", Violation(""), piece{"gen-abcdef", 0, 2, "w0-abcdef w1-abcdef "}, piece{"gen-abcdef", 2, 1, "w2-abcdef "}),
	Entry("a repeated token", ViolationOrder, piece{"g", 0, 1, "w0-g "}, piece{"g", 0, 1, "w0-g "}),
	Entry("a missing token", ViolationOrder, piece{"g", 0, 1, "w0-g "}, piece{"g", 2, 1, "w2-g "}),
	Entry("a word at the wrong place", ViolationOrder, piece{"g", 0, 2, "w1-g w0-g "}),
	Entry("fewer words than told", ViolationOrder, piece{"g", 0, 2, "w0-g "}),
	Entry("another generation", ViolationGeneration, piece{"g", 0, 1, "w0-g "}, piece{"h", 1, 1, "w1-h "}),
	Entry("another generation's words", ViolationGeneration, piece{"g", 0, 1, "w0-h "}),
	Entry("no generation", ViolationGeneration, piece{"", 0, 1, "w0- "}),
	Entry("other words", ViolationWord, piece{"g", 0, 1, "hello "}),
	Entry("an early end", ViolationShort, piece{"g", 0, 2, "w0-g w1-g "}),
)

// fakeEntry answers as an entry does, and breaks one thing when told to.
type fakeEntry struct {
	mu      sync.Mutex
	fault   string
	ran     map[string]int
	minted  int
	resumed int
	// silenced is set once a stream has gone silent for good.
	silenced bool
}

var tokensMark = regexp.MustCompile(`\[tokens=(\d+)\]`)

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
	case f.fault == "hang plain" && !f.silenced && strings.HasPrefix(r.URL.Path, "/v1/services/"):
		f.hang(r)
	case r.URL.Path == "/v1/idempotency-keys":
		f.minted++
		fmt.Fprintf(w, `{"key":"k%d"}`, f.minted)
	case strings.HasPrefix(r.URL.Path, "/v1/services/"):
		f.plain(w, r, string(body))
	default:
		f.generate(w, r, body)
	}
}

func (f *fakeEntry) plain(w http.ResponseWriter, r *http.Request, body string) {
	key := r.Header.Get("Idempotency-Key")
	f.ran[key]++
	a := plainAnswer{Path: r.URL.RequestURI(), Body: body, Executions: f.ran[key]}
	if f.fault == "crossed" {
		a.Path, a.Body = a.Path+"0", a.Body+"0"
	}
	if f.fault == "twice" {
		a.Executions++
	}
	_ = json.NewEncoder(w).Encode(a)
}

func (f *fakeEntry) generate(w http.ResponseWriter, r *http.Request, body []byte) {
	var q completionBody
	_ = json.Unmarshal(body, &q)
	length, _ := strconv.Atoi(tokensMark.FindStringSubmatch(q.Prompt)[1])
	if f.fault == "short" {
		length--
	}
	if !q.Stream {
		text := ""
		for i := range length {
			text += fmt.Sprintf("w%d-123456 ", i)
		}
		fmt.Fprintf(w, `{"choices":[{"text":%q}],"usage":{"completion_tokens":%d},"filbert":{"generation":%q}}`, text, length, fakeGeneration)
		return
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if from > 0 {
		f.resumed++
	}
	if f.fault == "unopened" && !f.silenced {
		f.hang(r)
		return
	}
	fmt.Fprint(w, ": keep-alive\n\n")
	for k := from; k < length; k++ {
		if k == from+3 && (f.fault == "cut" || f.fault == "error") {
			f.breakOff(w)
			return
		}
		if k == 3 && f.fault == "silent" && !f.silenced {
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

// hang holds a connection until its caller leaves, while others go on.
func (f *fakeEntry) hang(r *http.Request) {
	f.silenced = true
	f.mu.Unlock()
	<-r.Context().Done()
	f.mu.Lock()
}

func (f *fakeEntry) breakOff(w http.ResponseWriter) {
	if f.fault == "error" {
		fmt.Fprint(w, "event: error\ndata: {\"type\":\"urn:x\",\"title\":\"target-lost\",\"executed\":\"yes\"}\n\n")
		return
	}
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

var _ = Describe("a run", func() {
	run := func(fault string) (*Result, *fakeEntry, string) {
		fake := &fakeEntry{fault: fault, ran: map[string]int{}}
		site := httptest.NewServer(fake)
		defer site.Close()
		file := filepath.Join(GinkgoT().TempDir(), "r.json")
		var out, errOut bytes.Buffer
		code := Main([]string{"run", "--entry", site.Listener.Addr().String(), "--api-key", "a=KEY", "--api-key", "b=KEY",
			"--rate", "400", "--duration", "250ms", "--length-scale", "0.01", "--attempts", "2", "--out", file,
			"--timeout", "1m", "--opening", "2s", "--silence", "2s", "--progress-every", "100ms", "--service", "lookup=other"}, &out, &errOut)
		r, err := Load(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Broken()).To(Equal(code == exitBroken), errOut.String())
		Expect(r.Total.Sent).To(Equal(r.Total.Whole + r.Total.Refused + r.Total.Violated))
		Expect(r.Accounts["a"].Sent + r.Accounts["b"].Sent).To(Equal(r.Total.Sent))
		return r, fake, errOut.String()
	}

	It("measures an entry that does everything right", func() {
		r, fake, progress := run("")
		Expect(r.Total.Whole).To(BeNumerically(">", 50))
		Expect(r.Total.Whole).To(Equal(r.Total.Sent))
		Expect(r.Kinds["report"].FirstToken.Count).To(BeEquivalentTo(r.Kinds["report"].Sent))
		Expect(r.Kinds["report"].BetweenTokens.Count).To(BeEquivalentTo(r.Kinds["report"].Tokens - r.Kinds["report"].Sent))
		Expect(fake.minted).To(Equal(r.Kinds["booking"].Sent))
		Expect(progress).To(ContainSubstring("violated 0"))
	})

	// The connection breaks after every third token. The caller resumes each
	// time by the handle it holds, and must get every token once.
	It("resumes lost streams where they stopped", func() {
		r, fake, _ := run("cut")
		Expect(r.Total.Whole).To(Equal(r.Total.Sent))
		Expect(fake.resumed).To(Equal(r.Kinds["report"].Again))
		Expect(fake.resumed).To(BeNumerically(">", 0))
	})

	// One connection goes silent in mid-stream, another never opens; both stay
	// up. A caller without a bound of its own would wait for ever.
	DescribeTable("asks elsewhere when a connection is silent", func(fault string) {
		r, fake, _ := run(fault)
		Expect(r.Total.Whole).To(Equal(r.Total.Sent))
		Expect(fake.silenced).To(BeTrue())
		Expect(r.Total.Again).To(BeNumerically(">=", 1))
	},
		Entry("that of a plain call", "hang plain"),
		Entry("in mid-stream", "silent"),
		Entry("before it opens", "unopened"),
	)

	DescribeTable("sees broken promises", func(fault, kind string, want Violation) {
		r, _, _ := run(fault)
		Expect(r.Kinds[kind].Violations).To(HaveKey(want))
		Expect(r.Kinds[kind].Violations).To(HaveLen(1))
	},
		Entry("order", "reorder", "report", ViolationOrder),
		Entry("generation", "switch", "report", ViolationGeneration),
		Entry("short stream", "short", "report", ViolationShort),
		Entry("short whole", "short", "contract", ViolationShort),
		Entry("crossed lookup", "crossed", "lookup", ViolationCrossed),
		Entry("crossed booking", "crossed", "booking", ViolationCrossed),
		Entry("booking run twice", "twice", "booking", ViolationTwice),
	)

	DescribeTable("counts refusals by type and outcome", func(fault, kind string, want failure.Kind, executed failure.Executed) {
		r, _, _ := run(fault)
		Expect(r.Kinds[kind].Whole).To(BeZero())
		Expect(r.Kinds[kind].WithoutTime).To(BeZero())
		Expect(r.Kinds[kind].Refusals).To(ConsistOf(Refusal{Type: want, Executed: executed, Count: r.Kinds[kind].Sent}))
	},
		Entry("lost each time", "drop", "lookup", kindConnectionLost, failure.ExecutedUnknown),
		Entry("refused", "refuse", "lookup", failure.KindOverloaded, failure.ExecutedNo),
	)

	// An engine died, and the entry ended the stream with that as its answer. A
	// caller that takes it for a broken connection asks again, without end.
	It("counts a stream's typed end, with the tokens that came", func() {
		r, _, _ := run("error")
		g := r.Kinds["report"]
		Expect(g.Refusals).To(ConsistOf(And(HaveField("Type", failure.KindTargetLost), HaveField("Executed", failure.ExecutedYes))))
		Expect(g.Tokens).To(BeNumerically(">=", 3*g.Refused))
	})

	It("calls stand-ins directly, as a measure of what the system adds", func() {
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

	// The system hangs for a moment. A tool that times calls from their actual
	// start reports a few slow ones; callers of a fixed rate would all have waited.
	It("times from the intended start", func() {
		rec, start := newRecorder(), time.Unix(0, 0)
		call := Call{Kind: &Kind{Type: TypeLookup}}
		rec.ended(call, outcome{}, start, start.Add(3*time.Second))
		Expect(rec.group().Answer.P50).To(BeNumerically("~", 3000, 3))
	})

	It("does not start calls beyond its bound, and counts them", func() {
		hold := make(chan struct{})
		site := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hold }))
		defer site.Close()
		defer close(hold)
		p, _ := ProfileNamed("foundation")
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(300*time.Millisecond, cancel)
		r := Run(ctx, Config{
			Profile: p, Arrivals: Arrivals{Rate: 500, Duration: 100 * time.Millisecond, LengthScale: 1, Seed: 1},
			Target:        Target{Entries: []string{site.Listener.Addr().String()}, Accounts: []string{"a"}, Keys: []string{"k"}, Timeout: time.Minute, Opening: time.Minute, Silence: time.Minute, Attempts: 1},
			MaxInProgress: 1, Progress: io.Discard, ProgressEvery: time.Second,
		})
		Expect(r.Total.Sent).To(Equal(1))
		Expect(r.Unsent).To(BeNumerically(">", 10))
		Expect(r.Total.Refused).To(Equal(1))
	})
})

var _ = DescribeTable("wrong settings end with one typed line", func(args, want string) {
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
	It("shows each measure of both, and those that only one has", func() {
		a := &Result{Seconds: 10, Total: Counts{Sent: 4, Tokens: 100}, Kinds: map[string]*Group{
			"report": {Counts: Counts{Whole: 2}, Stall: Summary{Count: 1, P99: 50}}}}
		b := &Result{Seconds: 10, Total: Counts{Sent: 4, Tokens: 150}, Kinds: map[string]*Group{
			"report": {Counts: Counts{Whole: 3}, Answer: Summary{Count: 1, Max: 7},
				Refusals: []Refusal{{failure.KindPoison, failure.ExecutedNo, 1}}}}}
		var out bytes.Buffer
		Expect(Compare(&out, a, b)).To(Succeed())
		text := regexp.MustCompile(` +`).ReplaceAllString(out.String(), " ")
		for _, line := range []string{"total sent 4 4 =", "total tokens/s 10 15 +50.0%", "report whole 2 3 +50.0%",
			"report stall p99 ms 50 -", "report answer max ms - 7", "report refused poison-request, executed no - 1"} {
			Expect(text).To(ContainSubstring(line))
		}
	})

	It("refuses a file that holds no result", func() {
		path := filepath.Join(GinkgoT().TempDir(), "x.json")
		Expect(os.WriteFile(path, []byte("{}"), 0o600)).To(Succeed())
		_, err := Load(path)
		Expect(failure.KindOf(err)).To(Equal(failure.KindSettingInvalid))
	})
})

// FuzzStream feeds bytes from an entry to the reader and the checker: whatever
// comes, a call ends with an answer, a failure or a violation.
func FuzzStream(f *testing.F) {
	f.Add([]byte("id: 1\ndata: {\"choices\":[{\"text\":\"w0-g \"}],\"filbert\":{\"generation\":\"g\",\"tokens\":1}}\n\ndata: [DONE]\n\n"), 1)
	f.Add([]byte("event: error\ndata: {\"title\":\"overloaded\"}\n\n"), 2)
	f.Add([]byte("data: {\"choices\":[{\"text\":\"- w- w\"}],\"filbert\":{\"generation\":\"g\",\"tokens\":-3}}\n\n"), 3)
	f.Fuzz(func(t *testing.T, data []byte, length int) {
		c := &caller{client: &client{}, bound: time.Second, gap: func(Call, time.Duration) {}}
		s := &following{caller: c, call: Call{Kind: &Kind{Type: TypeStream}, Length: length}}
		err := s.events(sse.NewReader(bytes.NewReader(data), maxEvent), func() {})
		if err == nil && s.out.violation == "" && !s.done {
			t.Fatal("the stream ended without a reason")
		}
		if s.check.next < 0 {
			t.Fatalf("%d tokens", s.check.next)
		}
	})
}

var _ = Describe("a trial", func() {
	It("starts a deployment, disturbs it and compares it with its stand-ins alone", func() {
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

	// A booking ran twice while its caller got one good answer: only the
	// service's own count shows it.
	It("counts a run as broken when a service ran a key twice", func() {
		Expect((&Result{Targets: &TargetCounts{Calls: 2}}).Broken()).To(BeFalse())
		Expect((&Result{Targets: &TargetCounts{Calls: 2, RanTwice: 1}}).Broken()).To(BeTrue())
	})
})
