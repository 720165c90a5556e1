package configwatch

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"filbertdeck/internal/decide/rollout"
)

// This file tracks the state of this process relative to its peers, which
// decides when it is ready, and relative to the configuration service.

// ConfirmedAt returns the latest time at which the host list is known to have
// been current.
func (s *Store) ConfirmedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hostsConfirmedAt
}

// SetPeerCount sets the number of other processes that this one can learn from.
func (s *Store) SetPeerCount(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerCount = n
}

// RecordPeerVersion records that a peer holds a version of a document.
func (s *Store) RecordPeerVersion(name Section, v rollout.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if doc, ok := s.docs[name]; ok && v.After(doc.newestAtPeers) {
		doc.newestAtPeers = v
	}
}

// isBehindPeers reports whether a peer holds a newer version of a document than
// the one in force here, other than a version that failed validation here.
func (s *Store) isBehindPeers() bool {
	for _, doc := range s.docs {
		if doc.newestAtPeers.After(doc.Head().Version) && doc.newestAtPeers != doc.Refused().Version {
			return true
		}
	}
	return false
}

// RecordSyncedPeer records that this process holds everything that a ready peer
// holds.
func (s *Store) RecordSyncedPeer(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.join.RecordPeer(address); s.join.Confirmed() && !s.peersConfirmed {
		s.peersConfirmed = true
		s.publishState()
	}
}

// UnsyncedPeers returns those of the peers whose documents still have to be
// fetched before the documents in force here count as confirmed by peers.
func (s *Store) UnsyncedPeers(peers []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.join.RemainingPeers(peers)
}

// IsReady reports whether this process may serve with the table in force. Once
// ready, it stays ready.
func (s *Store) IsReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready && s.join.Ready(s.now().Sub(s.startedAt), s.peerCount, s.table != nil, s.isBehindPeers()) {
		s.ready = true
		s.log.Info("ready", "peers_asked", s.join.Confirmed())
		s.publishState()
	}
	return s.ready
}

// recordAnswer evaluates an answer of the configuration service: it records
// whether the service is behind the documents in force here and, if it is not,
// confirms the host list as of requestedAt.
func (s *Store) recordAnswer(observed *observedState, requestedAt time.Time) {
	behind := s.isServiceBehind(observed)
	s.mu.Lock()
	if !behind {
		s.join.RecordService()
	}
	s.mu.Unlock()
	s.updateServiceState(func(state *ServiceState) {
		state.AnsweredAt, state.Revision, state.Behind, state.LastFailure = s.now(), observed.revision, behind, ""
	})
	if behind {
		s.metrics.GetOrRegister("configwatch.answers_behind", metrics.NewCounter).(metrics.Counter).Inc(1)
		return
	}
	s.ConfirmHosts(requestedAt)
}

// isServiceBehind reports whether the service's answer is older than the
// documents in force here, because it came from a stale replica or because the
// service was restored from a backup.
func (s *Store) isServiceBehind(observed *observedState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if observed.revision < s.newestRevisionIn(s.epochFor(observed.operatorEpoch)) {
		return true
	}
	for _, name := range Sections {
		if name == SectionKept {
			continue
		}
		local, remote := s.docs[name].Head(), observed.heads[name]
		if local.Version.After(remote.Version) && local.Digest != remote.Digest {
			return true
		}
	}
	return false
}

// updateServiceState changes the published state of the configuration service.
func (s *Store) updateServiceState(change func(*ServiceState)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.serviceState)
	s.publishState()
}
