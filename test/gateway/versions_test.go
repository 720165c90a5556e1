package gateway_test

import (
	"bufio"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/platform/standin"
)

// Events of the streams in this file: an engine breaks off each stream that it begins
// after brokenAfter events; all have streamEvents.
const (
	brokenAfter  = 3
	streamEvents = 6
	// streamsTaken is the number of streams that each spec takes up.
	streamsTaken = 24
)

// versionedEngine is an engine whose events name the version of its software.
type versionedEngine struct {
	*httptest.Server
	id      string
	version atomic.Value
	born    atomic.Int64
	ran     atomic.Int64
	// hold, if not nil, keeps the streams that it begins open after their first event
	// until it is closed.
	hold chan struct{}
}

const engineBorn = 1779813826000

func startVersionedEngine(store *standin.Store, id, version string, hold chan struct{}) *versionedEngine {
	e := &versionedEngine{id: id, hold: hold}
	e.version.Store(version)
	e.born.Store(engineBorn)
	e.Server = httptest.NewServer(e)
	DeferCleanup(func() { e.CloseClientConnections(); e.Close() })
	store.PutServerVersion(id, "llm", hostPort(e.Server), "ready", version, engineBorn)
	return e
}

// ServeHTTP serves streams and the engine's report.
func (e *versionedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == standin.PathReport {
		_, _ = fmt.Fprintf(w, `{"born":%d}`, e.born.Load())
		return
	}
	e.ran.Add(1)
	w.Header().Set(standin.HeaderRequestID, r.Header.Get(standin.HeaderRequestID))
	w.Header().Set(standin.HeaderSeal, "s-"+e.id)
	from, _ := strconv.Atoi(r.Header.Get(standin.HeaderLastEventID))
	for n := from + 1; n <= streamEvents; n++ {
		if from == 0 && n > brokenAfter {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, e.version.Load())
		w.(http.Flusher).Flush()
		if from == 0 && e.hold != nil {
			select {
			case <-e.hold:
			case <-r.Context().Done():
				return
			}
		}
	}
}

// tryResult is what a client got of a stream in one try.
type tryResult struct {
	status   int
	versions []string
	lastID   string
	whole    bool
}

// openStream sends a try of a stream; first receives once its first event is there.
func (h *host) openStream(id, resumes, lastID string, first chan<- struct{}) tryResult {
	req, err := http.NewRequest(http.MethodPost, "http://"+h.clientAddress+"/s/x", strings.NewReader("x"))
	Expect(err).NotTo(HaveOccurred())
	req.Host, req.Close = "a.example", true
	req.Header.Set("Authorization", "Bearer key-1")
	req.Header.Set(standin.HeaderRequestID, id)
	req.Header.Set(standin.HeaderDeadline, "20000")
	req.Header.Set(standin.HeaderTokenUsage, "10,10")
	if resumes != "" {
		req.Header.Set(standin.HeaderResumes, resumes)
		req.Header.Set(standin.HeaderLastEventID, lastID)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return tryResult{}
	}
	defer func() { _ = resp.Body.Close() }()
	got := tryResult{status: resp.StatusCode, lastID: lastID}
	if resp.StatusCode != http.StatusOK {
		return got
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			got.lastID = text
		}
		if text, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			got.versions = append(got.versions, text)
			if first != nil && len(got.versions) == 1 {
				first <- struct{}{}
			}
		}
	}
	got.whole = lines.Err() == nil && got.lastID == strconv.Itoa(streamEvents)
	return got
}

// tally counts how streams went on that were taken up.
type tally struct{ own, other, refused int }

// takeUpAll takes up streams at hosts in turn, in tries that name the first.
func takeUpAll(begun []tryResult, hosts ...*host) (t tally) {
	for i, b := range begun {
		got := hosts[i%len(hosts)].openStream(fmt.Sprintf("second-%d", i), fmt.Sprintf("first-%d", i), b.lastID, nil)
		switch {
		case len(got.versions) == 0:
			t.refused++
		case got.versions[0] != b.versions[0]:
			t.other++
		default:
			t.own++
		}
	}
	return t
}

// beginAll begins streams that their engines break off.
func beginAll(h *host) []tryResult {
	var begun []tryResult
	for i := range streamsTaken {
		got := h.openStream(fmt.Sprintf("first-%d", i), "", "", nil)
		Expect(got.versions).To(HaveLen(brokenAfter))
		begun = append(begun, got)
	}
	return begun
}

var _ = Describe("gateway processes before engines of two versions", func() {
	var store *standin.Store
	var address string
	var hosts []*host
	// startHosts starts hosts that know each other.
	startHosts := func(count int) {
		for range count {
			peers := make([]string, len(hosts))
			for i, h := range hosts {
				peers[i] = h.peerAddress
			}
			hosts = append(hosts, startHost(address, peers...))
		}
		for _, h := range hosts {
			Eventually(h.isReady, stepTimeout).Should(BeTrue())
			Eventually(h.metricsText, stepTimeout).Should(MatchRegexp(`"gossip.hosts":\s*\{\s*"value":\s*%d\s*\}`, len(hosts)))
		}
	}
	BeforeEach(func() {
		store, hosts = standin.New(), nil
		DeferCleanup(store.Close)
		store.PutStreamConfig(1, "llm", "key-1")
		address = serveStore(store)
	})

	// Guards against a host that does not know at which version another one began a stream.
	It("go on with the streams of another host at the versions that began them", func() {
		for i, version := range []string{"v1", "v1", "v2", "v2"} {
			startVersionedEngine(store, fmt.Sprintf("i-%d", i), version, nil)
		}
		startHosts(3)
		Expect(takeUpAll(beginAll(hosts[0]), hosts[1], hosts[2])).To(Equal(tally{own: streamsTaken}))
	})

	// Guards against knowledge that is lost with the host that began a stream.
	It("go on with the streams of a host that was killed after their first event", func() {
		hold := make(chan struct{})
		for i, version := range []string{"v1", "v1", "v2", "v2"} {
			startVersionedEngine(store, fmt.Sprintf("i-%d", i), version, hold)
		}
		startHosts(3)
		begun := make([]tryResult, streamsTaken)
		done, first := make(chan struct{}, streamsTaken), make(chan struct{}, streamsTaken)
		for i := range begun {
			go func() {
				defer GinkgoRecover()
				begun[i] = hosts[0].openStream(fmt.Sprintf("first-%d", i), "", "", first)
				done <- struct{}{}
			}()
		}
		for range begun {
			Eventually(first, stepTimeout).Should(Receive())
		}
		Expect(hosts[0].cmd.Process.Kill()).To(Succeed())
		for range begun {
			Eventually(done, stepTimeout).Should(Receive())
		}
		close(hold)
		Expect(takeUpAll(begun, hosts[1], hosts[2])).To(Equal(tally{own: streamsTaken}))
	})

	// Guards against a host that has just started and knows nothing of earlier streams.
	It("go on with earlier streams at a host that has just started", func() {
		for i, version := range []string{"v1", "v1", "v2", "v2"} {
			startVersionedEngine(store, fmt.Sprintf("i-%d", i), version, nil)
		}
		startHosts(2)
		begun := beginAll(hosts[0])
		startHosts(1)
		Expect(takeUpAll(begun, hosts[2])).To(Equal(tally{own: streamsTaken}))
	})

	// Guards against a stream going on at another version when its own has left.
	It("refuse the streams whose version has no engine left", func() {
		old := startVersionedEngine(store, "i-old", "v1", nil)
		startHosts(2)
		begun := beginAll(hosts[0])
		current := startVersionedEngine(store, "i-new", "v2", nil)
		store.RemoveServer("i-old")
		Eventually(func() int64 { hosts[1].openStream("other", "", "", nil); return current.ran.Load() }, stepTimeout).Should(BeNumerically(">", 0))
		ran := old.ran.Load() + current.ran.Load()
		Expect(takeUpAll(begun, hosts[1])).To(Equal(tally{refused: streamsTaken}))
		Expect(old.ran.Load() + current.ran.Load()).To(Equal(ran))
	})

	// Guards against hosts that were all replaced and take the version that they find for the
	// only one: a client may wait for longer than its route's timeout, and take up a stream
	// of a version that has left since.
	It("join no streams from two versions after all of them were killed", func() {
		store.PutTimedStreamConfig(2, "llm", time.Second, "key-1")
		startVersionedEngine(store, "i-old", "v1", nil)
		startHosts(2)
		begun := beginAll(hosts[0])
		for _, h := range hosts {
			Expect(h.cmd.Process.Kill()).To(Succeed())
			<-h.exited
		}
		startVersionedEngine(store, "i-new", "v2", nil)
		store.RemoveServer("i-old")
		first := startReplacement(address)
		second := startReplacement(address, first.peerAddress)
		Eventually(first.isReady, stepTimeout).Should(BeTrue())
		Eventually(second.isReady, stepTimeout).Should(BeTrue())
		// Twice the route's timeout, and as much again.
		for range 8 {
			Expect(takeUpAll(begun, first, second).other).To(BeZero())
			time.Sleep(time.Second)
		}
	})

	// Guards against an engine that started again under its id with another version, which
	// runs what was meant for the one before it until the hosts learn of that.
	It("send no stream of an earlier version to an engine that has started again", func() {
		engines := []*versionedEngine{startVersionedEngine(store, "i-1", "v1", nil), startVersionedEngine(store, "i-2", "v1", nil)}
		startHosts(2)
		begun := beginAll(hosts[0])
		engines[0].version.Store("v3")
		engines[0].born.Store(engineBorn + time.Minute.Milliseconds())
		got := takeUpAll(begun, hosts[1])
		Expect(got.other).To(BeZero())
		Expect(got.own).To(BeNumerically(">", streamsTaken/2))
	})
})
