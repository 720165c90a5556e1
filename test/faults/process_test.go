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

var deckTable = "kind,name,weight,max_running,tokens_per_second,priority,key_sha256,services,type,delivery,max_tokens,max_wait_ms,queue_limit\n" +
	"account,park,1,,,," + fleet.KeyDigest(parkKey) + ",,,,,,\n" +
	"service,reports,,,,,,,generation,stream,20000,30000,200\n" +
	"service,summaries,,,,,,,generation,whole,20000,30000,200\n" +
	"service,orders,,,,,,,once,,,5000,500\n"

// deck is a small deployment of real processes: two data centres, three hosts,
// three engines, one plain service.
type deck struct{ *fleet.Fleet }

func newDeck() deck {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f, err := fleet.Start(ctx, fleet.Spec{
		BinDir: binaries, Table: deckTable, Hosts: []string{"a", "a", "b"}, Engines: []string{"a", "a", "b"}, Apps: []string{"a"},
		EngineServices: []string{"reports", "summaries"}, AppServices: []string{"orders"},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(f.Close)
	return deck{f}
}

func (d deck) request(ctx context.Context, host int, path, body string, header ...string) *http.Request {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Hosts[host].ClientAddress+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+parkKey)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header[header[i]] = []string{header[i+1]}
	}
	return req
}

// post sends a request once and gives status, problem and body; status 0
// stands for no answer.
func (d deck) post(host int, path, body string, header ...string) (int, failure.Problem, string) {
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

// reading is a streamed answer as its caller holds it, over all connections.
type reading struct {
	words      []string
	generation string
	handle     string
	problem    failure.Problem
}

// callerPatience is how long a caller bears a silent connection. Entries send
// comments on quiet streams, so silence means a dead connection.
const callerPatience = 4 * time.Second

// read takes the report, or its rest, from a host; on runs after each event.
// It checks that every token comes once, in order, from one generation, and
// tells whether the report is whole.
func (r *reading) read(d deck, host, length int, on func(tokens int)) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	silence := time.AfterFunc(callerPatience, cancel)
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
	in := sse.NewReader(resp.Body, 0)
	for {
		var ev sse.Event
		if in.Next(&ev) != nil {
			return false
		}
		silence.Reset(callerPatience)
		switch {
		case ev.Comment:
		case string(ev.Data) == "[DONE]":
			return true
		case string(ev.Name) == "error":
			Expect(json.Unmarshal(ev.Data, &r.problem)).To(Succeed())
			return false
		default:
			r.take(ev)
			if on != nil {
				on(len(r.words))
			}
		}
	}
}

func (r *reading) take(ev sse.Event) {
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

// whole checks the words, which the engine makes from their number and the
// generation.
func (r *reading) whole(length int) {
	GinkgoHelper()
	Expect(r.words).To(HaveLen(length))
	tail := r.generation[len(r.generation)-6:]
	for k, word := range r.words {
		Expect(word).To(Equal(fmt.Sprintf("w%d-%s", k, tail)))
	}
}

// started counts the generations that engines began, from their own records.
func (d deck) started(keep func(*fleet.Target) bool) (n int) {
	for _, e := range d.Engines {
		if !keep(e) {
			continue
		}
		var records []json.RawMessage
		Expect(d.GetJSON("http://"+e.Address+"/admin/records", &records)).To(Succeed())
		n += len(records)
	}
	return n
}

func all(*fleet.Target) bool { return true }

// engineOf finds the engine that began a generation.
func (d deck) engineOf(generation string) *fleet.Target {
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

// booked counts how often the plain service ran a body's booking.
func (d deck) booked() (total int) {
	var e struct {
		Total int `json:"total"`
	}
	Expect(d.GetJSON("http://"+d.Apps[0].Address+"/admin/executions", &e)).To(Succeed())
	return e.Total
}

const orders = "/v1/services/orders/book"

func (d deck) mint(host int) string {
	status, _, text := d.post(host, "/v1/idempotency-keys", "")
	Expect(status).To(BeNumerically("<", 300), text)
	var key struct{ Key string }
	Expect(json.Unmarshal([]byte(text), &key)).To(Succeed())
	return key.Key
}

func newUUID() string { return uuid.Must(uuid.NewV7()).String() }

// settle waits until every entry vouches for callers' own keys: each key has
// another owner.
func (d deck) settle() {
	Eventually(func() bool {
		for i := range 12 {
			if status, _, _ := d.post(i%3, orders, "warm up", "Idempotency-Key", newUUID()); status != http.StatusOK {
				return false
			}
		}
		return true
	}, "30s", "500ms").Should(BeTrue())
}

var binaries string

var _ = BeforeSuite(func() {
	binaries = GinkgoT().TempDir()
	Expect(fleet.BuildPrograms(binaries)).To(Succeed())
})

var _ = Describe("real processes", func() {
	// A host dies in the middle of a long report. The technician's client comes
	// back to another host with the last event's id and reads on.
	It("resume a report at another entry after kill -9", func() {
		d, r := newDeck(), &reading{}
		Expect(r.read(d, 0, 300, func(n int) {
			if n == 60 {
				d.Hosts[0].EntryProcess.Signal(syscall.SIGKILL)
			}
		})).To(BeFalse())
		Expect(len(r.words)).To(BeNumerically(">=", 60))
		Expect(r.read(d, 2, 300, nil)).To(BeTrue(), "%+v", r.problem)
		r.whole(300)
		Expect(d.started(all)).To(Equal(1))
	})

	// A process sleeps in the middle of a report and wakes up late. The client
	// notices the silence and reads on elsewhere; what the sleeper does when it
	// wakes must not reach anybody.
	It("resume a report elsewhere while an entry is stopped", func() {
		d, r := newDeck(), &reading{}
		Expect(r.read(d, 0, 900, func(n int) {
			if n == 60 {
				d.Hosts[0].EntryProcess.Signal(syscall.SIGSTOP)
			}
		})).To(BeFalse())
		Expect(r.read(d, 1, 900, func(n int) {
			if n == 600 {
				d.Hosts[0].EntryProcess.Signal(syscall.SIGCONT)
			}
		})).To(BeTrue(), "%+v", r.problem)
		r.whole(900)
		Expect(d.started(all)).To(Equal(1))
		status, _, text := d.post(0, orders, "after the sleep", "Idempotency-Key", d.mint(0))
		Expect(status).To(Equal(200), text)
	})

	// An engine dies under a report and a summary. The report can't go on with
	// other words; its caller must hear how much it has. The summary has shown
	// nothing yet and starts over unseen.
	It("end a report with its count, and start a summary over, when the engine crashes", func() {
		d, r := newDeck(), &reading{}
		Expect(r.read(d, 0, 600, func(n int) {
			if n == 60 {
				Expect(d.SetFault(d.engineOf(r.generation), `{"kind":"crash"}`)).To(Or(Succeed(), HaveOccurred()))
			}
		})).To(BeFalse())
		Expect(r.problem.Title).To(Equal(string(failure.KindTargetLost)))
		Expect(r.problem.Executed).To(Equal(failure.ExecutedYes))
		Expect(r.problem.DeliveredTokens).To(Equal(len(r.words)))
		r.whole(len(r.words))

		d = newDeck()
		go func() {
			defer GinkgoRecover()
			var busy *fleet.Target
			Eventually(func() *fleet.Target { busy = d.running(); return busy }, "10s", "20ms").ShouldNot(BeNil())
			_ = d.SetFault(busy, `{"kind":"crash"}`)
		}()
		status, problem, text := d.post(0, "/v1/completions", `{"model":"summaries","prompt":"Lease. [tokens=200]","max_tokens":400}`)
		Expect(status).To(Equal(200), "%+v", problem)
		Expect(text).To(ContainSubstring(`"completion_tokens":200`))
	})

	// A phone on a poor link sends its booking through two entries at once.
	It("run a booking once that is sent through every entry, under either kind of key", func() {
		d := newDeck()
		d.settle()
		for _, key := range []string{d.mint(0), newUUID(), newUUID(), newUUID()} {
			before := d.booked()
			answers := make(chan string, 6)
			for i := range cap(answers) {
				go func() {
					defer GinkgoRecover()
					status, _, text := d.post(i%3, orders, "order "+key, "Idempotency-Key", key)
					answers <- fmt.Sprint(status, " ", text)
				}()
			}
			for range cap(answers) {
				Expect(<-answers).To(Or(HavePrefix("200"), HavePrefix("409")))
			}
			status, _, _ := d.post(1, orders, "order "+key, "Idempotency-Key", key)
			Expect(status).To(Equal(200), "the answer is on record")
			Expect(d.booked() - before).To(Equal(1))
		}
	})

	// The service books the order and its connection breaks before the answer.
	// Nobody can know; the client must be told so, and asking again must not
	// book again.
	It("say unknown after a booking whose answer was lost, and never run it again", func() {
		d := newDeck()
		key := d.mint(0)
		Expect(d.SetFault(d.Apps[0], `{"kind":"drop_after_run","count":1}`)).To(Succeed())
		for _, host := range []int{0, 1, 2} {
			_, problem, _ := d.post(host, orders, "order", "Idempotency-Key", key)
			Expect(problem.Executed).To(Equal(failure.ExecutedUnknown))
			Expect(d.booked()).To(Equal(1))
		}
	})

	// The owner of a minted key dies. Whether the booking ran is not known any
	// more; no other process may run it, not even the one that takes its place.
	It("never run a minted key's booking once its owner is gone", func() {
		d := newDeck()
		key := d.mint(0)
		d.Hosts[0].EntryProcess.Kill()
		status, problem, _ := d.post(1, orders, "order", "Idempotency-Key", key)
		Expect(status).To(Equal(502))
		Expect(problem.Title).To(Equal(string(failure.KindOwnerLost)))
		Expect(d.StartEntry(d.Hosts[0])).To(Succeed())
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		Expect(d.WaitReady(ctx)).To(Succeed())
		for host := range d.Hosts {
			_, problem, _ = d.post(host, orders, "order", "Idempotency-Key", key)
			Expect(problem.Executed).To(Equal(failure.ExecutedUnknown))
		}
		Expect(d.booked()).To(BeZero())
	})

	// The owner of a minted key is asleep. Its caller must not wait for it, nor
	// may another process run the booking; when the owner is awake it knows.
	It("answer unknown while a minted key's owner sleeps, and run it once afterwards", func() {
		d := newDeck()
		key := d.mint(0)
		d.Hosts[0].EntryProcess.Signal(syscall.SIGSTOP)
		_, problem, _ := d.post(1, orders, "order", "Idempotency-Key", key)
		Expect(problem.Title).To(Equal(string(failure.KindOwnerLost)))
		Expect(problem.Executed).To(Equal(failure.ExecutedUnknown))
		Expect(problem.RetryAfterMS).To(BeNumerically(">", 0))
		Expect(d.booked()).To(BeZero())
		d.Hosts[0].EntryProcess.Signal(syscall.SIGCONT)
		Eventually(func() int {
			status, _, _ := d.post(1, orders, "order", "Idempotency-Key", key)
			return status
		}, "20s", "500ms").Should(Equal(200))
		Expect(d.booked()).To(Equal(1))
	})

	// The configuration service is down for longer than the list of hosts may
	// go without confirmation. Reports and minted keys go on; a caller's own
	// key can't be vouched for and is refused rather than guessed.
	It("go on without the configuration service, and refuse what can't be vouched for", func() {
		d, r := newDeck(), &reading{}
		d.settle()
		before := d.booked()
		Expect(d.SetPlatformMode(`{"mode":"down"}`)).To(Succeed())
		Eventually(func() string {
			_, problem, _ := d.post(0, orders, "order", "Idempotency-Key", newUUID())
			return problem.Title
		}, "15s", "500ms").Should(Equal(string(failure.KindKeyUnvouched)))
		ran := d.booked()
		status, _, text := d.post(1, orders, "minted", "Idempotency-Key", d.mint(1))
		Expect(status).To(Equal(200), text)
		Expect(d.booked()).To(Equal(ran + 1))
		Expect(ran).To(BeNumerically(">=", before))
		Expect(r.read(d, 2, 50, nil)).To(BeTrue())
		r.whole(50)
		Expect(d.SetPlatformMode(`{"mode":"normal"}`)).To(Succeed())
		d.settle()
	})

	// Operators take a data centre out while a long report runs there.
	It("start nothing in a drained data centre and cut nothing there", func() {
		d, r := newDeck(), &reading{}
		var drained, last time.Time
		inA := func(e *fleet.Target) bool { return e.DataCentre == "a" }
		whole := r.read(d, 0, 900, func(n int) {
			switch {
			case n == 60:
				Expect(d.PutValue("drain", "a\n")).To(Succeed())
				drained = time.Now()
			case n > 60 && n%20 == 0:
				before := d.started(inA)
				status, problem, _ := d.post(n/20%3, "/v1/completions", `{"model":"summaries","prompt":"x [tokens=2]","max_tokens":9}`)
				Expect(status).To(Equal(200), "%+v", problem)
				if d.started(inA) > before {
					last = time.Now()
				}
			}
		})
		Expect(whole).To(BeTrue(), "%+v", r.problem)
		r.whole(900)
		if !last.IsZero() {
			Expect(last.Sub(drained)).To(BeNumerically("<", aFew))
		}
		AddReportEntry("last start in the drained data centre after", max(last.Sub(drained), 0).String())
	})

	// A host is taken away in order while a report runs through it.
	It("finish what is in progress at a planned stop", func() {
		d, r := newDeck(), &reading{}
		Expect(r.read(d, 0, 400, func(n int) {
			if n == 60 {
				d.Hosts[0].EntryProcess.Signal(syscall.SIGTERM)
				d.Hosts[0].ControlProcess.Signal(syscall.SIGTERM)
			}
		})).To(BeTrue(), "%+v", r.problem)
		r.whole(400)
		Eventually(d.Hosts[0].EntryProcess.Done(), "10s").Should(BeClosed())
		Expect(d.Hosts[0].EntryProcess.ExitCode()).To(BeZero())
	})
})

// running finds an engine that runs something.
func (d deck) running() *fleet.Target {
	for _, e := range d.Engines {
		var load struct{ Running int }
		if d.GetJSON("http://"+e.Address+"/v1/load", &load) == nil && load.Running > 0 {
			return e
		}
	}
	return nil
}
