package rollout

import "time"

// Figures of joining.
const (
	// joinPeers is how many peers a new process asks before it serves. An edit
	// is in force on all but a few nodes within a second or so; that three
	// peers drawn at random all lack it is then less likely than one in a
	// million, while waiting for more would hold up the start of a fleet.
	joinPeers = 3
	// joinGrace is how long a process with the service's word but fewer peers
	// waits. A whole fleet that starts at once has no peers that know more
	// than the service; it must not wait for ever.
	joinGrace = 3 * time.Second
	// joinLimit bounds the wait for a version that a peer announced and that
	// does not arrive: its only holder may have died.
	joinLimit = 30 * time.Second
)

// Readiness decides when a new process is ready. Without it a host that is
// replaced while the configuration service is stale or restored would serve
// from a table older than the one in force: an edit would revert there.
type Readiness struct {
	started time.Duration
	asked   map[string]bool
	service bool
	done    bool
}

// NewReadiness starts at now.
func NewReadiness(now time.Duration) *Readiness {
	return &Readiness{started: now, asked: map[string]bool{}}
}

// RecordPeer notes that everything a peer holds was taken over.
func (j *Readiness) RecordPeer(address string) {
	if len(j.asked) < joinPeers {
		j.asked[address] = true
	}
}

// RemainingPeers gives those of some peers that are still to be asked: none once
// enough were.
func (j *Readiness) RemainingPeers(peers []string) []string {
	if j.Confirmed() {
		return nil
	}
	var out []string
	for _, p := range peers {
		if !j.asked[p] {
			out = append(out, p)
		}
	}
	return out
}

// RecordService notes that the service's documents were read.
func (j *Readiness) RecordService() { j.service = true }

// Ready tells whether the process may serve: peers is how many others there
// are to ask, holds whether a table is in force here, behind whether a peer
// announced a newer version than the one held. Once ready it stays so.
//
// While it is behind the grace does not count: a table of 11,000 rows that is
// on its way to a busy host takes longer than that, and the host would serve
// from the old one in the meantime.
func (j *Readiness) Ready(now time.Duration, peers int, holds, behind bool) bool {
	if j.done {
		return true
	}
	if behind && now-j.started < joinLimit {
		return false
	}
	// Without peers the service's word is all there is.
	enough := len(j.asked) >= min(joinPeers, peers) && (peers > 0 || j.service)
	waited := now-j.started >= joinGrace
	if holds && (enough || waited) {
		j.done = true
	}
	return j.done
}

// Confirmed tells whether enough peers were asked, for the operators' view: a
// process that became ready by waiting can only know what the service says.
func (j *Readiness) Confirmed() bool { return len(j.asked) >= joinPeers }
