package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/blackboard"
	"filbertdeck/internal/call"
	"filbertdeck/internal/controller/recordsync"
	"filbertdeck/internal/decide/migration"
	"filbertdeck/internal/decide/retrybudget"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/gateway"
	"filbertdeck/internal/targetclient"
	"filbertdeck/platform"
	"filbertdeck/platform/standin"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

const (
	requestID = standin.HeaderRequestID
	seal      = standin.HeaderSeal
	// healthPath is the health check path of the service "llm".
	healthPath = "/health"
)

// connHandler answers a request that a target received; the connection is
// closed when it returns.
type connHandler func(conn net.Conn, r *http.Request)

// fakeTarget is a target on loopback that answers with a connHandler and
// records its requests.
type fakeTarget struct {
	id, address string
	// close ends the target's listener.
	close func()

	mu       sync.Mutex
	received []*http.Request
	bodies   []string
}

// startTarget runs a target that answers with a handler.
func startTarget(id string, handle connHandler) *fakeTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	t := &fakeTarget{id: id, address: l.Addr().String(), close: func() { _ = l.Close() }}
	DeferCleanup(t.close)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go t.serve(conn, handle)
		}
	}()
	return t
}

func (t *fakeTarget) serve(conn net.Conn, handle connHandler) {
	defer func() { _ = conn.Close() }()
	if r := t.receive(conn); r != nil {
		handle(conn, r)
	}
}

// receive reads and records one request; nil if there is none.
func (t *fakeTarget) receive(conn net.Conn) *http.Request {
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil
	}
	t.mu.Lock()
	t.received = append(t.received, r)
	t.bodies = append(t.bodies, string(body))
	t.mu.Unlock()
	r.Body = io.NopCloser(bytes.NewReader(body))
	return r
}

func (t *fakeTarget) requests() []*http.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]*http.Request(nil), t.received...)
}

// requestsToRun returns the requests received, without those for the target's
// report, which run nothing.
func (t *fakeTarget) requestsToRun() []*http.Request {
	return slices.DeleteFunc(t.requests(), func(r *http.Request) bool { return r.URL.Path == standin.PathReport })
}

func (t *fakeTarget) directoryEntry(service, dataCentre string) *directory.ObservedTarget {
	return &directory.ObservedTarget{Published: true, Target: directory.Target{
		ID: t.id, Service: service, Address: t.address, DataCentre: dataCentre, Slots: 6,
	}}
}

// respond returns a handler that writes the text as the answer, with ID
// replaced by the request's id.
func respond(text string) connHandler {
	return func(conn net.Conn, r *http.Request) {
		text := strings.ReplaceAll(text, "ID", r.Header.Get(requestID))
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "\n", "\r\n"))
	}
}

// fixture is a running gateway with its published state and a client.
type fixture struct {
	url           string
	views         *blackboard.Writer[directory.View]
	cfg           *directory.Config
	client        *http.Client
	loads         *gateway.TargetLoads
	gateway       *gateway.Gateway
	crashEvidence *gateway.CrashEvidence
	targets       []*directory.ObservedTarget
	// disconnected is set while the gateway has no access to the published
	// state.
	disconnected atomic.Bool
	// cut is the partition between the gateway and the targets.
	cut     cut
	metrics gometrics.Registry
	// peers keep the origins of streams with the gateway.
	peers fakeOriginPeers
	// skipped is added to the gateway's clock, in nanoseconds.
	skipped atomic.Int64
}

// startGateway runs a gateway with the services "llm" and "app" and routes to
// them.
func startGateway(targets ...*directory.ObservedTarget) *fixture {
	return startGatewayWithLogs(slog.DiscardHandler, targets...)
}

// startGatewayWithLogs is startGateway with a log handler.
func startGatewayWithLogs(logs slog.Handler, targets ...*directory.ObservedTarget) *fixture {
	return startGatewayWithDialect(platform.Dialect{}, logs, targets...)
}

// startGatewayWithDialect is startGatewayWithLogs with a given dialect.
func startGatewayWithDialect(dialect call.Codec, logs slog.Handler, targets ...*directory.ObservedTarget) *fixture {
	return startGatewayWith(dialect, logs, nil, targets...)
}

// startGatewayWithRelay is startGateway with a way through other hosts.
func startGatewayWithRelay(relay gateway.Relay, targets ...*directory.ObservedTarget) *fixture {
	return startGatewayWith(platform.Dialect{}, slog.DiscardHandler, relay, targets...)
}

func startGatewayWith(dialect call.Codec, logs slog.Handler, relay gateway.Relay, targets ...*directory.ObservedTarget) *fixture {
	return startGatewayConfigured(dialect, logs, func(c *gateway.Config) { c.Relay = relay }, targets...)
}

// startGatewayConfigured runs a gateway after a change to its configuration.
func startGatewayConfigured(dialect call.Codec, logs slog.Handler, configure func(*gateway.Config), targets ...*directory.ObservedTarget) *fixture {
	board := &recordsync.Board{}
	views, err := board.View.Claim()
	Expect(err).NotTo(HaveOccurred())
	start := time.Now()
	gw := &fixture{views: views, cfg: testConfig(), metrics: gometrics.NewRegistry()}
	now := func() time.Duration { return time.Since(start) + time.Duration(gw.skipped.Load()) }
	gw.loads, gw.crashEvidence = gateway.NewTargetLoads("host-1", "dc-1", now), gateway.NewCrashEvidence(now, slog.New(logs), gw.metrics)
	cfg := gateway.Config{
		Dialect: dialect, OriginPeers: &gw.peers, Engines: platform.NewEngines().Through(gw.cut.transport()), Board: board,
		Loads: gw.loads, CrashEvidence: gw.crashEvidence, RetryBudget: retrybudget.New(retrybudget.Config{}),
		Client: targetclient.NewAtMostOnceClient(targetclient.Settings{ResponseHeaderTimeout: time.Minute, ReadIdleTimeout: time.Minute, DialTimeout: 700 * time.Millisecond, Connect: gw.cut.connect}), Migration: migration.Default(), Disconnected: gw.disconnected.Load, ViewCurrent: func() bool { return !gw.disconnected.Load() }, ViewAge: func() time.Duration { return 0 },
		Log: slog.New(logs), Metrics: gw.metrics, Now: now,
	}
	configure(&cfg)
	g := gateway.New(cfg)
	gw.gateway = g
	ctx, cancel := context.WithCancel(context.Background())
	go g.MoveGenerations(ctx)
	go g.WatchPaths(ctx)
	server := httptest.NewServer(g)
	DeferCleanup(func() { cancel(); server.CloseClientConnections(); server.Close() })
	gw.url, gw.client = server.URL, server.Client()
	gw.publish(targets...)
	return gw
}

func testConfig() *directory.Config {
	route := func(prefix, service string, kind directory.RequestKind, attempts int) directory.Route {
		return directory.Route{
			Name: prefix, Host: "a.example", Prefix: prefix, Kind: kind, Timeout: 5 * time.Second, MaxAttempts: attempts,
			Backends: []directory.Backend{{Service: service, Weight: 1}},
		}
	}
	resumable := route("/brief/", "llm", directory.Generation, 2)
	resumable.Resumable = true
	return &directory.Config{
		Version: 1,
		Routes: []directory.Route{
			route("/book/", "app", directory.AtMostOnce, 2), route("/look/", "app", directory.Repeatable, 2),
			route("/report/", "llm", directory.Generation, 1), resumable,
		},
		Services: []directory.Service{{Name: "app"}, {Name: "llm", HealthPath: healthPath, Engine: &directory.Engine{
			Slots: 6, MemoryTokens: 10000, CanMigrate: true, KeepsBackups: true, TokensPerEvent: 1,
		}}},
		Accounts: []directory.Account{{Name: "clinic", Keys: []string{"key-1"}}},
	}
}

func (gw *fixture) publish(targets ...*directory.ObservedTarget) {
	byID := map[string]*directory.ObservedTarget{}
	for _, t := range targets {
		byID[t.ID] = t
	}
	gw.views.Publish(directory.NewView(1, gw.cfg, byID, nil))
}

// add publishes one more target beside those added before.
func (gw *fixture) add(t *directory.ObservedTarget) {
	gw.targets = append(gw.targets, t)
	gw.publish(gw.targets...)
}

// skip advances the gateway's clock.
func (gw *fixture) skip(d time.Duration) { gw.skipped.Add(int64(d)) }

// crashCount returns the number of target crashes known to the gateway.
func (gw *fixture) crashCount() int { return len(gw.crashEvidence.Export()) }

// requestWithID returns a request with its own id.
func (gw *fixture) requestWithID(id, method, path string) *http.Request {
	req := gw.request(method, path)
	req.Header.Set(requestID, id)
	return req
}

func (gw *fixture) request(method, path string) *http.Request {
	req, err := http.NewRequest(method, gw.url+path, strings.NewReader("hello"))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "a.example"
	req.Header.Set("Authorization", "Bearer key-1")
	req.Header.Set(requestID, "r-1")
	return req
}

// result is the answer that a caller received.
type result struct {
	status int
	header http.Header
	body   string
	// err is set when the answer broke off.
	err error
}

func (gw *fixture) do(req *http.Request) result {
	resp, err := gw.client.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}
