package rollout

import "time"

// Parameters of a new process's start.
const (
	// minJoinPeers is the number of peers that a new process synchronizes with
	// before it serves. An edit is in force on all but a few nodes within about
	// a second, so the probability that three random peers all lack it is below
	// one in a million. A higher number would delay the start of a fleet.
	minJoinPeers = 3
	// joinGracePeriod is how long a process that has read the service but too
	// few peers waits. When a whole fleet starts at once, no peer knows more
	// than the service, and the process must not wait forever.
	joinGracePeriod = 3 * time.Second
	// joinTimeout limits the wait for a version that a peer announced but that
	// does not arrive, because its only holder may have crashed.
	joinTimeout = 30 * time.Second
)

// Readiness decides when a new process is ready to serve. Without it, a host that is
// replaced while the configuration service is stale or restored would serve
// from a table older than the one in force, and edits would revert on that
// host.
type Readiness struct {
	startedAt   time.Duration
	syncedPeers map[string]bool
	serviceRead bool
	ready       bool
}

// NewReadiness returns the state of a process that started at now.
func NewReadiness(now time.Duration) *Readiness {
	return &Readiness{startedAt: now, syncedPeers: map[string]bool{}}
}

// RecordPeer records that everything a peer holds was fetched and applied.
func (j *Readiness) RecordPeer(address string) {
	if len(j.syncedPeers) < minJoinPeers {
		j.syncedPeers[address] = true
	}
}

// RemainingPeers returns those of the given peers that have not been recorded yet, or
// none once enough have been.
func (j *Readiness) RemainingPeers(peers []string) []string {
	if j.Confirmed() {
		return nil
	}
	var out []string
	for _, peer := range peers {
		if !j.syncedPeers[peer] {
			out = append(out, peer)
		}
	}
	return out
}

// RecordService records that the documents were read from the configuration service.
func (j *Readiness) RecordService() { j.serviceRead = true }

// Ready reports whether the process may serve. peers is the number of other
// processes, hasTable whether a table is in force in this process, and behind
// whether a peer has announced a newer version than that one. Once ready, the
// process remains ready.
//
// The grace period does not apply while the process is behind: the transfer of
// a table of 11,000 rows to a busy host takes longer than that, and the host
// would meanwhile serve from the old one.
func (j *Readiness) Ready(now time.Duration, peers int, hasTable, behind bool) bool {
	if j.ready {
		return true
	}
	if behind && now-j.startedAt < joinTimeout {
		return false
	}
	// Without peers, the service is the only source.
	sourcesRead := len(j.syncedPeers) >= min(minJoinPeers, peers) && (peers > 0 || j.serviceRead)
	graceElapsed := now-j.startedAt >= joinGracePeriod
	if hasTable && (sourcesRead || graceElapsed) {
		j.ready = true
	}
	return j.ready
}

// Confirmed reports whether enough peers were read, for display to operators: a
// process that became ready by waiting knows only what the service returns.
func (j *Readiness) Confirmed() bool { return len(j.syncedPeers) >= minJoinPeers }
