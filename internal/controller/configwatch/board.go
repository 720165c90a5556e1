// Package configwatch holds the published documents in force on this node: the
// operators' table, the drain list, the hosts and the targets. It is the only
// writer of the blackboard sections that hold them.
//
// Documents come from two sources: the configuration service, which only the
// few processes selected as readers watch, and peers, by gossip. Both deliver
// deltas, and the rules of internal/decide/rollout decide which of them are
// applied.
package configwatch

import (
	"time"

	"filbertdeck/internal/blackboard"
	"filbertdeck/internal/configservice"
	"filbertdeck/internal/decide/rollout"
	"filbertdeck/internal/table"
)

// Section names one published document.
type Section string

// The published documents.
const (
	SectionTable   Section = "table"
	SectionDrain   Section = "drain"
	SectionHosts   Section = "hosts"
	SectionTargets Section = "targets"
	// SectionKept holds rows of the table and the drain list that a restore of
	// the configuration service lost and that stay in force. It is the only
	// document that the service does not hold.
	SectionKept Section = "kept"
)

// Sections lists the documents in the order in which they are put in force:
// hosts and targets come before the table that refers to them.
var Sections = []Section{SectionHosts, SectionTargets, SectionDrain, SectionKept, SectionTable}

// Board holds the blackboard sections that this package writes.
type Board struct {
	// Table is the operators' table with the drain list and the services'
	// targets filled in; nil until a table is in force.
	Table blackboard.Section[table.Table]
	Hosts blackboard.Section[Hosts]
	// Targets holds the published targets of every service, including services
	// that the table does not name.
	Targets blackboard.Section[Targets]
	Rollout blackboard.Section[State]
}

// Hosts is the published list of hosts.
type Hosts struct {
	Version rollout.Version
	// List is sorted by control address. Snapshots that differ only in
	// ConfirmedAt share it.
	List []configservice.Host
	// ConfirmedAt is a time, with its monotonic part, at which the
	// configuration service is known to have held this list; zero if it was
	// never confirmed. It is taken before the request is sent, so it can only
	// be too early. A stale service whose data has not changed since it became
	// stale can't be distinguished from a current one.
	ConfirmedAt time.Time
}

// Targets is the published list of targets.
type Targets struct {
	Version   rollout.Version
	ByService map[string][]configservice.Target
}

// State shows operators which documents are in force here and why others are
// not.
type State struct {
	Documents []DocumentState
	Service   ServiceState
	// Ready is set once this process may serve.
	Ready bool
	// PeersConfirmed reports whether enough peers confirmed the documents in force;
	// if false and Ready is set, the process became ready on the configuration
	// service's data alone.
	PeersConfirmed bool
}

// DocumentState is the state of one document.
type DocumentState struct {
	Section Section
	Head    rollout.Head
	Rows    int
	// InForceSince is the time at which this version was put in force here.
	InForceSince time.Time
	// LatestRefusal is a newer version that failed validation; zero if there is none.
	LatestRefusal rollout.Refusal
}

// ServiceState is the state of the configuration service as this process last
// saw it.
type ServiceState struct {
	// IsReader reports whether this process watches the service.
	IsReader bool
	// AnsweredAt is the time of the last answer; zero if there was none.
	AnsweredAt time.Time
	// Revision is the service's revision in that answer.
	Revision uint64
	// Behind is set while the service's answers are older than the documents in
	// force (stale or restored); edits made to it in that state are not
	// applied.
	Behind bool
	// LastFailure is the kind of the last failure; empty after an answer.
	LastFailure string
}
