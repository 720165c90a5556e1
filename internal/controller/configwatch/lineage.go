package configwatch

import (
	"slices"

	"github.com/rcrowley/go-metrics"

	"filbertdeck/internal/decide/rollout"
)

// protected are the documents that operators edit: what a restore of the
// service loses of them is kept. The lists of hosts and targets are the
// platform's own, and newer ones replace what was lost.
var protected = []Section{SectionTable, SectionDrain}

// place gives an observation its place in the order of versions, and returns
// the deltas to offer for it. See internal/decide/rollout/restore.go for the
// restores that it recognises.
func (s *Store) place(seen *reading, obs observation) []placed {
	s.mu.Lock()
	defer s.mu.Unlock()
	operators := obs.delta.Version.Epoch
	epoch := s.epochFor(operators)
	obs.delta.Version.Epoch = epoch
	if obs.fault != nil {
		return []placed{{obs.section, obs.delta}}
	}
	raw := obs.delta.Head
	lineage, known := s.history.Lineage(string(obs.section), raw)
	restated := slices.Contains(protected, obs.section) && rollout.Version{Epoch: lineage}.OperatorEpoch() < operators
	if known && lineage < epoch && !restated {
		// A replica that still shows the lineage from before a restore. What
		// operators keep is stated anew by raising the epoch; the platform's
		// lists are not, a restored service's are older than those in force.
		obs.delta.Version.Epoch = lineage
		return []placed{{obs.section, obs.delta}}
	}
	newest := s.newestIn(epoch)
	if !known && seen.revision <= newest && s.recognise(seen, obs, raw) {
		raw.Version.Epoch++
		known = true
	}
	if !obs.removal && (known || seen.revision >= newest) {
		// What a service that is behind shows may belong to another lineage.
		s.history.Record(string(obs.section), raw)
	}
	return s.resolve(obs, raw.Version)
}

// placed is a delta that is ready to be offered.
type placed struct {
	section Section
	delta   rollout.Delta
}

// epochFor gives the epoch of an observation with the operators' number.
func (s *Store) epochFor(operators uint64) uint64 {
	newest := rollout.Version{}
	for _, d := range s.docs {
		if v := d.Head().Version; v.After(newest) {
			newest = v
		}
	}
	if newest.OperatorEpoch() == operators {
		return newest.Epoch
	}
	return rollout.CombineEpoch(operators, 0)
}

// newestIn gives the newest revision in force within an epoch.
func (s *Store) newestIn(epoch uint64) uint64 {
	var newest uint64
	for _, d := range s.docs {
		if v := d.Head().Version; v.Epoch == epoch {
			newest = max(newest, v.Revision)
		}
	}
	return newest
}

// recognise tells whether an observation made while the service is behind
// proves that it was restored; if so it works out what the restore lost. Only
// what changed under an uninterrupted watch counts, against the state in which
// the service was first seen after its revision fell.
func (s *Store) recognise(seen *reading, obs observation, raw rollout.Head) bool {
	if obs.whole || obs.removal || seen.base == nil || !s.history.ProvesRestore(string(obs.section), raw) {
		return false
	}
	s.overlays = map[string]rollout.Overlay{}
	kept := 0
	for _, p := range protected {
		o := rollout.LostEdits(s.docs[p].Rows(), seen.base[p])
		s.overlays[string(p)] = o
		kept += len(o)
	}
	s.overlayEpoch = raw.Version.Epoch + 1
	s.metrics.GetOrRegister("configwatch.restores_recognised", metrics.NewCounter).(metrics.Counter).Inc(1)
	s.log.Warn("configuration service was restored", "revision", raw.Version.Revision, "rows_kept", kept)
	return true
}

// resolve lays what restores lost over the service's rows.
func (s *Store) resolve(obs observation, v rollout.Version) []placed {
	delta := whole(v, obs.delta.Rows)
	overlays := s.overlaysIn(v.Epoch)
	o := overlays[string(obs.section)]
	if len(overlays) == 0 {
		return append(s.dropKept(v), placed{obs.section, delta})
	}
	rows, left := o.Apply(obs.delta.Rows)
	out := []placed{}
	if len(left) != len(o) || s.docs[SectionKept].Head().Version.Epoch < v.Epoch {
		next := map[string]rollout.Overlay{}
		for name, other := range overlays {
			next[name] = other
		}
		next[string(obs.section)] = left
		out = append(out, placed{SectionKept, whole(v, rollout.EncodeOverlays(next))})
	}
	return append(out, placed{obs.section, whole(v, rows)})
}

// overlaysIn gives the kept rows that hold in an epoch: those just worked out,
// or those in force, which peers may have brought.
func (s *Store) overlaysIn(epoch uint64) map[string]rollout.Overlay {
	kept := s.docs[SectionKept]
	if kept.Head().Version.Epoch == epoch {
		return rollout.DecodeOverlays(kept.Rows())
	}
	if s.overlayEpoch == epoch {
		return s.overlays
	}
	return nil
}

// dropKept ends the kept rows of an earlier epoch: operators raised theirs and
// so stand by the service's rows as they are.
func (s *Store) dropKept(v rollout.Version) []placed {
	kept := s.docs[SectionKept]
	if kept.Len() == 0 || kept.Head().Version.Epoch >= v.Epoch {
		return nil
	}
	return []placed{{SectionKept, whole(v, nil)}}
}

// remember keeps the state in which the service was first seen behind, as the
// baseline of edits that follow.
func (s *Store) remember(seen *reading, rows map[Section][]rollout.Row) {
	s.mu.Lock()
	behind := seen.revision < s.newestIn(s.epochFor(seen.epoch))
	s.mu.Unlock()
	switch {
	case !behind:
		seen.base = nil
	case seen.base == nil && len(rows) > 0:
		seen.base = rows
	}
}
