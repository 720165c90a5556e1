package gossip_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math/big"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/grpc/credentials"
)

// countingListener counts the bytes of TCP payload on its connections, in both
// directions. Every byte between nodes passes exactly one listener.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (c countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return countingConn{conn, c.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// cpuTime returns the CPU time used by this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// waitFor polls until ok returns true for all nodes, and returns the time
// taken.
func waitFor(nodes []*node, ok func(*node) bool) time.Duration {
	start := time.Now()
	for allOK := onAll(nodes, ok); !allOK(); {
		if time.Since(start) > time.Minute {
			panic("condition not met within a minute")
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(start)
}

// BenchmarkFleet runs whole nodes over loopback, in plain text or with mutual
// TLS, at the production probe interval. It reports per node: TCP payload sent
// and received a second, CPU and memory while nothing changes; the bytes of an
// edit of one row; and the time from an edit on one node until it is in force
// on all.
func BenchmarkFleet(b *testing.B) {
	plain, mutual := nodeConfig{probeInterval: time.Second}, nodeConfig{probeInterval: time.Second, creds: mutualTLS()}
	for _, c := range []struct {
		nodes, accounts int
		name            string
		cfg             nodeConfig
	}{
		{8, 10, "plain", plain}, {8, 10, "tls", mutual}, {8, 1000, "plain", plain}, {8, 11_000, "plain", plain},
		{32, 10, "plain", plain}, {32, 10, "tls", mutual}, {32, 11_000, "plain", plain}, {100, 10, "plain", plain}, {100, 1000, "plain", plain},
	} {
		b.Run(fmt.Sprintf("nodes=%d/accounts=%d/%s", c.nodes, c.accounts, c.name), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, c.nodes, c.accounts, c.cfg)
			}
		})
	}
}

const (
	idlePeriod   = 20 * time.Second
	edits        = 40
	editInterval = 250 * time.Millisecond
)

func measureFleet(b *testing.B, count, accounts int, cfg nodeConfig) {
	var trafficBytes atomic.Int64
	memoryBefore := memoryInUse()
	nodes := startFleet(count, func(l net.Listener) net.Listener { return countingListener{l, &trafficBytes} }, cfg)
	defer func() {
		for _, n := range nodes {
			n.stop()
		}
	}()
	waitFor(nodes, hasLiveMembers(count))
	nodes[0].putTable(1, accounts, 1)
	waitFor(nodes, func(n *node) bool { return n.revision() == 1 })
	time.Sleep(10 * time.Second)

	nodeSeconds := float64(count) * idlePeriod.Seconds()
	trafficBytes.Store(0)
	cpuBefore := cpuTime()
	time.Sleep(idlePeriod)
	idleBytes, idleCPU := float64(trafficBytes.Load()), cpuTime()-cpuBefore
	// Every byte is sent by one node and received by another.
	b.ReportMetric(2*idleBytes/nodeSeconds, "idle-B/node/s")
	b.ReportMetric(float64(idleCPU.Microseconds())/nodeSeconds, "idle-cpu-us/node/s")
	b.ReportMetric((memoryInUse()-memoryBefore)/float64(count)/1024, "KB/node")

	latencies := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	trafficBytes.Store(0)
	cpuBefore = cpuTime()
	start := time.Now()
	for i := range edits {
		editedNode := nodes[i%count]
		editedNode.putTable(uint64(i+2), accounts, i+2)
		latency := waitFor(nodes, func(n *node) bool { return n.revision() == uint64(i+2) })
		_ = latencies.RecordValue(latency.Microseconds())
		time.Sleep(editInterval)
	}
	elapsed := time.Since(start).Seconds()
	editBytes := float64(trafficBytes.Load()) - idleBytes*elapsed/idlePeriod.Seconds()
	b.ReportMetric(2*editBytes/edits/float64(count), "B/edit/node")
	b.ReportMetric((cpuTime()-cpuBefore).Seconds()*1e6/edits/float64(count), "cpu-us/edit/node")
	b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1000, "edit-p50-ms")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1000, "edit-p99-ms")
	b.ReportMetric(float64(latencies.Max())/1000, "edit-max-ms")
}

// mutualTLS returns credentials with one certificate that both sides present
// and verify.
func mutualTLS() credentials.TransportCredentials {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		panic(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		panic(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		panic(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	})
}
