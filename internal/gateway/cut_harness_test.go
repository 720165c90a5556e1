package gateway_test

import (
	"log/slog"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/gateway"
	"filbertdeck/internal/relay"
	"filbertdeck/internal/rpc"
)

// startPeers runs two gateways with the same targets. The first one's partition is
// controlled by its field cut.
func startPeers(targets ...*directory.ObservedTarget) (host, peer *fixture) {
	peer = startGateway(targets...)
	return startGatewayWithRelay(relayThrough(servePeer(peer)), targets...), peer
}

// servePeer has a gateway send requests for other hosts, and returns its address.
func servePeer(peer *fixture) string { return servePeerAfter(func() {}, peer) }

// servePeerAfter is servePeer with a function that runs before each request is taken.
func servePeerAfter(before func(), peer *fixture) string {
	server := rpc.NewServer(rpc.Credentials{})
	filbertv1.RegisterRelayServer(server, relay.NewServer(relay.ServerConfig{
		Sender: peer.gateway, IsHost: func(string) bool { return true }, Begin: func() (func(), error) { before(); return func() {}, nil },
		Log: slog.New(slog.DiscardHandler), Metrics: peer.metrics,
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(l) }()
	DeferCleanup(server.Stop)
	return l.Addr().String()
}

// relayThrough returns a relay through the hosts at the addresses.
func relayThrough(addresses ...string) *relay.Client {
	client, _ := relayWithMetrics(addresses...)
	return client
}

// relayWithMetrics is relayThrough with the relay's metrics.
func relayWithMetrics(addresses ...string) (*relay.Client, gometrics.Registry) {
	return relayAmong(func() (near, all []string) { return addresses, addresses }, 0)
}

// relayAmong is relayWithMetrics with hosts that change, and the time for one host, 0 for
// the default.
func relayAmong(hosts relay.Hosts, hostTimeout time.Duration) (*relay.Client, gometrics.Registry) {
	start, registry := time.Now(), gometrics.NewRegistry()
	c := relay.NewClient(relay.ClientConfig{
		Hosts: hosts, HostTimeout: hostTimeout,
		Log: slog.New(slog.DiscardHandler), Metrics: registry, Now: func() time.Duration { return time.Since(start) },
	})
	DeferCleanup(c.Close)
	return c, registry
}

// limitColdTargets makes the gateway send no request to cold targets, as on a host
// without a share of their rate.
func (gw *fixture) limitColdTargets() {
	for i := range gw.cfg.Services {
		gw.cfg.Services[i].ColdRequestsPerSecond = 1
	}
	gw.loads.SetColdRateLimit(gateway.ColdRateLimit{Factor: 1, Rank: func(string) (rank, hosts int) { return 8, 9 }})
}

// countLost returns the number of services whose targets the gateway can't reach.
func (gw *fixture) countLost() int {
	return int(gw.metrics.Get("gateway.services_unreachable").(gometrics.Gauge).Value())
}

// relayedCount returns the number of requests that the gateway sent for other hosts.
func (gw *fixture) relayedCount() int64 {
	return gometrics.GetOrRegisterCounter("relay.for_peers", gw.metrics).Count()
}
