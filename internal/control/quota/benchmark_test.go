package quota_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/blackboard"
	"filbertdeck/internal/configservice"
	"filbertdeck/internal/control/quota"
	"filbertdeck/internal/controller/configwatch"
	"filbertdeck/internal/decide/admission"
	"filbertdeck/internal/decide/rollout"
	"filbertdeck/internal/rpc"
	"filbertdeck/internal/table"
)

// countingListener counts the traffic of its connections in both directions:
// bytes of TCP payload, and the writes and reads, each of about one segment.
type countingListener struct {
	net.Listener
	bytes, segments *atomic.Int64
}

func (c countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return countingConn{conn, c}, err
}

type countingConn struct {
	net.Conn
	countingListener
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	c.segments.Add(1)
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	c.segments.Add(1)
	return n, err
}

func (c countingConn) Close() error   { return c.Conn.Close() }
func (c countingConn) Addr() net.Addr { return c.LocalAddr() }

// constantPool has the same requests in progress at all times.
type constantPool struct{ uses []admission.QuotaUsage }

func (p *constantPool) Uses() []admission.QuotaUsage               { return p.uses }
func (p *constantPool) SetParts(time.Time, []admission.QuotaGrant) {}

const (
	nodeCount = 33
	// poolsPerAccount is the number of pools in which an account in use has
	// requests.
	poolsPerAccount = 2
	warmUpTime      = 9 * time.Second
	measureTime     = 10 * time.Second
)

// newFleet creates controllers that communicate over loopback connections.
func newFleet(accounts int, total countingListener) (run func(context.Context), registry metrics.Registry) {
	random := rand.New(rand.NewPCG(1, uint64(accounts)))
	t := &table.Table{Accounts: map[string]*table.Account{}}
	nodePools := make([]*constantPool, nodeCount)
	for i := range nodePools {
		nodePools[i] = &constantPool{}
	}
	for i := range accounts {
		name := fmt.Sprintf("account-%05d", i)
		t.Accounts[name] = &table.Account{Name: name, MaxRunning: 1000}
		for range poolsPerAccount {
			if i%10 == 0 {
				p := nodePools[random.IntN(nodeCount)]
				p.uses = append(p.uses, admission.QuotaUsage{Account: name, Running: 5})
			}
		}
	}
	listeners := make([]net.Listener, nodeCount)
	hosts := &configwatch.Hosts{Version: rollout.Version{Revision: 1}, ConfirmedAt: time.Now().Add(time.Hour)}
	for i := range listeners {
		listeners[i], _ = net.Listen("tcp", "127.0.0.1:0")
		hosts.List = append(hosts.List, configservice.Host{Control: listeners[i].Addr().String(), State: configservice.StateLive})
	}
	registry = metrics.NewRegistry()
	var runs []func(context.Context)
	for i, l := range listeners {
		runs = append(runs, newFleetNode(l, t, hosts, nodePools[i], total, registry))
	}
	return func(ctx context.Context) {
		var wg sync.WaitGroup
		for _, r := range runs {
			wg.Go(func() { r(ctx) })
		}
		wg.Wait()
	}, registry
}

func newFleetNode(
	l net.Listener, t *table.Table, list *configwatch.Hosts, p *constantPool, total countingListener, registry metrics.Registry,
) func(context.Context) {
	tables, hosts := &blackboard.Section[table.Table]{}, &blackboard.Section[configwatch.Hosts]{}
	tableWriter, _ := tables.Claim()
	hostsWriter, _ := hosts.Claim()
	tableWriter.Publish(t)
	hostsWriter.Publish(list)
	peers := quota.NewPeers(rpc.Credentials{})
	c := quota.New(quota.Config{
		Self: l.Addr().String(), Incarnation: 1, Table: tables, Hosts: hosts, Transport: peers, Metrics: registry,
		Pools: func() map[string]quota.Pool { return map[string]quota.Pool{"reports/north/17": p} },
	})
	server := rpc.NewServer(rpc.Credentials{})
	filbertv1.RegisterQuotaServer(server, c)
	go func() { _ = server.Serve(countingListener{l, total.bytes, total.segments}) }()
	return func(ctx context.Context) {
		defer server.Stop()
		defer peers.Close()
		c.Run(ctx)
	}
}

// BenchmarkFleet measures the cost of quota leases per node: bytes in both
// directions, and the CPU time of all nodes per renewal, including both ends.
func BenchmarkFleet(b *testing.B) {
	for _, accounts := range []int{10, 1000, 11_000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			for range b.N {
				measureFleet(b, accounts)
			}
		})
	}
}

func measureFleet(b *testing.B, accounts int) {
	total := countingListener{bytes: &atomic.Int64{}, segments: &atomic.Int64{}}
	run, registry := newFleet(accounts, total)
	demands := metrics.GetOrRegisterCounter("quota.demands", registry)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { run(ctx); close(done) }()
	time.Sleep(warmUpTime)
	bytes, segments, asked, cpuTime := total.bytes.Load(), total.segments.Load(), demands.Count(), processCPUTime()
	time.Sleep(measureTime)
	bytes, segments, asked, cpuTime = total.bytes.Load()-bytes, total.segments.Load()-segments, demands.Count()-asked, processCPUTime()-cpuTime
	cancel()
	<-done
	seconds := measureTime.Seconds()
	// Each byte is sent by one node and received by another.
	perNode := 2.0 / nodeCount / seconds
	b.ReportMetric(float64(bytes)*perNode, "bytes/s/node")
	b.ReportMetric(float64(segments)*perNode, "segments/s/node")
	b.ReportMetric(float64(asked)/nodeCount/seconds, "demands/s/node")
	b.ReportMetric(cpuTime.Seconds()*1e6/float64(asked), "µs-cpu/demand")
	b.ReportMetric(100*cpuTime.Seconds()/nodeCount/seconds, "%core/node")
}

func processCPUTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkStep measures a round of a node whose pool has 64 accounts in use,
// with the owner in the same process and without a network.
func BenchmarkStep(b *testing.B) {
	sim := newSimulation(1, 1, table.Account{Name: "account-00000", MaxRunning: 100})
	t := &table.Table{Accounts: map[string]*table.Account{}}
	p := &constantPool{}
	for i := range 11_000 {
		name := fmt.Sprintf("account-%05d", i)
		t.Accounts[name] = &table.Account{Name: name, MaxRunning: 100}
		if i%172 == 0 {
			p.uses = append(p.uses, admission.QuotaUsage{Account: name, Running: 5})
		}
	}
	p.uses = slices.Clip(p.uses)
	sim.nodes[0].tableWriter.Publish(t)
	sim.nodes[0].controller = sim.newController(sim.nodes[0], func() map[string]quota.Pool { return map[string]quota.Pool{"pool": p} })
	runtime.GC()
	b.ReportAllocs()
	for range b.N {
		sim.now += time.Second
		sim.nodes[0].confirm()
		sim.nodes[0].controller.Step(context.Background())
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(p.uses)), "ns/renewal")
}
