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

// counter counts what passes a listener's connections, both ways: bytes of TCP
// payload, and the writes and reads, each of about one segment.
type counter struct {
	net.Listener
	bytes, segments *atomic.Int64
}

func (c counter) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return counted{conn, c}, err
}

type counted struct {
	net.Conn
	counter
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	c.segments.Add(1)
	return n, err
}

func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	c.segments.Add(1)
	return n, err
}

func (c counted) Close() error   { return c.Conn.Close() }
func (c counted) Addr() net.Addr { return c.LocalAddr() }

// steadyPool has the same requests in progress all the time.
type steadyPool struct{ uses []admission.QuotaUsage }

func (p *steadyPool) Uses() []admission.QuotaUsage               { return p.uses }
func (p *steadyPool) SetParts(time.Time, []admission.QuotaGrant) {}

const (
	measuredNodes = 33
	// poolsPerAccount is how many pools an account in use has requests in.
	poolsPerAccount = 2
	warmUp          = 9 * time.Second
	measuredFor     = 10 * time.Second
)

// measuredFleet starts controllers that talk over loopback connections.
func measuredFleet(accounts int, total counter) (run func(context.Context), counts metrics.Registry) {
	rnd := rand.New(rand.NewPCG(1, uint64(accounts)))
	t := &table.Table{Accounts: map[string]*table.Account{}}
	steady := make([]*steadyPool, measuredNodes)
	for i := range steady {
		steady[i] = &steadyPool{}
	}
	for i := range accounts {
		name := fmt.Sprintf("account-%05d", i)
		t.Accounts[name] = &table.Account{Name: name, MaxRunning: 1000}
		for range poolsPerAccount {
			if i%10 == 0 {
				p := steady[rnd.IntN(measuredNodes)]
				p.uses = append(p.uses, admission.QuotaUsage{Account: name, Running: 5})
			}
		}
	}
	listeners := make([]net.Listener, measuredNodes)
	list := &configwatch.Hosts{Version: rollout.Version{Revision: 1}, ConfirmedAt: time.Now().Add(time.Hour)}
	for i := range listeners {
		listeners[i], _ = net.Listen("tcp", "127.0.0.1:0")
		list.List = append(list.List, configservice.Host{Control: listeners[i].Addr().String(), State: configservice.StateLive})
	}
	counts = metrics.NewRegistry()
	var all []func(context.Context)
	for i, l := range listeners {
		all = append(all, measuredNode(l, t, list, steady[i], total, counts))
	}
	return func(ctx context.Context) {
		var wg sync.WaitGroup
		for _, r := range all {
			wg.Go(func() { r(ctx) })
		}
		wg.Wait()
	}, counts
}

func measuredNode(
	l net.Listener, t *table.Table, list *configwatch.Hosts, p *steadyPool, total counter, counts metrics.Registry,
) func(context.Context) {
	tables, hosts := &blackboard.Section[table.Table]{}, &blackboard.Section[configwatch.Hosts]{}
	tw, _ := tables.Claim()
	hw, _ := hosts.Claim()
	tw.Publish(t)
	hw.Publish(list)
	peers := quota.NewPeers(rpc.Credentials{})
	c := quota.New(quota.Config{
		Self: l.Addr().String(), Incarnation: 1, Table: tables, Hosts: hosts, Transport: peers, Metrics: counts,
		Pools: func() map[string]quota.Pool { return map[string]quota.Pool{"reports/north/17": p} },
	})
	server := rpc.NewServer(rpc.Credentials{})
	filbertv1.RegisterQuotaServer(server, c)
	go func() { _ = server.Serve(counter{l, total.bytes, total.segments}) }()
	return func(ctx context.Context) {
		defer server.Stop()
		defer peers.Close()
		c.Run(ctx)
	}
}

// BenchmarkFleet measures what quota costs a node: bytes both ways, and the
// processor time of all nodes for one renewal, of both ends together.
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
	total := counter{bytes: &atomic.Int64{}, segments: &atomic.Int64{}}
	run, counts := measuredFleet(accounts, total)
	demands := metrics.GetOrRegisterCounter("quota.demands", counts)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { run(ctx); close(done) }()
	time.Sleep(warmUp)
	bytes, segments, asked, used := total.bytes.Load(), total.segments.Load(), demands.Count(), processorTime()
	time.Sleep(measuredFor)
	bytes, segments, asked, used = total.bytes.Load()-bytes, total.segments.Load()-segments, demands.Count()-asked, processorTime()-used
	cancel()
	<-done
	seconds := measuredFor.Seconds()
	// Every byte leaves one node and reaches another.
	perNode := 2.0 / measuredNodes / seconds
	b.ReportMetric(float64(bytes)*perNode, "bytes/s/node")
	b.ReportMetric(float64(segments)*perNode, "segments/s/node")
	b.ReportMetric(float64(asked)/measuredNodes/seconds, "demands/s/node")
	b.ReportMetric(used.Seconds()*1e6/float64(asked), "µs-cpu/demand")
	b.ReportMetric(100*used.Seconds()/measuredNodes/seconds, "%core/node")
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkStep is a round of a node whose pool has 64 accounts in use, with
// the owner in the same process and without a network.
func BenchmarkStep(b *testing.B) {
	w := newWorld(1, 1, table.Account{Name: "account-00000", MaxRunning: 100})
	t := &table.Table{Accounts: map[string]*table.Account{}}
	p := &steadyPool{}
	for i := range 11_000 {
		name := fmt.Sprintf("account-%05d", i)
		t.Accounts[name] = &table.Account{Name: name, MaxRunning: 100}
		if i%172 == 0 {
			p.uses = append(p.uses, admission.QuotaUsage{Account: name, Running: 5})
		}
	}
	p.uses = slices.Clip(p.uses)
	w.nodes[0].tables.Publish(t)
	w.nodes[0].ctl = w.control(w.nodes[0], func() map[string]quota.Pool { return map[string]quota.Pool{"pool": p} })
	runtime.GC()
	b.ReportAllocs()
	for range b.N {
		w.now += time.Second
		w.nodes[0].confirm()
		w.nodes[0].ctl.Step(context.Background())
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(p.uses)), "ns/renewal")
}
