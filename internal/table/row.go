// Package table holds the operators' table: one row per client account or
// service, saved as CSV by a spreadsheet and read from the platform's
// configuration. The system never writes it.
package table

import "time"

// RowKind tells an account's row from a service's.
type RowKind string

// The kinds of rows.
const (
	RowAccount RowKind = "account"
	RowService RowKind = "service"
	// RowEpoch is the table's own row: its name is the operators' epoch.
	RowEpoch RowKind = "epoch"
)

// ServiceType says how a service's requests are served.
type ServiceType string

// The types of services.
const (
	// ServiceGeneration is a model engine's: answers of unknown length.
	ServiceGeneration ServiceType = "generation"
	// ServiceLookup is a plain service whose calls may be repeated.
	ServiceLookup ServiceType = "lookup"
	// ServiceOnce is a plain service whose calls run at most once.
	ServiceOnce ServiceType = "once"
)

// Delivery says when a generation's tokens reach the caller.
type Delivery string

// The ways of delivery.
const (
	// DeliveryStream passes tokens on at once.
	DeliveryStream Delivery = "stream"
	// DeliveryBuffered holds them until the generation is complete.
	DeliveryBuffered Delivery = "whole"
)

// Account is a client account's row.
type Account struct {
	Name string
	// Weight is the account's share relative to the other accounts'.
	Weight float64
	// MaxRunning bounds the account's requests in progress over the fleet; 0
	// means no bound.
	MaxRunning int
	// TokensPerSecond bounds generated tokens over the fleet; 0 means none.
	TokensPerSecond float64
	// Priority is passed to engines; higher is served first.
	Priority int
	// KeyHashes are SHA-256 digests of the account's bearer keys.
	KeyHashes [][32]byte
	// Services that the account may use; empty means all.
	Services []string
}

// HasFleetLimit tells whether the row bounds what the account may use over the fleet.
func (a *Account) HasFleetLimit() bool { return a.MaxRunning > 0 || a.TokensPerSecond > 0 }

// Service is a service's row.
type Service struct {
	Name     string
	Type     ServiceType
	Delivery Delivery
	// MaxTokens bounds a generation's output.
	MaxTokens int
	// MaxWait bounds the time in the queue.
	MaxWait time.Duration
	// QueueLimit bounds the requests that wait in one pool.
	QueueLimit int
	// Targets are the service's back ends.
	Targets []Target
}

// Target is one back end of a service.
type Target struct {
	Address    string
	DataCentre string
	// Leaving is set while the platform takes the target away.
	Leaving bool
}

// Table is one revision of the operators' table. It is immutable.
type Table struct {
	// Epoch is the number in the table's own row of kind epoch, 0 without one.
	// Operators raise it after the configuration service was restored from a
	// backup; it leads the order of revisions.
	Epoch uint64
	// Restores counts the restores of the configuration service that were
	// recognised within the epoch; it comes second in the order. It is not part
	// of the table's text.
	Restores uint64
	// Revision is the configuration service's: the newest of the pages'.
	Revision uint64
	Accounts map[string]*Account
	Services map[string]*Service
	// Drained lists the data centres that operators have taken out.
	Drained map[string]bool
	// AccountByKeyHash finds the account of a bearer key's digest.
	AccountByKeyHash map[[32]byte]*Account
}
