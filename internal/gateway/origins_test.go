package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/streamorigin"
	"filbertdeck/internal/directory"
	"filbertdeck/platform/standin"
)

// fakeOriginPeers are other hosts that record what they are told, and give set answers.
type fakeOriginPeers struct {
	mu   sync.Mutex
	told []streamorigin.Record
	// uncertain makes it say that records should be sent again.
	uncertain bool
	answers   []streamorigin.Answer
}

func (p *fakeOriginPeers) Tell(records []streamorigin.Record) (final bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.told = append(p.told, records...)
	return !p.uncertain
}

func (p *fakeOriginPeers) Ask(context.Context, streamorigin.Question) []streamorigin.Answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answers
}

func (p *fakeOriginPeers) toldRecords() []streamorigin.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.told
}

func (p *fakeOriginPeers) setUncertain(uncertain bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.uncertain = uncertain
}

// answer sets the answers of the other hosts.
func (p *fakeOriginPeers) answer(answers ...streamorigin.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers = answers
}

// observed is longer than the streams of the route /brief/ may last.
const observed = time.Minute

// observeOneVersion has the gateway observe its targets for as long as a stream may last.
func (gw *fixture) observeOneVersion() {
	Eventually(func() bool {
		return gw.gateway.AnswerOrigin(streamorigin.Question{Service: "llm"}).Versions == streamorigin.One
	}).Should(BeTrue())
	gw.skip(observed)
}

var _ = Describe("a host that relays a stream which may be taken up", func() {
	origin := streamorigin.Origin{Service: "llm", Version: "v1"}
	record := func(attempt string) streamorigin.Key { return streamorigin.KeyOf("clinic", attempt) }
	var engine *fakeEngine
	var gw *fixture
	BeforeEach(func() {
		engine = startEngine("i-1", versionEvents, 5*time.Millisecond)
		gw = startGateway(engine.ofVersion("v1"))
	})

	// Guards against a host that is killed after the first event and has told nobody.
	It("tells others where it began before its first event is passed on", func() {
		resp, err := gw.client.Do(gw.request("POST", "/brief/"))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		one := make([]byte, 1)
		_, err = resp.Body.Read(one)
		Expect(err).NotTo(HaveOccurred())
		told := gw.peers.toldRecords()
		Expect(told).To(HaveLen(1))
		Expect(told[0].Key).To(Equal(record("r-1")))
		Expect(told[0].Origin).To(Equal(origin))
		Expect(told[0].Lifetime).To(BeNumerically(">=", 5*time.Second), "the route's timeout")
	})

	// Guards against a host that has just started, and whose records are kept where nobody
	// asks.
	It("tells others again until it knows the hosts that keep the records", func() {
		gw.peers.setUncertain(true)
		broken := startEngine("i-2", versionEvents, 5*time.Millisecond)
		broken.breakAfter = 3
		gw.publish(broken.ofVersion("v1"))
		gw.do(gw.request("POST", "/brief/"))
		Eventually(func() int { return len(gw.peers.toldRecords()) }, "5s").Should(BeNumerically(">", 1))
		gw.peers.setUncertain(false)
		gw.skip(2 * time.Second)
		told := 0
		Eventually(func() bool {
			before := told
			told = len(gw.peers.toldRecords())
			return before == told
		}, "5s", "1500ms").Should(BeTrue())
		for _, r := range gw.peers.toldRecords() {
			Expect(r.Key).To(Equal(record("r-1")))
		}
	})

	It("tells nobody of one that can't be taken up", func() {
		Expect(gw.do(gw.request("POST", "/report/")).err).NotTo(HaveOccurred())
		Expect(gw.peers.toldRecords()).To(BeEmpty())
	})

	Context("while its service has had one version for long", func() {
		BeforeEach(func() { gw.observeOneVersion() })

		// Guards against messages that nobody needs.
		It("tells nobody", func() {
			Expect(gw.do(gw.request("POST", "/brief/")).err).NotTo(HaveOccurred())
			Expect(gw.peers.toldRecords()).To(BeEmpty())
		})

		// Guards against streams that began just before a second version came, and that
		// nobody knows after.
		It("tells others once a second version comes, also of those that broke", func() {
			broken := startEngine("i-2", versionEvents, 5*time.Millisecond)
			broken.breakAfter = 3
			gw.publish(broken.ofVersion("v1"))
			gw.do(gw.requestWithID("r-broken", "POST", "/brief/"))
			slow := startEngine("i-3", versionEvents, 50*time.Millisecond)
			gw.publish(slow.ofVersion("v1"))
			done := make(chan result, 1)
			go func() { done <- gw.do(gw.requestWithID("r-slow", "POST", "/brief/")) }()
			Eventually(slow.eventsSent.Load).Should(BeNumerically(">", 1))
			Expect(gw.peers.toldRecords()).To(BeEmpty())
			other := startEngine("i-4", versionEvents, 5*time.Millisecond)
			gw.publish(slow.ofVersion("v1"), other.ofVersion("v2"))
			Eventually(func() []streamorigin.Key {
				var keys []streamorigin.Key
				for _, r := range gw.peers.toldRecords() {
					Expect(r.Origin).To(Equal(origin))
					keys = append(keys, r.Key)
				}
				return keys
			}).Should(ConsistOf(record("r-broken"), record("r-slow")))
			Eventually(done, "5s").Should(Receive())
		})

		// Guards against versions that are published while this host does not see them.
		It("tells others while it may miss what is published", func() {
			gw.disconnected.Store(true)
			Expect(gw.do(gw.request("POST", "/brief/")).err).NotTo(HaveOccurred())
			Expect(gw.peers.toldRecords()).To(HaveLen(1))
		})

		// Guards against a stream of a route with several services, whose service nobody knows.
		It("tells others if the route leads to several services", func() {
			gw.cfg.Services = append(gw.cfg.Services, directory.Service{Name: "llm-2"})
			gw.cfg.Routes[3].Backends = []directory.Backend{{Service: "llm", Weight: 1_000_000}, {Service: "llm-2", Weight: 1}}
			gw.publish(engine.ofVersion("v1"))
			Expect(gw.do(gw.request("POST", "/brief/")).err).NotTo(HaveOccurred())
			Expect(gw.peers.toldRecords()).To(HaveLen(1))
		})

		It("goes on with a stream that nobody was told of, also one whose caller names none", func() {
			for i, change := range []func(*http.Request){
				func(*http.Request) {}, func(r *http.Request) { r.Header.Del(standin.HeaderResumes) },
			} {
				req := gw.takeUp(fmt.Sprintf("t-%d", i), "r-elsewhere", 3)
				change(req)
				Expect(eventStream(3) + gw.do(req).body).To(Equal(eventStream(versionEvents)))
			}
		})

		// Guards against a host that has run for as long as a route's timeouts last, and takes
		// the version that it sees for that of a stream whose client waits for longer.
		It("refuses one of clients that may have begun it before the host started", func() {
			takeUp := func(id string, timeout time.Duration) int {
				req := gw.takeUp(id, "elsewhere-"+id, 3)
				req.Header.Set(standin.HeaderDeadline, fmt.Sprint(timeout.Milliseconds()))
				return gw.do(req).status
			}
			Expect(takeUp("t-1", 5*time.Second)).To(Equal(http.StatusOK))
			Expect(takeUp("t-2", observed)).To(Equal(http.StatusServiceUnavailable))
			Expect(takeUp("t-3", 5*time.Second)).To(Equal(http.StatusServiceUnavailable), "this may be what is left of a longer timeout")
			gw.skip(2 * observed)
			Expect(takeUp("t-4", observed)).To(Equal(http.StatusOK))
			Expect(takeUp("t-5", 24*time.Hour)).To(Equal(http.StatusServiceUnavailable))
		})

		// Guards against a host whose view is older than those of the hosts that it asks.
		It("refuses one if another host knows of a second version", func() {
			gw.peers.answer(streamorigin.Answer{Versions: streamorigin.One, Version: "v1"}, streamorigin.Answer{Versions: streamorigin.Several})
			Expect(gw.do(gw.takeUp("t-1", "r-elsewhere", 3)).status).To(Equal(http.StatusServiceUnavailable))
			Expect(runs(engine)).To(BeZero())
		})

		// Guards against a host that is partitioned from the store and from all hosts.
		It("refuses one while it may miss what is published and nobody answers", func() {
			gw.disconnected.Store(true)
			Expect(gw.do(gw.takeUp("t-1", "r-elsewhere", 3)).status).To(Equal(http.StatusServiceUnavailable))
			gw.peers.answer(streamorigin.Answer{Versions: streamorigin.One, Version: "v1"})
			Expect(gw.do(gw.takeUp("t-2", "r-elsewhere", 3)).status).To(Equal(http.StatusOK))
		})

		// Guards against a stream of a version that this host does not see going on at another.
		It("refuses one of a version that it does not see", func() {
			gw.peers.answer(streamorigin.Answer{Origin: &streamorigin.Origin{Service: "llm", Version: "v2"}})
			got := gw.do(gw.takeUp("t-1", "r-elsewhere", 3))
			Expect(got.status).To(Equal(http.StatusServiceUnavailable))
			Expect(got.header.Get(standin.HeaderRetryAfter)).NotTo(BeEmpty())
			Expect(runs(engine)).To(BeZero())
		})
	})

	// Guards against streams that are refused since the engines of their version are full,
	// which new ones of another version need not wait for.
	It("gives a stream that is taken up to an engine of its version that is full", func() {
		full, other := startEngine("i-full", versionEvents, 5*time.Millisecond), startEngine("i-other", versionEvents, 5*time.Millisecond)
		gw.publish(full.ofVersion("v1"), other.ofVersion("v2"))
		for range 8 {
			gw.loads.Reserve("i-full", call.Prompt{Tokens: 3000})
		}
		gw.peers.answer(streamorigin.Answer{Origin: &origin})
		req := gw.takeUp("t-1", "r-elsewhere", 3)
		req.Header.Set(standin.HeaderTokenUsage, "3000,400")
		start := time.Now()
		Expect(eventStream(3) + gw.do(req).body).To(Equal(eventStream(versionEvents)))
		Expect(time.Since(start)).To(BeNumerically("<", 3*time.Second))
		Expect(runs(full)).To(Equal(1))
	})
})
