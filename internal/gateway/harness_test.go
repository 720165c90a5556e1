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
	// healthPath is where a target of the service "llm" tells its health.
	healthPath = "/health"
)

// script is what a target does with a request that it was sent; the connection
// is closed when it returns.
type script func(conn net.Conn, r *http.Request)

// target is a stand-in for one target on loopback.
type target struct {
	id, address string

	mu   sync.Mutex
	got  []*http.Request
	body []string
}

// startTarget runs a target that follows a script.
func startTarget(id string, do script) *target {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	t := &target{id: id, address: l.Addr().String()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go t.serve(conn, do)
		}
	}()
	return t
}

func (t *target) serve(conn net.Conn, do script) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	t.mu.Lock()
	t.got = append(t.got, r)
	t.body = append(t.body, string(body))
	t.mu.Unlock()
	r.Body = io.NopCloser(bytes.NewReader(body))
	do(conn, r)
}

func (t *target) requests() []*http.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]*http.Request(nil), t.got...)
}

func (t *target) entry(service, dataCentre string) *directory.ObservedTarget {
	return &directory.ObservedTarget{Published: true, Target: directory.Target{
		ID: t.id, Service: service, Address: t.address, DataCentre: dataCentre, Slots: 6,
	}}
}

// say writes an answer as it is given, with the request's id put in for ID.
func say(text string) script {
	return func(conn net.Conn, r *http.Request) {
		text := strings.ReplaceAll(text, "ID", r.Header.Get(requestID))
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "\n", "\r\n"))
	}
}

// deck is a gateway before some targets.
type deck struct {
	url      string
	out      *blackboard.Writer[directory.View]
	cfg      *directory.Config
	calls    *http.Client
	loads    *gateway.TargetLoads
	gateway  *gateway.Gateway
	suspects *gateway.CrashEvidence
	targets  []*directory.ObservedTarget
	// blind is set while nobody can say what is published.
	blind atomic.Bool
}

// startDeck runs a gateway with one service "llm" or "app" and a route to each.
func startDeck(targets ...*directory.ObservedTarget) *deck {
	return startDeckLogging(slog.DiscardHandler, targets...)
}

// startDeckLogging is startDeck with a handler for the logs.
func startDeckLogging(logs slog.Handler, targets ...*directory.ObservedTarget) *deck {
	return startDeckSpeaking(platform.Dialect{}, logs, targets...)
}

// startDeckSpeaking is startDeckLogging with a dialect of the spec's own.
func startDeckSpeaking(dialect call.Dialect, logs slog.Handler, targets ...*directory.ObservedTarget) *deck {
	board := &recordsync.Board{}
	out, err := board.View.Claim()
	Expect(err).NotTo(HaveOccurred())
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	d := &deck{out: out, cfg: testConfig(), loads: gateway.NewTargetLoads("host-1", "dc-1", now), suspects: gateway.NewCrashEvidence(now)}
	g := gateway.New(gateway.Config{
		Dialect: dialect, Engines: platform.NewEngines(), Board: board,
		Loads: d.loads, CrashEvidence: d.suspects, RetryBudget: retrybudget.New(retrybudget.Config{}),
		Client: targetclient.NewOnce(targetclient.Settings{Header: time.Minute, Silence: time.Minute}), Migration: migration.Default(), Disconnected: d.blind.Load, ViewCurrent: func() bool { return !d.blind.Load() }, ViewAge: func() time.Duration { return 0 },
		Log: slog.New(logs), Metrics: gometrics.NewRegistry(), Now: now,
	})
	d.gateway = g
	ctx, cancel := context.WithCancel(context.Background())
	go g.MoveGenerations(ctx)
	server := httptest.NewServer(g)
	DeferCleanup(func() { cancel(); server.CloseClientConnections(); server.Close() })
	d.url, d.calls = server.URL, server.Client()
	d.publish(targets...)
	return d
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

func (d *deck) publish(targets ...*directory.ObservedTarget) {
	seen := map[string]*directory.ObservedTarget{}
	for _, t := range targets {
		seen[t.ID] = t
	}
	d.out.Publish(directory.NewView(1, d.cfg, seen, nil))
}

// add publishes another target beside those there are.
func (d *deck) add(t *directory.ObservedTarget) {
	d.targets = append(d.targets, t)
	d.publish(d.targets...)
}

// crashes counts the crashes of targets that the gateway knows of.
func (d *deck) crashes() int { return len(d.suspects.Export()) }

func (d *deck) request(method, path string) *http.Request {
	req, err := http.NewRequest(method, d.url+path, strings.NewReader("hello"))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "a.example"
	req.Header.Set("Authorization", "Bearer key-1")
	req.Header.Set(requestID, "r-1")
	return req
}

// result is what a caller got.
type result struct {
	status int
	header http.Header
	body   string
	// err is set when the answer broke off.
	err error
}

func (d *deck) do(req *http.Request) result {
	resp, err := d.calls.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}
