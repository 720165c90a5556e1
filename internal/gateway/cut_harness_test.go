package gateway_test

import (
	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/directory"
	"filbertdeck/internal/gateway"
)

// startPeers runs two gateways with the same targets. The first one's partition is
// controlled by its field cut.
func startPeers(targets ...*directory.ObservedTarget) (host, peer *fixture) {
	host, peer = startGateway(targets...), startGateway(targets...)
	return host, peer
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
	return gometrics.GetOrRegisterCounter("gateway.relayed_for_peers", gw.metrics).Count()
}
