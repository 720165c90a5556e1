// Package gatewayhost assembles the gateway process of a host: the gateway
// itself, the reader of the published configuration and targets, and the
// exchange with the other hosts.
package gatewayhost

import (
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/controller/recordsync"
	"filbertdeck/internal/settings"
)

// Program and About are the name and the description of the binary.
const (
	Program = "filbert-gateway"
	About   = "Relays callers' requests to targets on an entry host, by the routes that operators publish."
)

// Settings are the settings of the process. Deployment holds those that the
// platform provides.
type Settings struct {
	settings.Common

	MetricsListen string `arg:"--metrics-listen,env:FILBERT_GATEWAY_METRICS" check:"hostport?" help:"ip:port of the counters; the deployment's first free port when empty"`

	PromptLimits string `arg:"--prompt-limits,env:FILBERT_GATEWAY_PROMPT_LIMITS" check:"auto|on|off" default:"auto" help:"limits on the unread prompts at an engine: for services whose objectives call for it, for all with objectives, or for none"`
	WaitingOrder string `arg:"--waiting-order,env:FILBERT_GATEWAY_WAITING_ORDER" check:"auto|on|off" default:"auto" help:"one order over all hosts of the generations that wait for an engine: as for prompt limits"`
	RoomGrants   string `arg:"--room-grants,env:FILBERT_GATEWAY_ROOM_GRANTS" check:"auto|on|off" default:"auto" help:"grants of an engine's room by the host that counts its load: as for prompt limits"`

	CallerMemoryMB     int           `arg:"--caller-memory-mb,env:FILBERT_GATEWAY_CALLER_MEMORY_MB" check:"0..1048576" help:"MB (1,000,000 bytes) that all requests of callers may hold; 0 for what the host's memory leaves"`
	CallerConnections  int           `arg:"--caller-connections,env:FILBERT_GATEWAY_CALLER_CONNECTIONS" check:"0..1000000" help:"connections of callers at a time; 0 for what the host's descriptors leave"`
	CallerGrace        time.Duration `arg:"--caller-grace,env:FILBERT_GATEWAY_CALLER_GRACE" check:"100ms..1h" default:"1s" help:"time in which a caller may be slow to send a request or read an answer while the memory or the connections are used up"`
	CallerMinRate      int           `arg:"--caller-min-rate,env:FILBERT_GATEWAY_CALLER_MIN_RATE" check:"1..1000000000" default:"16384" help:"bytes per second below which a caller is slow"`
	CallerStallTimeout time.Duration `arg:"--caller-stall-timeout,env:FILBERT_GATEWAY_CALLER_STALL_TIMEOUT" check:"1s..24h" default:"30s" help:"time in which a caller may send nothing more of a body, or read nothing of an answer"`

	// Deployment is filled in from the settings that the platform provides.
	Deployment Deployment `arg:"-"`
	// ReloadDeployment reads the deployment settings again.
	ReloadDeployment func() (Deployment, error) `arg:"-"`
}

// Deployment holds the settings and clients that depend on where the process
// runs.
type Deployment struct {
	// ListenCallers, ListenReady and ListenPeers are the addresses (ip:port)
	// for callers, for readiness checks and for other hosts.
	ListenCallers, ListenReady, ListenPeers string
	// Seeds are addresses of other hosts, which may be out of date.
	Seeds []string
	// Regions holds the region of each data centre.
	Regions map[string]string
	// FirstStart is set when all hosts start for the first time.
	FirstStart bool
	// Host holds the limits of the host; a zero one is not known.
	Host HostLimits
	// StopGrace is the time between the stop signal and the kill.
	StopGrace time.Duration
	// Retry limits the retries to a service, summed over all hosts.
	Retry RetryLimit
	// ColdRate relaxes the rate limit of a cold target, summed over all hosts.
	ColdRate ColdRateLimit
	// ConfigDeadline is the time in which a published configuration change must
	// take effect.
	ConfigDeadline time.Duration
	// Dialect, Engines and Source are the protocol adapters for the callers and
	// targets, for the model engines and for the store.
	Dialect call.Codec
	Engines call.EngineClient
	Source  recordsync.Source
}

// HostLimits are the limits of the host: the memory in bytes beyond which the process is killed,
// and the number of its sockets.
type HostLimits struct {
	MemoryBytes int64
	Sockets     int
}

// RetryLimit limits retries in any window of a few seconds to Share of a
// service's requests plus the fixed number Extra.
type RetryLimit struct{ Share, Extra float64 }

// ColdRateLimit limits a cold target to Factor times its rate plus Extra
// requests per second.
type ColdRateLimit struct{ Factor, Extra float64 }
