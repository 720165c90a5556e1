package adminapi

import (
	"time"

	"filbertdeck/internal/accounting"
)

// HostsDocument answers GET /admin/v1/hosts.
type HostsDocument struct {
	// Self is the control process that answers.
	Self    string `json:"self"`
	Version string `json:"version"`
	// ConfirmedAgeMS is how long ago the configuration service certainly held
	// this list; absent when it never confirmed it.
	ConfirmedAgeMS *int64       `json:"confirmed_age_ms,omitempty"`
	Hosts          []HostStatus `json:"hosts"`
}

// HostStatus sets what the platform publishes of a host beside what the
// control processes see.
type HostStatus struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Entry      string `json:"entry"`
	Control    string `json:"control"`
	// Published is live, leaving or absent.
	Published string `json:"published"`
	// Member is alive, suspect, dead, left or unknown.
	Member      string `json:"member"`
	Incarnation uint64 `json:"incarnation"`
}

// TargetsDocument answers GET /admin/v1/targets.
type TargetsDocument struct {
	Self    string         `json:"self"`
	Targets []TargetStatus `json:"targets"`
}

// TargetStatus is one back end as this process sees it.
type TargetStatus struct {
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// PublishedState is live or leaving.
	PublishedState string `json:"published"`
	// Drained tells whether operators have taken the data centre out.
	Drained bool `json:"drained"`
	// The figures below come from the pool's allocator; Known is false on a
	// process that does not admit to this target.
	Known        bool   `json:"known"`
	Running      int    `json:"running"`
	Waiting      int    `json:"waiting"`
	Capacity     int    `json:"bears"`
	MemoryTokens int    `json:"memory_tokens"`
	UsedTokens   int    `json:"used_tokens"`
	Preemptions  uint64 `json:"preemptions"`
	ReportAgeMS  int64  `json:"report_age_ms"`
}

// AccountsDocument answers GET /admin/v1/accounts.
type AccountsDocument struct {
	Self     string          `json:"self"`
	Revision string          `json:"revision"`
	Accounts []AccountStatus `json:"accounts"`
}

// AccountStatus is one client account: its row, and what this process admits.
type AccountStatus struct {
	Name            string   `json:"name"`
	Weight          float64  `json:"weight"`
	MaxRunning      int      `json:"max_running"`
	TokensPerSecond float64  `json:"tokens_per_second"`
	Priority        int      `json:"priority"`
	Keys            int      `json:"keys"`
	Services        []string `json:"services"`
	Running         int      `json:"running"`
	Waiting         int      `json:"waiting"`
	// Tokens is the service charged here since the process started.
	Tokens uint64 `json:"tokens"`
}

// RolloutDocument answers GET /admin/v1/rollout.
type RolloutDocument struct {
	Self  string `json:"self"`
	Ready bool   `json:"ready"`
	// PeersAsked tells whether enough peers vouched for what is in force.
	PeersAsked bool             `json:"peers_asked"`
	Documents  []DocumentStatus `json:"documents"`
	Service    ServiceStatus    `json:"configuration_service"`
}

// DocumentStatus is one published document as it is in force here.
type DocumentStatus struct {
	Document string `json:"document"`
	// Version is epoch.revision; two hosts with the same version and digest
	// hold the same rows.
	Version string     `json:"version"`
	Digest  string     `json:"digest"`
	Rows    int        `json:"rows"`
	Since   *time.Time `json:"since,omitempty"`
	// RefusedVersion names a newer version that failed validation, and why.
	RefusedVersion string `json:"refused,omitempty"`
	RefusedReason  string `json:"refused_reason,omitempty"`
}

// ServiceStatus is what this process last saw of the configuration service.
type ServiceStatus struct {
	Reader      bool       `json:"reader"`
	AnsweredAt  *time.Time `json:"answered_at,omitempty"`
	Revision    uint64     `json:"revision"`
	Behind      bool       `json:"behind"`
	LastFailure string     `json:"last_failure,omitempty"`
}

// AccountingDocument answers GET /admin/v1/accounting.
type AccountingDocument struct {
	Self string `json:"self"`
	// SinceMS is how long these counters have been running: since the entry
	// process started.
	SinceMS    int64            `json:"since_ms"`
	Rows       []AccountingRow  `json:"rows"`
	Unbalanced []AccountingRow  `json:"unbalanced"`
	Entries    []AccountingHost `json:"entries"`
}

// AccountingHost names an entry process whose counters are in the document.
type AccountingHost struct {
	Entry       string `json:"entry"`
	Incarnation uint64 `json:"incarnation"`
	Reached     bool   `json:"reached"`
}

// AccountingRow counts an account's requests to a service at one entry, since
// that process started. Invariant: Received is the sum of Refused, Ran, Unknown
// and InProgress.
type AccountingRow struct {
	Account string `json:"account"`
	Service string `json:"service"`
	// Entry is the host of the entry process, Incarnation its life: counters
	// start anew with it.
	Entry       string `json:"entry"`
	Incarnation uint64 `json:"incarnation"`
	Received    uint64 `json:"received"`
	Refused     uint64 `json:"refused"`
	Ran         uint64 `json:"ran"`
	Unknown     uint64 `json:"unknown"`
	InProgress  uint64 `json:"in_progress"`
	// Failed counts those among Ran that ended in an error.
	Failed      uint64 `json:"failed"`
	WaitMS      uint64 `json:"wait_ms"`
	StallMS     uint64 `json:"stall_ms"`
	Tokens      uint64 `json:"tokens"`
	Preemptions uint64 `json:"preemptions"`
	Hedges      uint64 `json:"hedges"`
	Retries     uint64 `json:"retries"`
	Resumes     uint64 `json:"resumes"`
	Replays     uint64 `json:"replays"`
	// MisplacedFrames counts frames of targets that were not passed on.
	MisplacedFrames uint64 `json:"out_of_place"`
	// The objectives: events within the bound among all.
	FirstToken accounting.Ratio `json:"first_token"`
	TokenGap   accounting.Ratio `json:"token_gap"`
	NoStall    accounting.Ratio `json:"no_stall"`
	Complete   accounting.Ratio `json:"whole"`
	Lookup     accounting.Ratio `json:"lookup"`
}

// Balanced checks the identity. A row that fails it has lost a request or
// counted one twice.
func (r AccountingRow) Balanced() bool {
	return r.Received == r.Refused+r.Ran+r.Unknown+r.InProgress
}
