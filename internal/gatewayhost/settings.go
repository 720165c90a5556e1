// Package gatewayhost composes the gateway, the reading of what is published
// and the exchange with other hosts into one process a host.
package gatewayhost

import (
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/controller/recordsync"
	"filbertdeck/internal/settings"
)

// Program and About describe the binary.
const (
	Program = "filbert-gateway"
	About   = "Relays callers' requests to targets on an entry host, by the routes that operators publish."
)

// Settings are the process's own; the deployment's come with Deployment.
type Settings struct {
	settings.Common

	MetricsListen string `arg:"--metrics-listen,env:FILBERT_GATEWAY_METRICS" check:"hostport?" help:"ip:port of the counters; the deployment's first free port when empty"`

	// Deployment is filled in from what the platform tells the process.
	Deployment Deployment `arg:"-"`
	// Reread gives the deployment as the platform describes it by now.
	Reread func() (Deployment, error) `arg:"-"`
}

// Deployment is what a process learns of its place.
type Deployment struct {
	// ListenCallers, ListenReady and ListenPeers are ip:port.
	ListenCallers, ListenReady, ListenPeers string
	// Seeds are peers' addresses; they may be out of date.
	Seeds []string
	// FirstStart is set when all hosts start for the first time.
	FirstStart bool
	// StopGrace is the time from the signal to stop to the kill.
	StopGrace time.Duration
	// Retry bounds sends beyond the first to a service, over all hosts.
	Retry RetryBound
	// Cold stretches the rate that a cold target bears, over all hosts.
	Cold ColdBound
	// EditWithin is how soon what operators publish must be in force.
	EditWithin time.Duration
	// Dialect, Engines and Source speak to the deployment's callers, targets
	// and store.
	Dialect call.Dialect
	Engines call.Engines
	Source  recordsync.Source
}

// RetryBound allows, in any window of some seconds, a share of a service's
// requests and a fixed number of sends beyond the first.
type RetryBound struct{ Share, Extra float64 }

// ColdBound allows a cold target its rate times Factor plus Extra a second.
type ColdBound struct{ Factor, Extra float64 }
