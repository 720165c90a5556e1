// Package directory holds what operators and targets publish, in the types
// that the gateway decides with: routes, services, client accounts, targets
// and data centres that are taken out.
//
// A View is an immutable snapshot of all of it. A request keeps the view that
// it began with, so that it never sees half a change.
package directory

import (
	"strings"
	"time"
)

// RequestKind says what may be repeated of a route's requests.
type RequestKind int

// The kinds of requests.
const (
	// AtMostOnce requests run at most once for each attempt of a client.
	AtMostOnce RequestKind = iota + 1
	// Repeatable requests may run more than once.
	Repeatable
	// Generation requests are answered by a stream of events from one run.
	Generation
)

var kindNames = map[RequestKind]string{AtMostOnce: "once", Repeatable: "repeatable", Generation: "generation"}

// String names the kind for logs.
func (k RequestKind) String() string { return kindNames[k] }

// Backend is one of the services that share a route's requests.
type Backend struct {
	Service string `json:"service"`
	// Weight is relative to the other backends' weights.
	Weight int `json:"weight"`
}

// Route says where the requests of a host and path prefix go.
type Route struct {
	Name   string      `json:"name"`
	Host   string      `json:"host"`
	Prefix string      `json:"prefix"`
	Kind   RequestKind `json:"kind"`
	// Timeout is the longest that a client is kept waiting for the end.
	Timeout time.Duration `json:"timeout"`
	// LatencyObjective is the time to the answer, of generations to the first event.
	LatencyObjective time.Duration `json:"objective"`
	// PauseObjective is the longest pause between two events.
	PauseObjective time.Duration `json:"pause_objective"`
	// MaxAttempts bounds the targets that one request is sent to.
	MaxAttempts int `json:"attempts"`
	// Priority ranks requests; 0 is the most urgent.
	Priority int       `json:"priority"`
	Backends []Backend `json:"backends"`
	// Public routes need no key of a client account.
	Public bool `json:"public"`
	// Resumable generations may be continued by another run.
	Resumable bool `json:"resumable"`
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots        int `json:"slots"`
	MemoryTokens int `json:"memory_tokens"`
	// CanMigrate says that engines copy running generations to each other, Backups
	// that they keep copies of each other's as these grow.
	CanMigrate   bool `json:"moves"`
	KeepsBackups bool `json:"backups"`
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int `json:"tokens_per_event"`
	// BytesPerToken and LinkMbps give the time that a copy takes.
	BytesPerToken float64 `json:"bytes_per_token"`
	LinkMbps      float64 `json:"link_mbps"`
	// CopyTTL is how long an engine keeps a copy that nothing is added to;
	// 0 when unknown.
	CopyTTL time.Duration `json:"copy_kept"`
	// MaxReservationTime is the longest time for which an engine keeps memory and a place
	// for a request that is to come; 0 when engines don't.
	MaxReservationTime time.Duration `json:"hold_limit"`
}

// Service is a kind of target.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
	// MaxConnections is what a target takes from all hosts together.
	MaxConnections int `json:"max_connections"`
	// ColdRequestsPerSecond is the requests a second that a cold target bears; 0 when
	// targets of the service don't start cold.
	ColdRequestsPerSecond float64 `json:"cold_rate"`
	// Engine is nil for plain services.
	Engine *Engine `json:"engine,omitempty"`
}

// Account is a client account.
type Account struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority overrules the route's when it is not nil.
	Priority *int `json:"priority,omitempty"`
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int64         `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout"`
	IdleTimeout   time.Duration `json:"idle_timeout"`
}

// Config is one version of what operators ask for.
type Config struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	// Accounts is nil when no request needs a key.
	Accounts []Account `json:"accounts"`
	Limits   Limits    `json:"limits"`
}

// Target is one live or leaving target.
type Target struct {
	// ID names one life of the target; addresses are used again by others.
	ID         string `json:"id"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Slots      int    `json:"slots"`
	// Leaving targets get no new work.
	Leaving bool `json:"leaving"`
	// WarmUpRemaining is how much longer the target was cold when it said so.
	WarmUpRemaining time.Duration `json:"cold_for"`
	// StartedUnixMilli is when the target started, in Unix milliseconds. A target may
	// start again under the same id.
	StartedUnixMilli int64 `json:"started"`
}

// Record is one published item. Exactly one of the typed fields is set, or
// none when the item is gone or can't be read.
type Record struct {
	Key string `json:"key"`
	// Revision is the store's at the record's last change; it only rises.
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"gone,omitempty"`
	// ReadError says why the item can't be read; what held before holds on for a
	// configuration, and a target without a readable item is not used.
	ReadError         string  `json:"fault,omitempty"`
	Config            *Config `json:"config,omitempty"`
	Target            *Target `json:"target,omitempty"`
	DrainedDataCentre string  `json:"drained,omitempty"`
}

// ConfigKey is the key of the configuration's record.
const ConfigKey = "config"

const targetPrefix = "target/"

// TargetKey is the key of a target's record.
func TargetKey(id string) string { return targetPrefix + id }

// TargetID gives the id of the target whose record has a key; of another
// record, its key.
func TargetID(key string) string { return strings.TrimPrefix(key, targetPrefix) }
