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

// cluster is a simulated configuration service with the nodes that read it.
type cluster struct {
	service *standin.Server
	server  *httptest.Server
	nodes   []*node
}

// startCluster starts n nodes in two data centres. Their readers watch the
// service; the other nodes get the documents by gossip.
func startCluster(n int, probeInterval time.Duration) *cluster {
	cl := &cluster{service: standin.NewServer(standin.Config{CallsPerSecond: standin.DefaultCallsPerSecond})}
	cl.server = httptest.NewServer(cl.service.Handler())
	listeners, addresses := make([]net.Listener, n), make([]string, n)
	var hosts []string
	for i := range n {
		listeners[i], addresses[i] = listen()
		hosts = append(hosts, fmt.Sprintf(`{"name":"h%d","data_centre":"dc%d","entry":"127.0.0.1:1","control":%q,"state":"live"}`, i, i%2, addresses[i]))
	}
	cl.service.Put("hosts", `{"hosts":[`+strings.Join(hosts, ",")+`]}`)
	for i := range n {
		cl.nodes = append(cl.nodes, cl.startNode(listeners[i], addresses[i], nil, fmt.Sprint("dc", i%2), probeInterval))
	}
	return cl
}

// startNode starts a node with its own watch of the service, as filbert-control
// does.
func (cl *cluster) startNode(l net.Listener, address string, seeds []string, dataCentre string, probeInterval time.Duration) *node {
	client, err := configservice.New(cl.server.Listener.Addr().String(), nil)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	n := startNode(l, address, seeds, nodeConfig{probeInterval: probeInterval, dataCentre: dataCentre, startWatch: func(store *configwatch.Store) func(bool) {
		w := configwatch.NewWatcher(client, store)
		w.SetReader(true)
		go func() { defer close(done); w.Run(ctx) }()
		return w.SetReader
	}})
	stop := n.stop
	n.stop = func() { cancel(); <-done; stop(); client.Close() }
	return n
}

func (cl *cluster) stop() {
	for _, n := range cl.nodes {
		n.stop()
	}
	cl.server.Close()
	cl.service.Close()
}

// putTable stores a table in which the two accounts have these weights.
func (cl *cluster) putTable(clinic, radio int) {
	cl.service.Put("table/0001", fmt.Sprintf("kind,name,weight\nservice,reports,\naccount,clinic,%d\naccount,radio,%d\n", clinic, radio))
}

func hasWeights(clinic, radio int) func(*node) bool {
	return func(n *node) bool {
		t := n.docs.Table.Get()
		return t != nil && t.Accounts["clinic"].Weight == float64(clinic) && t.Accounts["radio"].Weight == float64(radio)
	}
}

func (cl *cluster) post(path, body string) {
	resp, err := http.Post(cl.server.URL+path, "application/json", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
}

func (cl *cluster) serviceRevision() uint64 {
	resp, err := http.Get(cl.server.URL + "/v1/values")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	var answer configservice.Response
	Expect(json.NewDecoder(resp.Body).Decode(&answer)).To(Succeed())
	return answer.Revision
}

func (cl *cluster) readerCount() int {
	count := 0
	for _, n := range cl.nodes {
		if n.reader.Load() {
			count++
		}
	}
	return count
}

var _ = Describe("a fleet and the configuration service", func() {
	// Guards against lost or reverted edits while the service is stale,
	// unreachable and restored from a backup, and while a host is replaced.
	It("has every accepted edit in force on all nodes and reverts none", func() {
		cl := startCluster(10, defaultProbeInterval)
		DeferCleanup(cl.stop)
		eventuallyOnAll := func(ok func(*node) bool) {
			GinkgoHelper()
			Eventually(onAll(cl.nodes, ok), hangTimeout, pollInterval).Should(BeTrue())
		}
		cl.putTable(1, 1)
		eventuallyOnAll(hasWeights(1, 1))
		eventuallyOnAll(hasLiveMembers(10))
		Eventually(cl.readerCount, hangTimeout, pollInterval).Should(Equal(6), "three in each data centre")
		backupRevision := cl.serviceRevision()

		cl.putTable(2, 1)
		eventuallyOnAll(hasWeights(2, 1))
		cl.service.SetMode(standin.ModeStale, 0)
		cl.putTable(3, 1)
		cl.service.SetMode(standin.ModeNormal, 0)
		eventuallyOnAll(hasWeights(3, 1))

		cl.service.SetMode(standin.ModeDown, 0)
		l, a := listen()
		newNode := cl.startNode(l, a, []string{cl.nodes[0].address, cl.nodes[1].address, cl.nodes[2].address}, "dc0", defaultProbeInterval)
		cl.nodes = append(cl.nodes, newNode)
		Eventually(newNode.store.IsReady, hangTimeout, pollInterval).Should(BeTrue())
		Expect(hasWeights(3, 1)(newNode)).To(BeTrue(), "a host started while the service is down")

		cl.service.SetMode(standin.ModeNormal, 0)
		Eventually(cl.readerCount, hangTimeout, pollInterval).Should(Equal(6))
		cl.post("/admin/restore", fmt.Sprintf(`{"revision":%d}`, backupRevision))
		// A restore is distinguished from a lagging replica by the changes
		// after it, so the readers must have called the service in between. The
		// new host knows no revisions from before the restore and can't detect
		// it on its own.
		eventuallyOnAll(func(n *node) bool { return !n.reader.Load() || n.docs.Rollout.Get().Service.Behind })
		eventuallyOnAll(hasWeights(3, 1))
		cl.putTable(1, 7)
		eventuallyOnAll(hasWeights(3, 7))
		Consistently(onAll(cl.nodes, hasWeights(3, 7)), "500ms", pollInterval).Should(BeTrue())
	})
})

// BenchmarkEditFromService reports the time from an edit at the service until
// it is in force on all nodes, and the rate of calls of all readers together.
func BenchmarkEditFromService(b *testing.B) {
	const edits = 100
	for _, n := range []int{8, 32, 100} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			for b.Loop() {
				cl := startCluster(n, time.Second)
				cl.putTable(1, 1)
				waitFor(cl.nodes, hasWeights(1, 1))
				waitFor(cl.nodes, hasLiveMembers(n))
				time.Sleep(10 * time.Second)
				callsBefore, start := serviceCalls(cl), time.Now()
				latencies := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
				for i := range edits {
					cl.putTable(i+2, 1)
					_ = latencies.RecordValue(waitFor(cl.nodes, hasWeights(i+2, 1)).Microseconds())
					time.Sleep(editInterval)
				}
				b.ReportMetric(float64(serviceCalls(cl)-callsBefore)/time.Since(start).Seconds(), "calls/s")
				b.ReportMetric(float64(cl.readerCount()), "readers")
				b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1000, "edit-p50-ms")
				b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1000, "edit-p99-ms")
				b.ReportMetric(float64(latencies.Max())/1000, "edit-max-ms")
				cl.stop()
			}
		})
	}
}

func serviceCalls(cl *cluster) int {
	resp, err := http.Get(cl.server.URL + "/admin/calls")
	if err != nil {
		panic(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var stats struct {
		Total int `json:"total"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&stats); err != nil {
		panic(err)
	}
	return stats.Total
}
