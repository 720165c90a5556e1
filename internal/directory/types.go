// Package directory defines the published state in the types that the gateway
// decides with: routes, services, client accounts, targets and drained data
// centres.
//
// A View is an immutable snapshot of that state. A request keeps the view that
// it started with, so that it never sees a partially applied change.
package directory

import (
	"strings"
	"time"
)

// RequestKind tells how often a request of a route may be executed.
type RequestKind int

// Request kinds.
const (
	// AtMostOnce is for requests that are executed at most once for each attempt of a
	// client.
	AtMostOnce RequestKind = iota + 1
	// Repeatable is for requests that may be executed more than once.
	Repeatable
	// Generation is for requests that are answered by a stream of events from
	// one execution.
	Generation
)

var kindNames = map[RequestKind]string{AtMostOnce: "once", Repeatable: "repeatable", Generation: "generation"}

// String returns the name of the kind for logs.
func (k RequestKind) String() string { return kindNames[k] }

// Backend is a service that receives a share of a route's requests.
type Backend struct {
	Service string `json:"service"`
	// Weight is relative to the weights of the route's other backends.
	Weight int `json:"weight"`
}

// Route assigns the requests of a host and path prefix to services.
type Route struct {
	Name   string      `json:"name"`
	Host   string      `json:"host"`
	Prefix string      `json:"prefix"`
	Kind   RequestKind `json:"kind"`
	// Timeout is the maximum time until the answer is complete.
	Timeout time.Duration `json:"timeout"`
	// LatencyObjective is the latency objective: the time to the answer, or for a
	// generation to its first event.
	LatencyObjective time.Duration `json:"objective"`
	// PauseObjective is the objective for the longest pause between two events.
	PauseObjective time.Duration `json:"pause_objective"`
	// MaxEventGap is the gap between events, or before the first one, after which callers
	// abandon a stream; 0 if unknown.
	MaxEventGap time.Duration `json:"max_event_gap,omitempty"`
	// MaxAttempts is the maximum number of targets that one request is sent to.
	MaxAttempts int `json:"attempts"`
	// Priority orders requests; 0 is the most urgent.
	Priority int       `json:"priority"`
	Backends []Backend `json:"backends"`
	// Public is set if requests need no client account's key.
	Public bool `json:"public"`
	// Resumable is set if another execution may continue a generation.
	Resumable bool `json:"resumable"`
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots        int `json:"slots"`
	MemoryTokens int `json:"memory_tokens"`
	// CanMigrate is set if engines can copy running generations to each other,
	// Backups if each keeps copies of the others' generations and updates them
	// as they grow.
	CanMigrate   bool `json:"moves"`
	KeepsBackups bool `json:"backups"`
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int `json:"tokens_per_event"`
	// BytesPerToken and LinkMbps determine how long a copy takes.
	BytesPerToken float64 `json:"bytes_per_token"`
	LinkMbps      float64 `json:"link_mbps"`
	// CopyTTL is how long an engine keeps a copy that no longer grows; 0 if
	// unknown.
	CopyTTL time.Duration `json:"copy_kept"`
	// MaxReservationTime is the longest time for which an engine reserves memory and a
	// slot for a request that is still to come; 0 if engines make no
	// reservations.
	MaxReservationTime time.Duration `json:"hold_limit"`
}

// Service describes a service and what each of its targets can take.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
	// MaxConnections is the number of connections that a target accepts from all
	// hosts together.
	MaxConnections int `json:"max_connections"`
	// ColdRequestsPerSecond is the number of requests per second that a cold target can take;
	// 0 if targets of the service do not start cold.
	ColdRequestsPerSecond float64 `json:"cold_rate"`
	// Engine is nil for services that are not model engines.
	Engine *Engine `json:"engine,omitempty"`
}

// Account is a client account.
type Account struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority overrides the priority of the route unless it is nil.
	Priority *int `json:"priority,omitempty"`
}

// Limits bounds the size and the timeouts of callers' requests.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int64         `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout"`
	IdleTimeout   time.Duration `json:"idle_timeout"`
}

// Config is one version of the configuration that operators publish.
type Config struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	// Accounts is nil if no request needs a key.
	Accounts []Account `json:"accounts"`
	Limits   Limits    `json:"limits"`
}

// Target is a live or leaving target.
type Target struct {
	// ID identifies one lifetime of the target; its address may later belong to
	// another target.
	ID         string `json:"id"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Version is that of the target's software. Versions have no order.
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	// Leaving targets get no new requests.
	Leaving bool `json:"leaving"`
	// WarmUpRemaining is the remaining warm-up time at the time of the target's report.
	WarmUpRemaining time.Duration `json:"cold_for"`
	// StartedUnixMilli is the start time of the target in Unix milliseconds. A target may
	// restart under the same ID.
	StartedUnixMilli int64 `json:"started"`
}

// Lifetime identifies one run of a target, from its start to its end.
type Lifetime struct {
	TargetID         string
	StartedUnixMilli int64
}

// Lifetime returns the lifetime that a target is in.
func (t Target) Lifetime() Lifetime { return Lifetime{t.ID, t.StartedUnixMilli} }

// Record is one published item. Exactly one of the typed fields is set, or
// none if the item was deleted and is not lost, or cannot be read.
type Record struct {
	Key string `json:"key"`
	// Era and Revision are the store's position at the record's last change.
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"gone,omitempty"`
	// Lost is set on a deleted record that nobody removed: the copy from which
	// the store was restored lacks it. The typed field holds its last content.
	Lost bool `json:"lost,omitempty"`
	// Copied is set on a record that was removed before the store was restored
	// from a copy that still has it.
	Copied bool `json:"copied,omitempty"`
	// ReadError says why the item cannot be read. An unreadable configuration leaves
	// the previous one in force; a target without a readable item is not used.
	ReadError         string  `json:"fault,omitempty"`
	Config            *Config `json:"config,omitempty"`
	Target            *Target `json:"target,omitempty"`
	DrainedDataCentre string  `json:"drained,omitempty"`
}

// Position returns the store's position at the record's last change.
func (r Record) Position() Position { return Position{r.Era, r.Revision} }

// ConfigKey is the key of the configuration's record.
const ConfigKey = "config"

const targetPrefix = "target/"

// TargetKey returns the key of a target's record.
func TargetKey(id string) string { return targetPrefix + id }

// TargetID returns the ID of the target that a record's key belongs to, and
// the key itself for any other record.
func TargetID(key string) string { return strings.TrimPrefix(key, targetPrefix) }
