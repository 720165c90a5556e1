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

// counter counts the bytes of TCP payload that pass a listener's connections,
// both ways. Every byte between nodes passes exactly one listener.
type counter struct {
	net.Listener
	bytes *atomic.Int64
}

func (c counter) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return counted{conn, c.bytes}, err
}

type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// cpu gives the processor time that this process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// waitFor polls until ok holds for all and gives the time it took.
func waitFor(nodes []*node, ok func(*node) bool) time.Duration {
	start := time.Now()
	for all := everyone(nodes, ok); !all(); {
		if time.Since(start) > time.Minute {
			panic("not reached within a minute")
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(start)
}

// BenchmarkFleet runs whole nodes over loopback, plain or with mutual TLS, with the
// probes' pace of service, and reports per node: TCP payload sent and received a
// second, CPU and memory while nothing changes; bytes of one edit of one row;
// and the time from an edit at one node until it is in force at all.
func BenchmarkFleet(b *testing.B) {
	plain, mutual := nodeConfig{every: time.Second}, nodeConfig{every: time.Second, creds: mutualTLS()}
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
				measure(b, c.nodes, c.accounts, c.cfg)
			}
		})
	}
}

const (
	idle  = 20 * time.Second
	edits = 40
	pace  = 250 * time.Millisecond
)

func measure(b *testing.B, count, accounts int, cfg nodeConfig) {
	var bytes atomic.Int64
	before := heap()
	nodes := startFleet(count, func(l net.Listener) net.Listener { return counter{l, &bytes} }, cfg)
	defer func() {
		for _, n := range nodes {
			n.stop()
		}
	}()
	waitFor(nodes, live(count))
	nodes[0].edit(1, accounts, 1)
	waitFor(nodes, func(n *node) bool { return n.revision() == 1 })
	time.Sleep(10 * time.Second)

	perNode := float64(count) * idle.Seconds()
	bytes.Store(0)
	used := cpu()
	time.Sleep(idle)
	idleBytes, idleCPU := float64(bytes.Load()), cpu()-used
	// A byte is sent by one node and received by another.
	b.ReportMetric(2*idleBytes/perNode, "idle-B/node/s")
	b.ReportMetric(float64(idleCPU.Microseconds())/perNode, "idle-cpu-us/node/s")
	b.ReportMetric((heap()-before)/float64(count)/1024, "KB/node")

	took := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	bytes.Store(0)
	used = cpu()
	start := time.Now()
	for i := range edits {
		at := nodes[i%count]
		at.edit(uint64(i+2), accounts, i+2)
		d := waitFor(nodes, func(n *node) bool { return n.revision() == uint64(i+2) })
		_ = took.RecordValue(d.Microseconds())
		time.Sleep(pace)
	}
	span := time.Since(start).Seconds()
	extra := float64(bytes.Load()) - idleBytes*span/idle.Seconds()
	b.ReportMetric(2*extra/edits/float64(count), "B/edit/node")
	b.ReportMetric((cpu()-used).Seconds()*1e6/edits/float64(count), "cpu-us/edit/node")
	b.ReportMetric(float64(took.ValueAtQuantile(50))/1000, "edit-p50-ms")
	b.ReportMetric(float64(took.ValueAtQuantile(99))/1000, "edit-p99-ms")
	b.ReportMetric(float64(took.Max())/1000, "edit-max-ms")
}

// mutualTLS gives credentials with a certificate that both sides show and
// check.
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
