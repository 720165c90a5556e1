// Package table implements the operators' table: one row per client account or
// service, saved as CSV by a spreadsheet and read from the platform's
// configuration service. The system never writes it.
package table

import "time"

// RowKind distinguishes the rows of accounts, of services and of the epoch.
type RowKind string

// The kinds of rows.
const (
	RowAccount RowKind = "account"
	RowService RowKind = "service"
	// RowEpoch is the row of the table itself; its name is the epoch set by the
	// operators.
	RowEpoch RowKind = "epoch"
)

// ServiceType determines how the requests of a service are handled.
type ServiceType string

// The types of services.
const (
	// ServiceGeneration is a service of model engines, with responses of
	// unknown length.
	ServiceGeneration ServiceType = "generation"
	// ServiceLookup is a plain service whose calls are idempotent and may be
	// repeated.
	ServiceLookup ServiceType = "lookup"
	// ServiceOnce is a plain service whose calls are executed at most once.
	ServiceOnce ServiceType = "once"
)

// Delivery determines when the tokens of a generation are sent to the caller.
type Delivery string

// The delivery modes.
const (
	// DeliveryStream sends each token immediately.
	DeliveryStream Delivery = "stream"
	// DeliveryBuffered buffers the tokens until the generation is complete.
	DeliveryBuffered Delivery = "whole"
)

// Account is the row of a client account.
type Account struct {
	Name string
	// Weight is the account's scheduling weight relative to the other accounts.
	Weight float64
	// MaxRunning limits the account's requests in progress across the fleet; 0
	// means unlimited.
	MaxRunning int
	// TokensPerSecond limits the rate of generated tokens across the fleet; 0
	// means unlimited.
	TokensPerSecond float64
	// Priority is passed to the engines; higher values are served first.
	Priority int
	// KeyHashes are the SHA-256 digests of the account's bearer keys.
	KeyHashes [][32]byte
	// Services lists the services that the account may use; empty means all.
	Services []string
}

// HasFleetLimit reports whether the row sets a fleet-wide limit.
func (a *Account) HasFleetLimit() bool { return a.MaxRunning > 0 || a.TokensPerSecond > 0 }

// Service is the row of a service.
type Service struct {
	Name     string
	Type     ServiceType
	Delivery Delivery
	// MaxTokens limits the output of a generation, in tokens.
	MaxTokens int
	// MaxWait limits the time in the queue.
	MaxWait time.Duration
	// QueueLimit limits the number of requests queued in one pool.
	QueueLimit int
	// Targets are the targets that serve the requests of the service.
	Targets []Target
}

// Target is one target of a service.
type Target struct {
	Address    string
	DataCentre string
	// Leaving is set while the platform is removing the target.
	Leaving bool
}

// Table is one revision of the operators' table. It is immutable.
type Table struct {
	// Epoch is the number in the row of kind epoch, 0 if there is none.
	// Operators raise it after the configuration service was restored from a
	// backup; it is compared first when revisions are ordered.
	Epoch uint64
	// Restores counts the restores of the configuration service that were
	// recognised within the epoch; it is compared second. It is not part of the
	// table's text.
	Restores uint64
	// Revision is the revision of the configuration service: the newest among
	// the pages.
	Revision uint64
	Accounts map[string]*Account
	Services map[string]*Service
	// Drained is the set of data centres that operators have drained.
	Drained map[string]bool
	// AccountByKeyHash maps the digest of a bearer key to its account.
	AccountByKeyHash map[[32]byte]*Account
}
