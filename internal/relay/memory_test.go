package relay_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	gometrics "github.com/rcrowley/go-metrics"
	"google.golang.org/grpc/peer"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/call"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/relay"
)

// bodyBytes is the length of the bodies that are sent, plenty memory for many of them.
const bodyBytes, plenty = 1 << 20, 100 << 20

// memory is what a host has for requests, in bytes.
type memory struct{ limit, used, peak atomic.Int64 }

func newMemory(limit int64) *memory {
	m := &memory{}
	m.limit.Store(limit)
	return m
}

func (m *memory) reserve(bytes int64) (release func(), ok bool) {
	used := m.used.Add(bytes)
	if used > m.limit.Load() {
		m.used.Add(-bytes)
		return nil, false
	}
	m.peak.Store(max(m.peak.Load(), used))
	return func() { m.used.Add(-bytes) }, true
}

// sendThrough sends a request through the hosts at the addresses from a host with the memory.
func sendThrough(own *memory, hosts ...string) (answer string, err error) {
	client := relay.NewClient(relay.ClientConfig{
		// The first host is the only one in this data centre.
		Hosts:   func() (near, all []string) { return hosts[:1], hosts },
		Reserve: own.reserve, HostTimeout: time.Minute,
		Log: slog.New(slog.DiscardHandler), Metrics: gometrics.NewRegistry(), Now: func() time.Duration { return time.Minute },
	})
	defer client.Close()
	req, err := http.NewRequest(http.MethodPost, "http://127.0.0.1:1/", strings.NewReader(strings.Repeat("x", bodyBytes)))
	Expect(err).NotTo(HaveOccurred())
	resp, err := client.Do(req, &call.Attempt{Request: &call.Request{ID: "r-1"}, Target: directory.Target{ID: "i-1", Service: "app"}}, func() error { return nil })
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// silentStream is a call on which nothing is sent until its context ends.
type silentStream struct {
	filbertv1.Relay_SendServer
	ctx context.Context
}

func (s *silentStream) Context() context.Context { return s.ctx }

func (s *silentStream) Recv() (*filbertv1.RelayCall, error) {
	<-s.ctx.Done()
	return nil, s.ctx.Err()
}

var _ = Describe("a request that goes through another host", func() {
	answer := strings.Repeat("x", 800)

	// Guards against hosts that hold more than they have, and memory that stays reserved.
	It("takes memory of both hosts until it has ended", func() {
		own, peer := newMemory(plenty), newMemory(plenty)
		Expect(sendThrough(own, serveRelayWithin(immediateSender{}, peer))).To(Equal(answer))
		for _, m := range []*memory{own, peer} {
			Expect(m.peak.Load()).To(BeNumerically(">=", 2*bodyBytes))
			Eventually(m.used.Load).Should(BeZero())
		}
	})

	// Guards against a request that fails since the first of several hosts is short of memory.
	It("goes through the next host if one has no memory for it", func() {
		short, peer := newMemory(bodyBytes), newMemory(plenty)
		Expect(sendThrough(newMemory(plenty), serveRelayWithin(immediateSender{}, short), serveRelayWithin(immediateSender{}, peer))).To(Equal(answer))
		Expect(short.peak.Load()).To(BeZero())
		Expect(peer.peak.Load()).To(BeNumerically(">=", 2*bodyBytes))
	})

	// Guards against memory that a host keeps reserved for a request that never comes.
	It("holds no memory of a host for longer than it may take to come", func() {
		peerMemory := newMemory(plenty)
		var err error
		inFakeTime(func() {
			server := relay.NewServer(relay.ServerConfig{IsHost: func(string) bool { return true }, Reserve: peerMemory.reserve, Metrics: gometrics.NewRegistry()})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			err = server.Send(&silentStream{ctx: peer.NewContext(ctx, &peer.Peer{Addr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}})})
		})
		Expect(failure.KindOf(err)).To(Equal(failure.KindControlLost))
		Expect(peerMemory.peak.Load()).To(BeNumerically(">", 0))
		Expect(peerMemory.used.Load()).To(BeZero())
	})

	It("is not sent without memory of its own host", func() {
		peer := newMemory(plenty)
		_, err := sendThrough(newMemory(bodyBytes), serveRelayWithin(immediateSender{}, peer))
		Expect(failure.KindOf(err)).To(Equal(failure.KindNoTarget))
		Expect(failure.FromError(err).Executed).To(Equal(failure.ExecutedNo))
		Expect(failure.FromError(err).RetryAfter).To(BeNumerically(">", 0))
		Expect(peer.peak.Load()).To(BeZero())
	})
})
