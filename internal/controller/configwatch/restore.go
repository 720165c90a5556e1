package configwatch

import (
	"slices"

	"github.com/rcrowley/go-metrics"

	"filbertdeck/internal/decide/rollout"
)

// operatorSections lists the documents that operators edit. Rows of them that a
// restore of the service loses stay in force. The lists of hosts and targets
// come from the platform, whose newer lists replace what was lost.
var operatorSections = []Section{SectionTable, SectionDrain}

// assignVersion assigns an observation its place in the order of versions, and
// returns the deltas to apply for it. internal/decide/rollout/restore.go
// describes how restores are detected.
func (s *Store) assignVersion(observed *observedState, obs observation) []sectionDelta {
	s.mu.Lock()
	defer s.mu.Unlock()
	operatorEpoch := obs.delta.Version.Epoch
	epoch := s.epochFor(operatorEpoch)
	obs.delta.Version.Epoch = epoch
	if obs.invalid != nil {
		return []sectionDelta{{obs.section, obs.delta}}
	}
	observedHead := obs.delta.Head
	lineage, known := s.history.Lineage(string(obs.section), observedHead)
	epochRaised := slices.Contains(operatorSections, obs.section) && rollout.Version{Epoch: lineage}.OperatorEpoch() < operatorEpoch
	if known && lineage < epoch && !epochRaised {
		// A replica that still serves the state from before a restore. When
		// operators raise the epoch, the documents that they edit take the new
		// epoch even if their rows did not change. The platform's lists do not:
		// those of a restored service are older than the ones in force.
		obs.delta.Version.Epoch = lineage
		return []sectionDelta{{obs.section, obs.delta}}
	}
	newestRevision := s.newestRevisionIn(epoch)
	if !known && observed.revision <= newestRevision && s.detectRestore(observed, obs, observedHead) {
		observedHead.Version.Epoch++
		known = true
	}
	if !obs.isRemoval && (known || observed.revision >= newestRevision) {
		// While the service is behind, its answers may come from before or
		// after a restore, so they are not recorded.
		s.history.Record(string(obs.section), observedHead)
	}
	return s.mergeLostRows(obs, observedHead.Version)
}

// sectionDelta is a delta of one document that is ready to be applied.
type sectionDelta struct {
	section Section
	delta   rollout.Delta
}

// epochFor returns the full epoch, which includes the count of restores, for an
// observation that carries the given operator epoch.
func (s *Store) epochFor(operatorEpoch uint64) uint64 {
	newest := rollout.Version{}
	for _, doc := range s.docs {
		if v := doc.Head().Version; v.After(newest) {
			newest = v
		}
	}
	if newest.OperatorEpoch() == operatorEpoch {
		return newest.Epoch
	}
	return rollout.CombineEpoch(operatorEpoch, 0)
}

// newestRevisionIn returns the newest revision in force within an epoch.
func (s *Store) newestRevisionIn(epoch uint64) uint64 {
	var newestRevision uint64
	for _, doc := range s.docs {
		if v := doc.Head().Version; v.Epoch == epoch {
			newestRevision = max(newestRevision, v.Revision)
		}
	}
	return newestRevision
}

// detectRestore reports whether an observation made while the service is behind
// proves that it was restored. If so, it computes the rows that the restore
// lost. Only changes seen by an uninterrupted watch count; they are compared
// with the state in which the service was first seen after its revision went
// back.
func (s *Store) detectRestore(observed *observedState, obs observation, observedHead rollout.Head) bool {
	if obs.fullRead || obs.isRemoval || observed.baseline == nil || !s.history.ProvesRestore(string(obs.section), observedHead) {
		return false
	}
	s.overlays = map[string]rollout.Overlay{}
	keptRows := 0
	for _, section := range operatorSections {
		overlay := rollout.LostEdits(s.docs[section].Rows(), observed.baseline[section])
		s.overlays[string(section)] = overlay
		keptRows += len(overlay)
	}
	s.overlaysEpoch = observedHead.Version.Epoch + 1
	s.metrics.GetOrRegister("configwatch.restores_recognised", metrics.NewCounter).(metrics.Counter).Inc(1)
	s.log.Warn("configuration service was restored", "revision", observedHead.Version.Revision, "rows_kept", keptRows)
	return true
}

// mergeLostRows adds the rows that restores lost to the service's rows.
func (s *Store) mergeLostRows(obs observation, version rollout.Version) []sectionDelta {
	delta := fullDelta(version, obs.delta.Rows)
	overlays := s.overlaysIn(version.Epoch)
	overlay := overlays[string(obs.section)]
	if len(overlays) == 0 {
		return append(s.clearKeptRows(version), sectionDelta{obs.section, delta})
	}
	rows, remaining := overlay.Apply(obs.delta.Rows)
	deltas := []sectionDelta{}
	if len(remaining) != len(overlay) || s.docs[SectionKept].Head().Version.Epoch < version.Epoch {
		updated := map[string]rollout.Overlay{}
		for name, other := range overlays {
			updated[name] = other
		}
		updated[string(obs.section)] = remaining
		deltas = append(deltas, sectionDelta{SectionKept, fullDelta(version, rollout.EncodeOverlays(updated))})
	}
	return append(deltas, sectionDelta{obs.section, fullDelta(version, rows)})
}

// overlaysIn returns the kept rows that apply in an epoch: those just computed
// here, or those in force, which may have come from peers.
func (s *Store) overlaysIn(epoch uint64) map[string]rollout.Overlay {
	kept := s.docs[SectionKept]
	if kept.Head().Version.Epoch == epoch {
		return rollout.DecodeOverlays(kept.Rows())
	}
	if s.overlaysEpoch == epoch {
		return s.overlays
	}
	return nil
}

// clearKeptRows returns the delta that removes the kept rows of an earlier
// epoch. Operators who raise the epoch accept the service's rows as they are.
func (s *Store) clearKeptRows(version rollout.Version) []sectionDelta {
	kept := s.docs[SectionKept]
	if kept.Len() == 0 || kept.Head().Version.Epoch >= version.Epoch {
		return nil
	}
	return []sectionDelta{{SectionKept, fullDelta(version, nil)}}
}

// updateBaseline keeps the state in which the service was first seen behind;
// later edits are compared with it. It clears the baseline once the service has
// caught up.
func (s *Store) updateBaseline(observed *observedState, rows map[Section][]rollout.Row) {
	s.mu.Lock()
	behind := observed.revision < s.newestRevisionIn(s.epochFor(observed.operatorEpoch))
	s.mu.Unlock()
	switch {
	case !behind:
		observed.baseline = nil
	case observed.baseline == nil && len(rows) > 0:
		observed.baseline = rows
	}
}
