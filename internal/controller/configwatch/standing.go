package configwatch

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"filbertdeck/internal/decide/rollout"
)

// This file keeps where this process stands: against its peers, until it is
// ready, and against the configuration service.

// ConfirmedAt gives the latest time at which the host list was confirmed.
func (s *Store) ConfirmedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed
}

// Peers says how many other processes there are to learn from.
func (s *Store) Peers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = n
}

// Announced notes that a peer holds a version.
func (s *Store) Announced(name Section, v rollout.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if doc, ok := s.docs[name]; ok && v.After(doc.announced) {
		doc.announced = v
	}
}

// lacks tells whether a peer holds a version newer than the one in force here
// that was not refused here.
func (s *Store) lacks() bool {
	for _, doc := range s.docs {
		if doc.announced.After(doc.Head().Version) && doc.announced != doc.Refused().Version {
			return true
		}
	}
	return false
}

// PeerTaken notes that everything that a ready peer holds was taken over.
func (s *Store) PeerTaken(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.join.RecordPeer(address); s.join.Confirmed() && !s.asked {
		s.asked = true
		s.publishState()
	}
}

// Unasked gives those of some peers whose documents are still to be taken over
// before what is in force here counts as vouched for.
func (s *Store) Unasked(peers []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.join.RemainingPeers(peers)
}

// IsReady tells whether this process may serve with the table in force.
func (s *Store) IsReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready && s.join.Ready(s.now().Sub(s.start), s.peers, s.table != nil, s.lacks()) {
		s.ready = true
		s.log.Info("ready", "peers_asked", s.join.Confirmed())
		s.publishState()
	}
	return s.ready
}

// answered notes what the configuration service's answer shows: whether it is
// behind what is in force here, and if not, that the host list is confirmed.
func (s *Store) answered(seen *reading, asked time.Time) {
	behind := s.behind(seen)
	s.mu.Lock()
	if !behind {
		s.join.RecordService()
	}
	s.mu.Unlock()
	s.setService(func(st *ServiceState) {
		st.AnsweredAt, st.Revision, st.Behind, st.LastFailure = s.now(), seen.revision, behind, ""
	})
	if behind {
		s.metrics.GetOrRegister("configwatch.answers_behind", metrics.NewCounter).(metrics.Counter).Inc(1)
		return
	}
	s.Confirmed(asked)
}

// behind tells whether the service answers from a state older than what is in
// force here: a stale replica, or one that was restored.
func (s *Store) behind(seen *reading) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if seen.revision < s.newestIn(s.epochFor(seen.epoch)) {
		return true
	}
	for _, name := range Sections {
		if name == SectionKept {
			continue
		}
		ours, theirs := s.docs[name].Head(), seen.heads[name]
		if ours.Version.After(theirs.Version) && ours.Digest != theirs.Digest {
			return true
		}
	}
	return false
}

// setService changes what is shown of the service.
func (s *Store) setService(change func(*ServiceState)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.service)
	s.publishState()
}
