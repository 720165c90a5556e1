package configwatch

import (
	"maps"
	"slices"

	"filbertdeck/internal/platform"
	"filbertdeck/internal/table"
)

// publish puts what a document's new version changes on the blackboard.
func (s *Store) publish(name Section) {
	switch name {
	case SectionHosts:
		s.publishHosts()
	case SectionTargets:
		s.out.targets.Publish(s.targetsSnapshot())
		s.publishTable()
	case SectionDrain, SectionTable:
		s.publishTable()
	}
	s.publishState()
	s.wake()
}

func (s *Store) publishHosts() {
	list := make([]platform.Host, 0, len(s.hosts))
	for _, k := range slices.Sorted(maps.Keys(s.hosts)) {
		list = append(list, s.hosts[k])
	}
	s.out.hosts.Publish(&Hosts{
		Version: s.docs[SectionHosts].Head().Version, List: list, ConfirmedAt: s.confirmed,
	})
}

func (s *Store) targetsSnapshot() *Targets {
	by := map[string][]platform.Target{}
	for _, k := range slices.Sorted(maps.Keys(s.targets)) {
		t := s.targets[k]
		by[t.Service] = append(by[t.Service], t)
	}
	return &Targets{Version: s.docs[SectionTargets].Head().Version, ByService: by}
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
	targets := map[string][]table.Target{}
	for _, k := range slices.Sorted(maps.Keys(s.targets)) {
		t := s.targets[k]
		targets[t.Service] = append(targets[t.Service], table.Target{
			Address: t.Address, DataCentre: t.DataCentre, Leaving: t.State == platform.StateLeaving,
		})
	}
	s.out.table.Publish(s.table.With(drained, targets))
}

func (s *Store) publishState() {
	state := &State{Service: s.service, Ready: s.ready, PeersAsked: s.join.Confirmed()}
	for _, name := range Sections {
		d := s.docs[name]
		state.Documents = append(state.Documents, DocumentState{
			Section: name, Head: d.Head(), Rows: d.Len(), Since: d.since, Refused: d.Refused(),
		})
	}
	s.out.rollout.Publish(state)
}
