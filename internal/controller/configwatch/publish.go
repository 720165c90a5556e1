package configwatch

import (
	"maps"
	"slices"

	"filbertdeck/internal/configservice"
	"filbertdeck/internal/table"
)

// publish updates the blackboard sections that a document's new version
// affects.
func (s *Store) publish(name Section) {
	switch name {
	case SectionHosts:
		s.sortHosts()
		s.publishHosts()
	case SectionTargets:
		s.publishTargets()
		s.publishTable()
	case SectionDrain, SectionTable:
		s.publishTable()
	}
	s.publishState()
	s.notifyChanged()
}

// sortHosts rebuilds the sorted list of hosts after a change.
func (s *Store) sortHosts() {
	s.sortedHosts = make([]configservice.Host, 0, len(s.hosts))
	for _, key := range slices.Sorted(maps.Keys(s.hosts)) {
		s.sortedHosts = append(s.sortedHosts, s.hosts[key])
	}
}

// publishHosts is called with each confirmation, about once a second; snapshots
// share the list itself.
func (s *Store) publishHosts() {
	s.writers.hosts.Publish(&Hosts{
		Version: s.docs[SectionHosts].Head().Version, List: s.sortedHosts, ConfirmedAt: s.hostsConfirmedAt,
	})
}

// publishTargets also stores the targets in the table's representation, so that
// an edit of the table does not have to convert 10,000 targets again.
func (s *Store) publishTargets() {
	byService := map[string][]configservice.Target{}
	s.tableTargets = map[string][]table.Target{}
	for _, key := range slices.Sorted(maps.Keys(s.targets)) {
		target := s.targets[key]
		byService[target.Service] = append(byService[target.Service], target)
		s.tableTargets[target.Service] = append(s.tableTargets[target.Service], table.Target{
			Address: target.Address, DataCentre: target.DataCentre, Leaving: target.State == configservice.StateLeaving,
		})
	}
	s.writers.targets.Publish(&Targets{Version: s.docs[SectionTargets].Head().Version, ByService: byService})
}

// publishTable merges the drain list and the targets into the table, so that
// one snapshot shows one consistent state.
func (s *Store) publishTable() {
	if s.table == nil {
		return
	}
	var drained []string
	for _, r := range s.docs[SectionDrain].Rows() {
		drained = append(drained, r.Key)
	}
	s.writers.table.Publish(s.table.WithDrainAndTargets(drained, s.tableTargets))
}

func (s *Store) publishState() {
	state := &State{Service: s.serviceState, Ready: s.ready, PeersConfirmed: s.join.Confirmed()}
	for _, name := range Sections {
		doc := s.docs[name]
		state.Documents = append(state.Documents, DocumentState{
			Section: name, Head: doc.Head(), Rows: doc.Len(), InForceSince: doc.inForceSince, LatestRefusal: doc.Refused(),
		})
	}
	s.writers.rollout.Publish(state)
}
