package adminapi

import (
	"time"

	"filbertdeck/internal/accounting"
)

// HostsDocument is the response to GET /admin/v1/hosts.
type HostsDocument struct {
	// Self is the address of the control process that responds.
	Self    string `json:"self"`
	Version string `json:"version"`
	// ConfirmedAgeMS is the time since the configuration service was last known
	// to hold this list; it is absent if the list was never confirmed.
	ConfirmedAgeMS *int64       `json:"confirmed_age_ms,omitempty"`
	Hosts          []HostStatus `json:"hosts"`
}

// HostStatus combines what the platform publishes about a host with the
// membership state seen by the control processes.
type HostStatus struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Entry      string `json:"entry"`
	Control    string `json:"control"`
	// PublishedState is live, leaving or absent.
	PublishedState string `json:"published"`
	// MemberState is alive, suspect, dead, left or unknown.
	MemberState string `json:"member"`
	Incarnation uint64 `json:"incarnation"`
}

// TargetsDocument is the response to GET /admin/v1/targets.
type TargetsDocument struct {
	Self    string         `json:"self"`
	Targets []TargetStatus `json:"targets"`
}

// TargetStatus is the state of one target as seen by this process.
type TargetStatus struct {
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// PublishedState is live or leaving.
	PublishedState string `json:"published"`
	// Drained reports whether operators have drained the data centre.
	Drained bool `json:"drained"`
	// The fields below come from the pool's allocator; Known is false if this
	// process does not admit requests to the target.
	Known        bool   `json:"known"`
	Running      int    `json:"running"`
	Waiting      int    `json:"waiting"`
	Capacity     int    `json:"bears"`
	MemoryTokens int    `json:"memory_tokens"`
	UsedTokens   int    `json:"used_tokens"`
	Preemptions  uint64 `json:"preemptions"`
	ReportAgeMS  int64  `json:"report_age_ms"`
}

// AccountsDocument is the response to GET /admin/v1/accounts.
type AccountsDocument struct {
	Self     string          `json:"self"`
	Revision string          `json:"revision"`
	Accounts []AccountStatus `json:"accounts"`
}

// AccountStatus is one client account: its row and the load that this process
// admits for it.
type AccountStatus struct {
	Name            string   `json:"name"`
	Weight          float64  `json:"weight"`
	MaxRunning      int      `json:"max_running"`
	TokensPerSecond float64  `json:"tokens_per_second"`
	Priority        int      `json:"priority"`
	KeyCount        int      `json:"keys"`
	Services        []string `json:"services"`
	Running         int      `json:"running"`
	Waiting         int      `json:"waiting"`
	// Tokens is the number of tokens charged by this process since it started.
	Tokens uint64 `json:"tokens"`
}

// RolloutDocument is the response to GET /admin/v1/rollout.
type RolloutDocument struct {
	Self  string `json:"self"`
	Ready bool   `json:"ready"`
	// PeersAsked reports whether enough peers confirmed the version in force.
	PeersAsked bool             `json:"peers_asked"`
	Documents  []DocumentStatus `json:"documents"`
	Service    ServiceStatus    `json:"configuration_service"`
}

// DocumentStatus is the state of one published document in this process.
type DocumentStatus struct {
	Document string `json:"document"`
	// Version is formatted as epoch.revision; two hosts with the same version
	// and digest hold the same rows.
	Version string     `json:"version"`
	Digest  string     `json:"digest"`
	Rows    int        `json:"rows"`
	Since   *time.Time `json:"since,omitempty"`
	// RefusedVersion is a newer version that failed validation, RefusedReason the
	// cause.
	RefusedVersion string `json:"refused,omitempty"`
	RefusedReason  string `json:"refused_reason,omitempty"`
}

// ServiceStatus is the last known state of the configuration service.
type ServiceStatus struct {
	Reader      bool       `json:"reader"`
	AnsweredAt  *time.Time `json:"answered_at,omitempty"`
	Revision    uint64     `json:"revision"`
	Behind      bool       `json:"behind"`
	LastFailure string     `json:"last_failure,omitempty"`
}

// AccountingDocument is the response to GET /admin/v1/accounting.
type AccountingDocument struct {
	Self string `json:"self"`
	// SinceMS is the time covered by the counters: since the start of the entry
	// process.
	SinceMS    int64            `json:"since_ms"`
	Rows       []AccountingRow  `json:"rows"`
	Unbalanced []AccountingRow  `json:"unbalanced"`
	Entries    []AccountingHost `json:"entries"`
}

// AccountingHost identifies an entry process whose counters the document
// contains.
type AccountingHost struct {
	Entry       string `json:"entry"`
	Incarnation uint64 `json:"incarnation"`
	Reached     bool   `json:"reached"`
}

// AccountingRow counts the requests of one account to one service at one entry
// process, since that process started. Invariant: Received is the sum of
// Refused, Ran, Unknown and InProgress.
type AccountingRow struct {
	Account string `json:"account"`
	Service string `json:"service"`
	// Entry is the host of the entry process. Incarnation identifies one run of
	// the process: the counters restart with it.
	Entry       string `json:"entry"`
	Incarnation uint64 `json:"incarnation"`
	Received    uint64 `json:"received"`
	Refused     uint64 `json:"refused"`
	Ran         uint64 `json:"ran"`
	Unknown     uint64 `json:"unknown"`
	InProgress  uint64 `json:"in_progress"`
	// Failed counts the requests among Ran that ended in an error.
	Failed      uint64 `json:"failed"`
	WaitMS      uint64 `json:"wait_ms"`
	StallMS     uint64 `json:"stall_ms"`
	Tokens      uint64 `json:"tokens"`
	Preemptions uint64 `json:"preemptions"`
	Hedges      uint64 `json:"hedges"`
	Retries     uint64 `json:"retries"`
	Resumes     uint64 `json:"resumes"`
	Replays     uint64 `json:"replays"`
	// MisplacedFrames counts frames from targets that were not forwarded.
	MisplacedFrames uint64 `json:"out_of_place"`
	// Service level objectives: events within the limit out of all events.
	FirstToken accounting.Ratio `json:"first_token"`
	TokenGap   accounting.Ratio `json:"token_gap"`
	NoStall    accounting.Ratio `json:"no_stall"`
	Complete   accounting.Ratio `json:"whole"`
	Lookup     accounting.Ratio `json:"lookup"`
}

// Balanced reports whether the invariant holds. A row that violates it has lost
// a request or counted one twice.
func (r AccountingRow) Balanced() bool {
	return r.Received == r.Refused+r.Ran+r.Unknown+r.InProgress
}
