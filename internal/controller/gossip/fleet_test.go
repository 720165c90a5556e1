package gossip_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/configservice"
	"filbertdeck/internal/controller/configwatch"
	standin "filbertdeck/internal/standin/platform"
)

// site is a configuration service's stand-in with a fleet that reads it.
type site struct {
	service *standin.Server
	http    *httptest.Server
	nodes   []*node
}

// startSite starts n nodes in two data centres whose readers watch the
// service; everyone else learns by gossip.
func startSite(n int, every time.Duration) *site {
	s := &site{service: standin.NewServer(standin.Config{CallsPerSecond: standin.DefaultCallsPerSecond})}
	s.http = httptest.NewServer(s.service.Handler())
	listeners, addresses := make([]net.Listener, n), make([]string, n)
	var list []string
	for i := range n {
		listeners[i], addresses[i] = listen()
		list = append(list, fmt.Sprintf(`{"name":"h%d","data_centre":"dc%d","entry":"127.0.0.1:1","control":%q,"state":"live"}`, i, i%2, addresses[i]))
	}
	s.service.Put("hosts", `{"hosts":[`+strings.Join(list, ",")+`]}`)
	for i := range n {
		s.nodes = append(s.nodes, s.startNode(listeners[i], addresses[i], nil, fmt.Sprint("dc", i%2), every))
	}
	return s
}

// startNode starts a node with a watch of its own, as filbert-control does.
func (s *site) startNode(l net.Listener, address string, seeds []string, dataCentre string, every time.Duration) *node {
	client, err := configservice.New(s.http.Listener.Addr().String(), nil)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	n := startNode(l, address, seeds, nodeConfig{every: every, dataCentre: dataCentre, watch: func(store *configwatch.Store) func(bool) {
		w := configwatch.NewWatcher(client, store)
		w.SetReader(true)
		go func() { defer close(done); w.Run(ctx) }()
		return w.SetReader
	}})
	stop := n.stop
	n.stop = func() { cancel(); <-done; stop(); client.Close() }
	return n
}

func (s *site) stop() {
	for _, n := range s.nodes {
		n.stop()
	}
	s.http.Close()
	s.service.Close()
}

// edit saves a table in which two accounts have these weights.
func (s *site) edit(clinic, radio int) {
	s.service.Put("table/0001", fmt.Sprintf("kind,name,weight\nservice,reports,\naccount,clinic,%d\naccount,radio,%d\n", clinic, radio))
}

func weights(clinic, radio int) func(*node) bool {
	return func(n *node) bool {
		t := n.docs.Table.Get()
		return t != nil && t.Accounts["clinic"].Weight == float64(clinic) && t.Accounts["radio"].Weight == float64(radio)
	}
}

func (s *site) post(path, body string) {
	resp, err := http.Post(s.http.URL+path, "application/json", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
}

func (s *site) revision() uint64 {
	resp, err := http.Get(s.http.URL + "/v1/values")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	var a configservice.Answer
	Expect(json.NewDecoder(resp.Body).Decode(&a)).To(Succeed())
	return a.Revision
}

func (s *site) readers() int {
	count := 0
	for _, n := range s.nodes {
		if n.reader.Load() {
			count++
		}
	}
	return count
}

var _ = Describe("a fleet and the configuration service", func() {
	// Through one evening the service goes stale, down, and is restored from a
	// backup, while operators edit and a host is replaced. Whoever had an edit
	// accepted must find it in force everywhere, to the end.
	It("has every accepted edit in force everywhere and takes none back", func() {
		s := startSite(10, probeEvery)
		DeferCleanup(s.stop)
		everywhere := func(ok func(*node) bool) {
			GinkgoHelper()
			Eventually(everyone(s.nodes, ok), soon, often).Should(BeTrue())
		}
		s.edit(1, 1)
		everywhere(weights(1, 1))
		everywhere(live(10))
		Eventually(s.readers, soon, often).Should(Equal(6), "three in each data centre")
		backup := s.revision()

		s.edit(2, 1)
		everywhere(weights(2, 1))
		s.service.SetMode(standin.ModeStale, 0)
		s.edit(3, 1)
		s.service.SetMode(standin.ModeNormal, 0)
		everywhere(weights(3, 1))

		s.service.SetMode(standin.ModeDown, 0)
		l, a := listen()
		fresh := s.startNode(l, a, []string{s.nodes[0].address, s.nodes[1].address, s.nodes[2].address}, "dc0", probeEvery)
		s.nodes = append(s.nodes, fresh)
		Eventually(fresh.store.IsReady, soon, often).Should(BeTrue())
		Expect(weights(3, 1)(fresh)).To(BeTrue(), "a new host while the service is down")

		s.service.SetMode(standin.ModeNormal, 0)
		Eventually(s.readers, soon, often).Should(Equal(6))
		s.post("/admin/restore", fmt.Sprintf(`{"revision":%d}`, backup))
		// A restore is told from a lagging replica by what changes after it, so
		// the readers must have looked in between; the new host has no memory of
		// revisions from before and can't tell by itself.
		everywhere(func(n *node) bool { return !n.reader.Load() || n.docs.Rollout.Get().Service.Behind })
		everywhere(weights(3, 1))
		s.edit(1, 7)
		everywhere(weights(3, 7))
		Consistently(everyone(s.nodes, weights(3, 7)), "500ms", often).Should(BeTrue())
	})
})

// BenchmarkEditFromService reports the time from an edit at the service until
// it is in force on all nodes, and the calls that all readers make a second.
func BenchmarkEditFromService(b *testing.B) {
	const edits = 100
	for _, n := range []int{8, 32, 100} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			for b.Loop() {
				s := startSite(n, time.Second)
				s.edit(1, 1)
				waitFor(s.nodes, weights(1, 1))
				waitFor(s.nodes, live(n))
				time.Sleep(10 * time.Second)
				before, start := calls(s), time.Now()
				took := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
				for i := range edits {
					s.edit(i+2, 1)
					_ = took.RecordValue(waitFor(s.nodes, weights(i+2, 1)).Microseconds())
					time.Sleep(pace)
				}
				b.ReportMetric(float64(calls(s)-before)/time.Since(start).Seconds(), "calls/s")
				b.ReportMetric(float64(s.readers()), "readers")
				b.ReportMetric(float64(took.ValueAtQuantile(50))/1000, "edit-p50-ms")
				b.ReportMetric(float64(took.ValueAtQuantile(99))/1000, "edit-p99-ms")
				b.ReportMetric(float64(took.Max())/1000, "edit-max-ms")
				s.stop()
			}
		})
	}
}

func calls(s *site) int {
	resp, err := http.Get(s.http.URL + "/admin/calls")
	if err != nil {
		panic(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var counted struct {
		Total int `json:"total"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&counted); err != nil {
		panic(err)
	}
	return counted.Total
}
