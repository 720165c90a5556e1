package relay_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/call"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/relay"
	"filbertdeck/internal/rpc"
)

// immediateSender answers each request without a target.
type immediateSender struct{}

func (immediateSender) PeerTarget(id string, started int64) (*directory.ObservedTarget, error) {
	return &directory.ObservedTarget{Target: directory.Target{ID: id, Address: "127.0.0.1:1", StartedUnixMilli: started}}, nil
}

func (immediateSender) SendForPeer(_ *http.Request, _ *directory.ObservedTarget, _ *call.Attempt, ready func() error) (*http.Response, error) {
	if err := ready(); err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(strings.Repeat("x", 800)))}, nil
}

// BenchmarkRequest measures what one request of a plain service takes on both hosts
// together beyond the connection to its target.
func BenchmarkRequest(b *testing.B) {
	server := rpc.NewServer(rpc.Credentials{})
	filbertv1.RegisterRelayServer(server, relay.NewServer(relay.ServerConfig{
		Sender: immediateSender{}, IsHost: func(string) bool { return true }, Begin: func() (func(), error) { return func() {}, nil },
		Log: slog.New(slog.DiscardHandler), Metrics: gometrics.NewRegistry(),
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(l) }()
	defer server.Stop()
	hosts, start := []string{l.Addr().String()}, time.Now()
	client := relay.NewClient(relay.ClientConfig{
		Hosts: func() (near, all []string) { return hosts, hosts },
		Log:   slog.New(slog.DiscardHandler), Metrics: gometrics.NewRegistry(), Now: func() time.Duration { return time.Since(start) },
	})
	defer client.Close()
	attempt := &call.Attempt{Request: &call.Request{ID: "r-1"}, Target: directory.Target{ID: "i-1", Service: "app"}}
	b.ReportAllocs()
	for b.Loop() {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://127.0.0.1:1/book/1", strings.NewReader("hello"))
		if err != nil {
			b.Fatal(err)
		}
		resp, err := client.Do(req, attempt, func() error { return nil })
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			b.Fatal(err)
		}
		if err := resp.Body.Close(); err != nil {
			b.Fatal(err)
		}
	}
}
