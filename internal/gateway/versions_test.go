package gateway_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/directory"
	"filbertdeck/platform/standin"
)

// versionEvents is the number of events of the generations in this file.
const versionEvents = 40

// ofVersion returns an engine's directory entry with a version of its software.
func (e *fakeEngine) ofVersion(version string) *directory.ObservedTarget {
	entry := e.directoryEntry("llm", "dc-1")
	entry.Version = version
	return entry
}

// startVersions starts count engines of a version.
func startVersions(version string, count int) (engines []*fakeEngine, entries []*directory.ObservedTarget) {
	for i := range count {
		e := startEngine(fmt.Sprintf("i-%s-%d", version, i), versionEvents, 5*time.Millisecond)
		engines, entries = append(engines, e), append(entries, e.ofVersion(version))
	}
	return engines, entries
}

// runs returns the number of requests that engines were given to run.
func runs(engines ...*fakeEngine) int {
	n := 0
	for _, e := range engines {
		for _, r := range e.requests() {
			if r.Method == http.MethodPost && r.URL.Path != standin.PathMove {
				n++
			}
		}
	}
	return n
}

// takeUp returns the request that takes up a stream of an earlier attempt after an event.
func (gw *fixture) takeUp(id, resumes string, after int) *http.Request {
	req := gw.requestWithID(id, "POST", "/brief/")
	req.Header.Set(standin.HeaderResumes, resumes)
	req.Header.Set(standin.HeaderLastEventID, fmt.Sprint(after))
	return req
}

var _ = Describe("a generation of a service whose targets have several versions", func() {
	// Guards against a move to an engine of another version, which is the emptiest one.
	It("moves to an engine of its own version when its engine leaves", func() {
		const generations = 6
		first := startEngine("i-first", versionEvents, 20*time.Millisecond)
		same, sameEntries := startVersions("v1", 1)
		others, otherEntries := startVersions("v2", 4)
		gw := startGateway(first.ofVersion("v1"))
		done := make(chan result, generations)
		for i := range generations {
			go func() { done <- gw.do(gw.requestWithID(fmt.Sprintf("r-%d", i), "POST", "/report/")) }()
		}
		Eventually(func() int { return runs(first) }).Should(Equal(generations))
		Eventually(first.eventsSent.Load).Should(BeNumerically(">", 2))
		gw.publish(append(append(sameEntries, otherEntries...), asLeaving(first.ofVersion("v1")))...)
		for range generations {
			var got result
			Eventually(done, "5s").Should(Receive(&got))
			Expect(got.body).To(Equal(eventStream(versionEvents)))
		}
		Expect(runs(same...)).To(Equal(generations))
		Expect(runs(others...)).To(BeZero())
	})

	// Guards against a stream joined from two versions when its own has no other engine.
	It("stays at its engine while only engines of other versions are free", func() {
		first := startEngine("i-first", versionEvents, 20*time.Millisecond)
		others, otherEntries := startVersions("v2", 3)
		gw := startGateway(first.ofVersion("v1"))
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("POST", "/report/")) }()
		Eventually(first.eventsSent.Load).Should(BeNumerically(">", 2))
		gw.publish(append(otherEntries, asLeaving(first.ofVersion("v1")))...)
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.body).To(Equal(eventStream(versionEvents)))
		Expect(runs(others...)).To(BeZero())
		Expect(first.moveRequests.Load()).To(BeZero())
	})

	// Guards against a backup at an engine that can't go on with the generation.
	It("has its backup at an engine of its own version", func() {
		first := startEngine("i-first", versionEvents, 5*time.Millisecond)
		same, sameEntries := startVersions("v1", 1)
		others, otherEntries := startVersions("v2", 4)
		entries := append(sameEntries, otherEntries...)
		gw := startGateway(append(entries, first.ofVersion("v1"))...)
		for i := range 6 {
			Expect(gw.do(gw.requestWithID(fmt.Sprintf("r-%d", i), "POST", "/report/")).err).NotTo(HaveOccurred())
		}
		versionOf := map[string]string{}
		for _, t := range append(entries, first.ofVersion("v1")) {
			versionOf[t.Address] = t.Version
		}
		backups := 0
		for _, e := range append(append(others, same...), first) {
			for _, r := range e.generationRequests() {
				if backup := r.Header.Get(standin.HeaderBackup); backup != "" {
					backups++
					Expect(versionOf[backup]).To(Equal(versionOf[e.address]))
				}
			}
		}
		Expect(backups).To(BeNumerically(">", 0))
	})

	// Guards against a backup of one version that is used for a generation of another.
	It("goes on from a backup of its own version when its engine dies", func() {
		first := startEngine("i-first", versionEvents, 5*time.Millisecond)
		first.breakAfter = 3
		same, sameEntries := startVersions("v1", 1)
		others, otherEntries := startVersions("v2", 4)
		gw := startGateway(first.ofVersion("v1"), sameEntries[0])
		gw.loads.RecordFailure(same[0].id)
		gw.publish(append(append(sameEntries, otherEntries...), first.ofVersion("v1"))...)
		for i := range 8 {
			gw.do(gw.requestWithID(fmt.Sprintf("r-%d", i), "POST", "/report/"))
		}
		for _, e := range append(others, same...) {
			for _, r := range e.generationRequests() {
				if from := r.Header.Get(standin.HeaderKVFrom); from != "" {
					Expect(e.id).To(HavePrefix("i-v1"))
				}
			}
		}
		Expect(runs(append(others, same...)...)).To(BeNumerically(">", 0))
	})

	// Guards against a new run at another version, on a route that allows new runs.
	It("is continued by a new run at its own version only", func() {
		first := startEngine("i-first", versionEvents, 5*time.Millisecond)
		first.breakAfter = 3
		gw := startGateway(first.ofVersion("v1"))
		others, otherEntries := startVersions("v2", 4)
		same, sameEntries := startVersions("v1", 1)
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("POST", "/brief/")) }()
		Eventually(func() int { return runs(first) }).Should(Equal(1))
		gw.publish(append(append(sameEntries, otherEntries...), first.ofVersion("v1"))...)
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.body).To(Equal(eventStream(versionEvents)))
		Expect(runs(same...)).To(Equal(1))
		Expect(runs(others...)).To(BeZero())
	})

	// Guards against a stream joined from two versions after the last engine of its own is gone.
	It("ends visibly when no engine of its own version is left", func() {
		first := startEngine("i-first", versionEvents, 5*time.Millisecond)
		first.breakAfter = 3
		gw := startGateway(first.ofVersion("v1"))
		others, otherEntries := startVersions("v2", 4)
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("POST", "/brief/")) }()
		Eventually(func() int { return runs(first) }).Should(Equal(1))
		gw.publish(otherEntries...)
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.err).To(HaveOccurred())
		Expect(runs(others...)).To(BeZero())
	})

	// Guards against a host that places a stream that its caller takes up like a new one.
	It("is taken up at the version that began it", func() {
		first := startEngine("i-first", versionEvents, 5*time.Millisecond)
		first.breakAfter = 3
		gw := startGateway(first.ofVersion("v1"))
		for i := range 8 {
			got := gw.do(gw.requestWithID(fmt.Sprintf("r-%d", i), "POST", "/brief/"))
			Expect(got.err).To(HaveOccurred())
			Expect(got.body).To(Equal(eventStream(3)))
		}
		others, otherEntries := startVersions("v2", 4)
		same, sameEntries := startVersions("v1", 1)
		gw.publish(append(sameEntries, otherEntries...)...)
		for i := range 8 {
			got := gw.do(gw.takeUp(fmt.Sprintf("t-%d", i), fmt.Sprintf("r-%d", i), 3))
			Expect(got.err).NotTo(HaveOccurred())
			Expect(eventStream(3) + got.body).To(Equal(eventStream(versionEvents)))
		}
		Expect(runs(same...)).To(Equal(8))
		Expect(runs(others...)).To(BeZero())
	})

	// Guards against a stream whose version is unknown going on at any, and against a
	// refusal that does not say that nothing ran.
	DescribeTable("that nobody knows is refused when it is taken up", func(change func(*http.Request)) {
		engines, entries := startVersions("v1", 1)
		others, otherEntries := startVersions("v2", 1)
		gw := startGateway(append(entries, otherEntries...)...)
		req := gw.takeUp("t-1", "r-unknown", 3)
		change(req)
		got := gw.do(req)
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get(standin.HeaderRetryAfter)).NotTo(BeEmpty())
		Expect(got.body).To(ContainSubstring(`"executed":"no"`))
		Expect(runs(append(engines, others...)...)).To(BeZero())
	},
		Entry("by an id that nobody knows", func(*http.Request) {}),
		Entry("without the last event's id", func(r *http.Request) { r.Header.Del(standin.HeaderLastEventID) }),
		Entry("without naming the attempt that began it", func(r *http.Request) { r.Header.Del(standin.HeaderResumes) }),
	)
})

var _ = Describe("a stream that is taken up", func() {
	// begin begins a stream as an attempt, of which the caller gets three events.
	begin := func(gw *fixture, id string) {
		got := gw.do(gw.requestWithID(id, "POST", "/brief/"))
		Expect(got.err).To(HaveOccurred())
		Expect(got.body).To(Equal(eventStream(3)))
	}

	// Guards against a caller whose second try breaks as well, and whose third names the
	// first: the version must not be forgotten, nor that of the second try be another.
	It("goes on at its version in a third try that names the first", func() {
		first := startEngine("i-first", versionEvents, 5*time.Millisecond)
		first.breakAfter = 3
		gw := startGateway(first.ofVersion("v1"))
		begin(gw, "r-1")
		second := startTarget("i-second", respond("HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s2\nTransfer-Encoding: chunked\n\n13\nid: 4\ndata: piece 4\n\n\n"))
		entry := second.directoryEntry("llm", "dc-1")
		entry.Version = "v1"
		others, otherEntries := startVersions("v2", 4)
		gw.publish(append(otherEntries, entry)...)
		gw.do(gw.takeUp("r-2", "r-1", 3))
		Expect(second.requestsToRun()).To(HaveLen(1))
		same, sameEntries := startVersions("v1", 1)
		gw.publish(append(otherEntries, sameEntries...)...)
		got := gw.do(gw.takeUp("r-3", "r-1", 4))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(eventStream(4) + got.body).To(Equal(eventStream(versionEvents)))
		Expect(runs(same...)).To(Equal(1))
		Expect(runs(others...)).To(BeZero())
	})

	// Guards against a client that learns or uses what is known of another account's stream.
	It("by another account is one that nobody knows", func() {
		first := startEngine("i-first", versionEvents, 5*time.Millisecond)
		first.breakAfter = 3
		gw := startGateway(first.ofVersion("v1"))
		gw.cfg.Accounts = append(gw.cfg.Accounts, directory.Account{Name: "park", Keys: []string{"key-2"}})
		gw.publish(first.ofVersion("v1"))
		begin(gw, "r-1")
		engines, entries := startVersions("v1", 1)
		others, otherEntries := startVersions("v2", 1)
		gw.publish(append(entries, otherEntries...)...)
		req := gw.takeUp("r-2", "r-1", 3)
		req.Header.Set("Authorization", "Bearer key-2")
		Expect(gw.do(req).status).To(Equal(http.StatusServiceUnavailable))
		Expect(runs(append(engines, others...)...)).To(BeZero())
	})

	// Guards against the second try of a stream that the route's weights send to another
	// service, whose events do not continue it.
	It("stays with the service that began it", func() {
		first := startEngine("i-first", versionEvents, 5*time.Millisecond)
		first.breakAfter = 3
		gw := startGateway()
		gw.cfg.Services = append(gw.cfg.Services, directory.Service{Name: "llm-2", Engine: &directory.Engine{Slots: 6, MemoryTokens: 10000, TokensPerEvent: 1}})
		brief := &gw.cfg.Routes[3]
		gw.publish(first.ofVersion("v1"))
		begin(gw, "r-1")
		brief.Backends = []directory.Backend{{Service: "llm", Weight: 1}, {Service: "llm-2", Weight: 99}}
		same, entries := startVersions("v1", 1)
		other := startEngine("i-other", versionEvents, 5*time.Millisecond)
		otherEntry := other.directoryEntry("llm-2", "dc-1")
		otherEntry.Version = "v1"
		gw.publish(append(entries, otherEntry)...)
		got := gw.do(gw.takeUp("r-2", "r-1", 3))
		Expect(eventStream(3) + got.body).To(Equal(eventStream(versionEvents)))
		Expect(runs(same...)).To(Equal(1))
		brief.Backends = []directory.Backend{{Service: "llm-2", Weight: 1}}
		gw.publish(append(entries, otherEntry)...)
		Expect(gw.do(gw.takeUp("r-3", "r-1", 3)).status).To(Equal(http.StatusServiceUnavailable))
		Expect(runs(other)).To(BeZero())
	})

	// Guards against requests that can't name an earlier attempt being served as if they did.
	DescribeTable("is refused for good if the request is not valid", func(change func(*http.Request), status int) {
		engines, entries := startVersions("v1", 1)
		gw := startGateway(entries...)
		req := gw.takeUp("r-2", "r-1", 3)
		change(req)
		got := gw.do(req)
		Expect(got.status).To(Equal(status))
		Expect(got.header.Get(standin.HeaderRetryAfter)).To(BeEmpty())
		Expect(runs(engines...)).To(BeZero())
	},
		Entry("because it names itself", func(r *http.Request) { r.Header.Set(standin.HeaderResumes, "r-2") }, http.StatusBadRequest),
		Entry("because the id is too long", func(r *http.Request) {
			r.Header.Set(standin.HeaderResumes, fmt.Sprintf("%0300d", 1))
		}, http.StatusBadRequest),
		Entry("because it names two attempts", func(r *http.Request) { r.Header.Add(standin.HeaderResumes, "r-0") }, http.StatusBadRequest),
		Entry("because the route's streams can't be resumed", func(r *http.Request) { r.URL.Path = "/report/" }, http.StatusConflict),
	)

	// Guards against a host that sends for another one to an engine that has started again.
	It("goes on through another host, and not at an engine that has started again", func() {
		first := startEngine("i-first", versionEvents, 5*time.Millisecond)
		first.breakAfter = 3
		gw, peer := startPeers(first.ofVersion("v1"))
		begin(gw, "r-1")
		again, same := startEngine("i-again", versionEvents, 5*time.Millisecond), startEngine("i-same", versionEvents, 5*time.Millisecond)
		again.started.Store(2)
		same.started.Store(1)
		entries := []*directory.ObservedTarget{again.ofVersion("v1"), same.ofVersion("v1")}
		for _, entry := range entries {
			entry.StartedUnixMilli = 1
		}
		gw.publish(entries...)
		peer.publish(entries...)
		gw.cut.set(refused)
		for i := range 6 {
			got := gw.do(gw.takeUp(fmt.Sprintf("t-%d", i), "r-1", 3))
			Expect(got.status).To(Equal(http.StatusOK), got.body)
			Expect(eventStream(3) + got.body).To(Equal(eventStream(versionEvents)))
		}
		Expect(runs(again)).To(BeZero())
		Expect(runs(same)).To(Equal(6))
		Expect(peer.relayedCount()).To(BeNumerically(">=", 6))
	})

	// Guards against a request that is sent, or counts as sent, to an engine whose report does
	// not confirm the connection.
	DescribeTable("does not go on, and has not run, at an engine", func(report string) {
		first := startEngine("i-first", versionEvents, 5*time.Millisecond)
		first.breakAfter = 3
		gw := startGateway(first.ofVersion("v1"))
		begin(gw, "r-1")
		engine := startTarget("i-2", respond(report))
		entry := engine.directoryEntry("llm", "dc-1")
		entry.Version, entry.StartedUnixMilli = "v1", 1
		gw.publish(entry)
		got := gw.do(gw.takeUp("r-2", "r-1", 3))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.body).To(ContainSubstring(`"executed":"no"`))
		Expect(engine.requestsToRun()).To(BeEmpty())
	},
		Entry("that does not say when it started", "HTTP/1.1 500 Internal Server Error\nContent-Length: 0\n\n"),
		Entry("that closes its connections after the report", "HTTP/1.1 200 OK\nConnection: close\nContent-Length: 10\n\n{\"born\":1}"),
	)

	// Guards against an engine that started again under its id, with other software, running
	// what was meant for the one before it.
	It("does not go on at an engine that has started again under its id", func() {
		first := startEngine("i-first", versionEvents, 5*time.Millisecond)
		first.breakAfter = 3
		gw := startGateway(first.ofVersion("v1"))
		begin(gw, "r-1")
		again := startEngine("i-again", versionEvents, 5*time.Millisecond)
		again.started.Store(2)
		entry := again.ofVersion("v1")
		entry.StartedUnixMilli = 1
		gw.publish(entry)
		got := gw.do(gw.takeUp("r-2", "r-1", 3))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.body).To(ContainSubstring(`"executed":"no"`))
		Expect(runs(again)).To(BeZero())
		current := again.ofVersion("v1")
		current.StartedUnixMilli = 2
		gw.publish(current)
		Expect(eventStream(3) + gw.do(gw.takeUp("r-3", "r-1", 3)).body).To(Equal(eventStream(versionEvents)))
	})
})
