package faults_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/fleet"
	"filbertdeck/internal/sse"
)

const parkKey = "fault-test-park"

var tableText = "kind,name,weight,max_running,tokens_per_second,priority,key_sha256,services,type,delivery,max_tokens,max_wait_ms,queue_limit\n" +
	"account,park,1,,,," + fleet.KeyDigest(parkKey) + ",,,,,,\n" +
	"service,reports,,,,,,,generation,stream,20000,30000,200\n" +
	"service,summaries,,,,,,,generation,whole,20000,30000,200\n" +
	"service,orders,,,,,,,once,,,5000,500\n"

// deployment is a small deployment of real processes: two data centres, three
// hosts, three engines and one plain service.
type deployment struct{ *fleet.Fleet }

func startDeployment() deployment {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f, err := fleet.Start(ctx, fleet.Spec{
		BinDir: binDir, Table: tableText, Hosts: []string{"a", "a", "b"}, Engines: []string{"a", "a", "b"}, Apps: []string{"a"},
		EngineServices: []string{"reports", "summaries"}, AppServices: []string{"orders"},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(f.Close)
	return deployment{f}
}

func (d deployment) request(ctx context.Context, host int, path, body string, header ...string) *http.Request {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Hosts[host].ClientAddress+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+parkKey)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header[header[i]] = []string{header[i+1]}
	}
	return req
}

// post sends a request without retries and returns the status, the problem
// document and the body. Status 0 means that there was no response.
func (d deployment) post(host int, path, body string, header ...string) (int, failure.Problem, string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var p failure.Problem
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(d.request(ctx, host, path, body, header...))
	if err != nil {
		return 0, p, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	_ = json.Unmarshal(text, &p)
	return resp.StatusCode, p, string(text)
}

// streamCaller accumulates a streamed response over all connections of its
// caller.
type streamCaller struct {
	words      []string
	generation string
	handle     string
	problem    failure.Problem
}

// streamSilenceTimeout is the time without traffic after which a caller drops a
// connection. Entries send comments on idle streams, so silence means that the
// connection is dead.
const streamSilenceTimeout = 4 * time.Second

// readStream reads the report, or what is left of it, from a host. It checks
// that every token arrives once, in order, from one generation, calls onEvent
// after each event, and reports whether the stream is complete.
func (r *streamCaller) readStream(d deployment, host, length int, onEvent func(tokens int)) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	silenceTimer := time.AfterFunc(streamSilenceTimeout, cancel)
	body := fmt.Sprintf(`{"model":"reports","prompt":"Diagnose dish 7. [tokens=%d]","max_tokens":20000,"stream":true}`, length)
	var header []string
	if r.handle != "" {
		header = []string{"Last-Event-Id", r.handle}
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(d.request(ctx, host, "/v1/completions", body, header...))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		_ = json.NewDecoder(resp.Body).Decode(&r.problem)
		return false
	}
	events := sse.NewReader(resp.Body, 0)
	for {
		var ev sse.Event
		if events.Next(&ev) != nil {
			return false
		}
		silenceTimer.Reset(streamSilenceTimeout)
		switch {
		case ev.Comment:
		case string(ev.Data) == "[DONE]":
			return true
		case string(ev.Name) == "error":
			Expect(json.Unmarshal(ev.Data, &r.problem)).To(Succeed())
			return false
		default:
			r.addEvent(ev)
			if onEvent != nil {
				onEvent(len(r.words))
			}
		}
	}
}

func (r *streamCaller) addEvent(ev sse.Event) {
	var d struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
		Filbert struct {
			Generation string `json:"generation"`
			Offset     int    `json:"offset"`
		} `json:"filbert"`
	}
	Expect(json.Unmarshal(ev.Data, &d)).To(Succeed())
	if r.generation == "" {
		r.generation = d.Filbert.Generation
	}
	Expect(d.Filbert.Generation).To(Equal(r.generation))
	Expect(d.Filbert.Offset).To(Equal(len(r.words)))
	r.words = append(r.words, strings.Fields(d.Choices[0].Text)...)
	r.handle = string(ev.ID)
}

// expectTokens checks the text of the tokens, which the engine derives from the
// token's number and the generation.
func (r *streamCaller) expectTokens(length int) {
	GinkgoHelper()
	Expect(r.words).To(HaveLen(length))
	suffix := r.generation[len(r.generation)-6:]
	for index, word := range r.words {
		Expect(word).To(Equal(fmt.Sprintf("w%d-%s", index, suffix)))
	}
}

// startedGenerations counts the generations that the engines have started, from
// their own records.
func (d deployment) startedGenerations(include func(*fleet.Target) bool) (n int) {
	for _, e := range d.Engines {
		if !include(e) {
			continue
		}
		var records []json.RawMessage
		Expect(d.GetJSON("http://"+e.Address+"/admin/records", &records)).To(Succeed())
		n += len(records)
	}
	return n
}

func anyEngine(*fleet.Target) bool { return true }

// engineOf returns the engine that started a generation, or nil.
func (d deployment) engineOf(generation string) *fleet.Target {
	for _, e := range d.Engines {
		var records []struct {
			Generation string `json:"generation"`
		}
		Expect(d.GetJSON("http://"+e.Address+"/admin/records", &records)).To(Succeed())
		for _, r := range records {
			if r.Generation == generation {
				return e
			}
		}
	}
	return nil
}

// bookingCount returns how many bookings the plain service has executed.
func (d deployment) bookingCount() (total int) {
	var executions struct {
		Total int `json:"total"`
	}
	Expect(d.GetJSON("http://"+d.Apps[0].Address+"/admin/executions", &executions)).To(Succeed())
	return executions.Total
}

const ordersPath = "/v1/services/orders/book"

func (d deployment) mintKey(host int) string {
	status, _, text := d.post(host, "/v1/idempotency-keys", "")
	Expect(status).To(BeNumerically("<", 300), text)
	var key struct{ Key string }
	Expect(json.Unmarshal([]byte(text), &key)).To(Succeed())
	return key.Key
}

func newUUID() string { return uuid.Must(uuid.NewV7()).String() }

// waitForCallerKeys waits until all entries accept keys chosen by callers. It
// posts several keys because each may have another owner.
func (d deployment) waitForCallerKeys() {
	Eventually(func() bool {
		for i := range 12 {
			if status, _, _ := d.post(i%3, ordersPath, "warm up", "Idempotency-Key", newUUID()); status != http.StatusOK {
				return false
			}
		}
		return true
	}, "30s", "500ms").Should(BeTrue())
}

var binDir string

var _ = BeforeSuite(func() {
	binDir = GinkgoT().TempDir()
	Expect(fleet.BuildPrograms(binDir)).To(Succeed())
})

var _ = Describe("real processes", func() {
	// A host is killed in the middle of a long report. The client reconnects to
	// another host with the last event ID and must receive the remaining tokens.
	It("resume a report at another entry after kill -9", func() {
		d, r := startDeployment(), &streamCaller{}
		Expect(r.readStream(d, 0, 300, func(n int) {
			if n == 60 {
				d.Hosts[0].EntryProcess.Signal(syscall.SIGKILL)
			}
		})).To(BeFalse())
		Expect(len(r.words)).To(BeNumerically(">=", 60))
		Expect(r.readStream(d, 2, 300, nil)).To(BeTrue(), "%+v", r.problem)
		r.expectTokens(300)
		Expect(d.startedGenerations(anyEngine)).To(Equal(1))
	})

	// An entry is suspended in the middle of a report. The client times out and
	// resumes at another entry; what the suspended entry does after it continues
	// must not affect any client.
	It("resume a report at another entry while an entry is suspended", func() {
		d, r := startDeployment(), &streamCaller{}
		Expect(r.readStream(d, 0, 900, func(n int) {
			if n == 60 {
				d.Hosts[0].EntryProcess.Signal(syscall.SIGSTOP)
			}
		})).To(BeFalse())
		Expect(r.readStream(d, 1, 900, func(n int) {
			if n == 600 {
				d.Hosts[0].EntryProcess.Signal(syscall.SIGCONT)
			}
		})).To(BeTrue(), "%+v", r.problem)
		r.expectTokens(900)
		Expect(d.startedGenerations(anyEngine)).To(Equal(1))
		status, _, text := d.post(0, ordersPath, "after the suspension", "Idempotency-Key", d.mintKey(0))
		Expect(status).To(Equal(200), text)
	})

	// An engine crashes during a report and during a summary. The report cannot
	// continue with different text, so its caller must be told the number of
	// delivered tokens. No token of the summary was delivered, so it is restarted
	// and its caller must get a complete response.
	It("end a report with its token count, and restart a summary, when the engine crashes", func() {
		d, r := startDeployment(), &streamCaller{}
		Expect(r.readStream(d, 0, 600, func(n int) {
			if n == 60 {
				Expect(d.SetFault(d.engineOf(r.generation), `{"kind":"crash"}`)).To(Or(Succeed(), HaveOccurred()))
			}
		})).To(BeFalse())
		Expect(r.problem.Title).To(Equal(string(failure.KindTargetLost)))
		Expect(r.problem.Executed).To(Equal(failure.ExecutedYes))
		Expect(r.problem.DeliveredTokens).To(Equal(len(r.words)))
		r.expectTokens(len(r.words))

		d = startDeployment()
		go func() {
			defer GinkgoRecover()
			var busy *fleet.Target
			Eventually(func() *fleet.Target { busy = d.busyEngine(); return busy }, "10s", "20ms").ShouldNot(BeNil())
			_ = d.SetFault(busy, `{"kind":"crash"}`)
		}()
		status, problem, text := d.post(0, "/v1/completions", `{"model":"summaries","prompt":"Lease. [tokens=200]","max_tokens":400}`)
		Expect(status).To(Equal(200), "%+v", problem)
		Expect(text).To(ContainSubstring(`"completion_tokens":200`))
	})

	// Guards against duplicate execution when a client on a poor link sends the
	// same booking through several entries at once.
	It("run a booking once that is sent through every entry, under either kind of key", func() {
		d := startDeployment()
		d.waitForCallerKeys()
		for _, key := range []string{d.mintKey(0), newUUID(), newUUID(), newUUID()} {
			before := d.bookingCount()
			answers := make(chan string, 6)
			for i := range cap(answers) {
				go func() {
					defer GinkgoRecover()
					status, _, text := d.post(i%3, ordersPath, "order "+key, "Idempotency-Key", key)
					answers <- fmt.Sprint(status, " ", text)
				}()
			}
			for range cap(answers) {
				Expect(<-answers).To(Or(HavePrefix("200"), HavePrefix("409")))
			}
			status, _, _ := d.post(1, ordersPath, "order "+key, "Idempotency-Key", key)
			Expect(status).To(Equal(200), "the stored answer is replayed")
			Expect(d.bookingCount() - before).To(Equal(1))
		}
	})

	// The service executes a booking and its connection breaks before the
	// response. The client must be told that the outcome is unknown, and a retry
	// must not execute the booking again.
	It("report unknown after a booking whose answer was lost, and never run it again", func() {
		d := startDeployment()
		key := d.mintKey(0)
		Expect(d.SetFault(d.Apps[0], `{"kind":"drop_after_run","count":1}`)).To(Succeed())
		for _, host := range []int{0, 1, 2} {
			_, problem, _ := d.post(host, ordersPath, "order", "Idempotency-Key", key)
			Expect(problem.Executed).To(Equal(failure.ExecutedUnknown))
			Expect(d.bookingCount()).To(Equal(1))
		}
	})

	// The owner of a minted key dies, and with it the knowledge whether the
	// booking ran. No other process may run it, including the owner's successor.
	It("never run a minted key's booking once its owner is gone", func() {
		d := startDeployment()
		key := d.mintKey(0)
		d.Hosts[0].EntryProcess.Kill()
		status, problem, _ := d.post(1, ordersPath, "order", "Idempotency-Key", key)
		Expect(status).To(Equal(502))
		Expect(problem.Title).To(Equal(string(failure.KindOwnerLost)))
		Expect(d.StartEntry(d.Hosts[0])).To(Succeed())
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		Expect(d.WaitReady(ctx)).To(Succeed())
		for host := range d.Hosts {
			_, problem, _ = d.post(host, ordersPath, "order", "Idempotency-Key", key)
			Expect(problem.Executed).To(Equal(failure.ExecutedUnknown))
		}
		Expect(d.bookingCount()).To(BeZero())
	})

	// The owner of a minted key is suspended. The caller must not wait for it and
	// no other process may run the booking; once resumed, the owner knows whether
	// it ran.
	It("report unknown while a minted key's owner is suspended, and run it once afterwards", func() {
		d := startDeployment()
		key := d.mintKey(0)
		d.Hosts[0].EntryProcess.Signal(syscall.SIGSTOP)
		_, problem, _ := d.post(1, ordersPath, "order", "Idempotency-Key", key)
		Expect(problem.Title).To(Equal(string(failure.KindOwnerLost)))
		Expect(problem.Executed).To(Equal(failure.ExecutedUnknown))
		Expect(problem.RetryAfterMS).To(BeNumerically(">", 0))
		Expect(d.bookingCount()).To(BeZero())
		d.Hosts[0].EntryProcess.Signal(syscall.SIGCONT)
		Eventually(func() int {
			status, _, _ := d.post(1, ordersPath, "order", "Idempotency-Key", key)
			return status
		}, "20s", "500ms").Should(Equal(200))
		Expect(d.bookingCount()).To(Equal(1))
	})

	// The configuration service is down for longer than the host list may remain
	// unconfirmed. Reports and minted keys keep working. The owner of a key that
	// the caller chose cannot be confirmed, so such bookings are refused.
	It("keep serving without the configuration service, and refuse keys whose owner is unconfirmed", func() {
		d, r := startDeployment(), &streamCaller{}
		d.waitForCallerKeys()
		before := d.bookingCount()
		Expect(d.SetPlatformMode(`{"mode":"down"}`)).To(Succeed())
		Eventually(func() string {
			_, problem, _ := d.post(0, ordersPath, "order", "Idempotency-Key", newUUID())
			return problem.Title
		}, "15s", "500ms").Should(Equal(string(failure.KindKeyUnvouched)))
		bookedWhileDown := d.bookingCount()
		status, _, text := d.post(1, ordersPath, "minted", "Idempotency-Key", d.mintKey(1))
		Expect(status).To(Equal(200), text)
		Expect(d.bookingCount()).To(Equal(bookedWhileDown + 1))
		Expect(bookedWhileDown).To(BeNumerically(">=", before))
		Expect(r.readStream(d, 2, 50, nil)).To(BeTrue())
		r.expectTokens(50)
		Expect(d.SetPlatformMode(`{"mode":"normal"}`)).To(Succeed())
		d.waitForCallerKeys()
	})

	// Operators drain a data centre while a long report runs there.
	It("start nothing in a drained data centre and abort nothing there", func() {
		d, r := startDeployment(), &streamCaller{}
		var drainedAt, lastStart time.Time
		inDrainedCentre := func(e *fleet.Target) bool { return e.DataCentre == "a" }
		completed := r.readStream(d, 0, 900, func(n int) {
			switch {
			case n == 60:
				Expect(d.PutValue("drain", "a\n")).To(Succeed())
				drainedAt = time.Now()
			case n > 60 && n%20 == 0:
				before := d.startedGenerations(inDrainedCentre)
				status, problem, _ := d.post(n/20%3, "/v1/completions", `{"model":"summaries","prompt":"x [tokens=2]","max_tokens":9}`)
				Expect(status).To(Equal(200), "%+v", problem)
				if d.startedGenerations(inDrainedCentre) > before {
					lastStart = time.Now()
				}
			}
		})
		Expect(completed).To(BeTrue(), "%+v", r.problem)
		r.expectTokens(900)
		if !lastStart.IsZero() {
			Expect(lastStart.Sub(drainedAt)).To(BeNumerically("<", propagationLimit))
		}
		AddReportEntry("last start in the drained data centre, after the drain", max(lastStart.Sub(drainedAt), 0).String())
	})

	// Both processes of a host get SIGTERM while a report runs through its entry.
	It("finish requests in progress at a planned stop", func() {
		d, r := startDeployment(), &streamCaller{}
		Expect(r.readStream(d, 0, 400, func(n int) {
			if n == 60 {
				d.Hosts[0].EntryProcess.Signal(syscall.SIGTERM)
				d.Hosts[0].ControlProcess.Signal(syscall.SIGTERM)
			}
		})).To(BeTrue(), "%+v", r.problem)
		r.expectTokens(400)
		Eventually(d.Hosts[0].EntryProcess.Exited(), "10s").Should(BeClosed())
		Expect(d.Hosts[0].EntryProcess.ExitCode()).To(BeZero())
	})
})

// busyEngine returns an engine with running requests, or nil.
func (d deployment) busyEngine() *fleet.Target {
	for _, e := range d.Engines {
		var load struct{ Running int }
		if d.GetJSON("http://"+e.Address+"/v1/load", &load) == nil && load.Running > 0 {
			return e
		}
	}
	return nil
}
