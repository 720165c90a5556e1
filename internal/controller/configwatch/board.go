// Package configwatch keeps the published documents in force on this node:
// the operators' table, the drain list, the hosts and the targets. It is the
// only writer of the blackboard sections that hold them.
//
// Two sources feed it: the configuration service, watched only by the few
// processes picked as readers, and peers by gossip. Both hand it deltas, and
// the rules of internal/decide/rollout say which of them count.
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

// Sections lists them in the order in which they are put in force: who may be
// asked comes before what is asked.
var Sections = []Section{SectionHosts, SectionTargets, SectionDrain, SectionKept, SectionTable}

// Board is this controller's part of the blackboard.
type Board struct {
	// Table is the operators' table with the drain list and the services'
	// targets filled in; nil until a table is in force.
	Table blackboard.Section[table.Table]
	Hosts blackboard.Section[Hosts]
	// Targets holds the published targets of every service, also of those
	// that the table does not name.
	Targets blackboard.Section[Targets]
	Rollout blackboard.Section[State]
}

// Hosts is the published list of hosts.
type Hosts struct {
	Version rollout.Version
	// List is in the order of control addresses. Snapshots that differ only in
	// ConfirmedAt share it.
	List []configservice.Host
	// ConfirmedAt is a time (with its monotonic part) at which the
	// configuration service certainly held this list; zero when it never was
	// confirmed. It is taken before the question was sent, so it errs only
	// towards the past. A service that is stale without showing it, because
	// nothing has changed since it went stale, can't be told from a fresh one.
	ConfirmedAt time.Time
}

// Targets is the published list of targets.
type Targets struct {
	Version   rollout.Version
	ByService map[string][]configservice.Target
}

// State tells operators what is in force here and why something is not.
type State struct {
	Documents []DocumentState
	Service   ServiceState
	// Ready is set once the newest state of peers was taken over.
	Ready bool
	// PeersConfirmed tells whether enough peers vouched for it; otherwise this
	// process became ready with the configuration service's word alone.
	PeersConfirmed bool
}

// DocumentState is one document's state.
type DocumentState struct {
	Section Section
	Head    rollout.Head
	Rows    int
	// InForceSince is when this version was put in force here.
	InForceSince time.Time
	// LatestRefusal is a newer version that failed validation; zero without one.
	LatestRefusal rollout.Refusal
}

// ServiceState is what this process last saw of the configuration service.
type ServiceState struct {
	// IsReader tells whether this process watches the service.
	IsReader bool
	// AnsweredAt is when it last answered; zero when never.
	AnsweredAt time.Time
	// Revision is the store's in that answer.
	Revision uint64
	// Behind is set while it answers with a state older than what is in force
	// (stale or restored); edits made to it now are not taken.
	Behind bool
	// LastFailure is the kind of the last failure, empty after an answer.
	LastFailure string
}
