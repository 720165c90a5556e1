package configwatch

import (
	"maps"
	"slices"

	"filbertdeck/internal/configservice"
	"filbertdeck/internal/table"
)

// publish puts what a document's new version changes on the blackboard.
func (s *Store) publish(name Section) {
	switch name {
	case SectionHosts:
		s.listHosts()
		s.publishHosts()
	case SectionTargets:
		s.publishTargets()
		s.publishTable()
	case SectionDrain, SectionTable:
		s.publishTable()
	}
	s.publishState()
	s.wake()
}

// listHosts puts the list of hosts in order after a change.
func (s *Store) listHosts() {
	s.hostList = make([]configservice.Host, 0, len(s.hosts))
	for _, k := range slices.Sorted(maps.Keys(s.hosts)) {
		s.hostList = append(s.hostList, s.hosts[k])
	}
}

// publishHosts is called with each confirmation, about once a second; the list
// itself is shared between snapshots.
func (s *Store) publishHosts() {
	s.out.hosts.Publish(&Hosts{
		Version: s.docs[SectionHosts].Head().Version, List: s.hostList, ConfirmedAt: s.confirmed,
	})
}

// publishTargets keeps the targets in the table's form as well, so that an
// edit of the table does not work through 10,000 of them again.
func (s *Store) publishTargets() {
	by := map[string][]configservice.Target{}
	s.tableTargets = map[string][]table.Target{}
	for _, k := range slices.Sorted(maps.Keys(s.targets)) {
		t := s.targets[k]
		by[t.Service] = append(by[t.Service], t)
		s.tableTargets[t.Service] = append(s.tableTargets[t.Service], table.Target{
			Address: t.Address, DataCentre: t.DataCentre, Leaving: t.State == configservice.StateLeaving,
		})
	}
	s.out.targets.Publish(&Targets{Version: s.docs[SectionTargets].Head().Version, ByService: by})
}

// publishTable merges drain list and targets into the table, so that a reader
// of one snapshot sees one state.
func (s *Store) publishTable() {
	if s.table == nil {
		return
	}
	var drained []string
	for _, r := range s.docs[SectionDrain].Rows() {
		drained = append(drained, r.Key)
	}
	s.out.table.Publish(s.table.With(drained, s.tableTargets))
}

func (s *Store) publishState() {
	state := &State{Service: s.service, Ready: s.ready, PeersConfirmed: s.join.Confirmed()}
	for _, name := range Sections {
		d := s.docs[name]
		state.Documents = append(state.Documents, DocumentState{
			Section: name, Head: d.Head(), Rows: d.Len(), InForceSince: d.since, LatestRefusal: d.Refused(),
		})
	}
	s.out.rollout.Publish(state)
}
