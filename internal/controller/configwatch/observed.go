package configwatch

import (
	"slices"
	"strings"

	"filbertdeck/internal/configservice"
	"filbertdeck/internal/decide/rollout"
	"filbertdeck/internal/table"
)

// observedState is the configuration service's state as one reader has seen it:
// its values, and the versions of the documents derived from them.
type observedState struct {
	revision uint64
	values   map[string]configservice.Value
	// removedAt holds the service's revision at which a document last lost a
	// key. A removed key leaves no revision of its own.
	removedAt map[Section]uint64
	// operatorEpoch is the epoch that operators set in the service's table.
	operatorEpoch uint64
	// heads holds the versions of the documents as the service holds them.
	heads map[Section]rollout.Head
	// baseline holds the documents as they were when the service was first seen
	// behind; nil while it is not.
	baseline map[Section][]rollout.Row
}

func newObservedState() *observedState {
	return &observedState{values: map[string]configservice.Value{}, removedAt: map[Section]uint64{}, heads: map[Section]rollout.Head{}}
}

// observation is one document as the service holds it.
type observation struct {
	section Section
	delta   rollout.Delta
	// invalid is set when the document fails validation; delta.Version is
	// still usable then.
	invalid error
	// fullRead is set when the document was read as part of the whole state,
	// isRemoval when its version comes from the removal of a key.
	fullRead, isRemoval bool
	// droppedEntries counts the entries of a list that can't be used.
	droppedEntries configservice.DroppedEntries
}

// apply merges an answer into the observed state and returns the documents that
// it touches. The answer to a full read (a request for everything after
// revision 0) replaces the state.
func (o *observedState) apply(answer configservice.Response, fullRead bool) []Section {
	touched := map[Section]bool{}
	present := make(map[string]bool, len(answer.Keys))
	for _, key := range answer.Keys {
		present[key] = true
	}
	for key := range o.values {
		if present[key] {
			continue
		}
		delete(o.values, key)
		section, ok := sectionOf(key)
		touched[section] = ok
		// Only an uninterrupted watch proves that an edit removed the key. A
		// key that is missing from a full read may be missing because the
		// service was restored in between; that must not count as a new edit.
		if ok && !fullRead {
			o.removedAt[section] = answer.Revision
		}
	}
	if answer.Revision < o.revision {
		clear(o.removedAt)
		clear(o.heads)
		o.baseline = nil
	}
	for _, v := range answer.Values {
		o.values[v.Key] = v
		if section, ok := sectionOf(v.Key); ok {
			touched[section] = true
		}
	}
	o.revision = answer.Revision
	var sections []Section
	for _, section := range Sections {
		if touched[section] || fullRead {
			sections = append(sections, section)
		}
	}
	return sections
}

func sectionOf(key string) (Section, bool) {
	switch {
	case strings.HasPrefix(key, configservice.KeyTablePrefix):
		return SectionTable, true
	case key == configservice.KeyDrain:
		return SectionDrain, true
	case key == configservice.KeyHosts:
		return SectionHosts, true
	case key == configservice.KeyTargets:
		return SectionTargets, true
	}
	return "", false
}

// observations returns the touched documents as the service holds them. A
// change of the operator epoch touches all documents.
func (o *observedState) observations(touched []Section) []observation {
	var tables []observation
	if slices.Contains(touched, SectionTable) {
		if obs, ok := o.observeTable(); ok {
			tables = append(tables, obs)
			if obs.delta.Version.Epoch != o.operatorEpoch {
				o.operatorEpoch = obs.delta.Version.Epoch
				touched = Sections
			}
		}
	}
	var result []observation
	for _, name := range touched {
		if name == SectionTable {
			continue
		}
		if obs, ok := o.observeList(name); ok {
			result = append(result, obs)
		}
	}
	return append(result, tables...)
}

// tablePages returns the table's pages in the order of their keys, and the
// newest revision among them.
func (o *observedState) tablePages() ([][]byte, uint64) {
	var keys []string
	var newest uint64
	for k, v := range o.values {
		if strings.HasPrefix(k, configservice.KeyTablePrefix) {
			keys = append(keys, k)
			newest = max(newest, v.Revision)
		}
	}
	slices.Sort(keys)
	pages := make([][]byte, len(keys))
	for i, k := range keys {
		pages[i] = []byte(o.values[k].Content)
	}
	return pages, newest
}

// observeList returns a document other than the table; its epoch is the
// table's.
func (o *observedState) observeList(section Section) (observation, bool) {
	v, ok := o.values[string(section)]
	if !ok && o.removedAt[section] == 0 && (section != SectionDrain || o.operatorEpoch == 0) {
		// The service holds no value for this document. A missing drain list
		// means that nothing is drained only if operators have set an epoch.
		return observation{}, false
	}
	obs := observation{section: section}
	version := rollout.Version{Epoch: o.operatorEpoch, Revision: max(v.Revision, o.removedAt[section])}
	rows, dropped, err := parseRows(section, v.Content)
	obs.delta = fullDelta(version, rows)
	obs.isRemoval = o.removedAt[section] > v.Revision
	obs.droppedEntries = dropped
	obs.invalid = err
	return obs, true
}

func (o *observedState) observeTable() (observation, bool) {
	pages, newest := o.tablePages()
	obs := observation{section: SectionTable, isRemoval: o.removedAt[SectionTable] > newest}
	newest = max(newest, o.removedAt[SectionTable])
	if newest == 0 {
		return observation{}, false
	}
	parsed, problems := table.Parse(newest, pages)
	if err := problems.Err(); err != nil {
		obs.invalid = err
		obs.delta.Version = rollout.Version{Epoch: table.ParseEpoch(pages), Revision: newest}
		return obs, true
	}
	lines := parsed.EncodeRows()
	rows := make([]rollout.Row, len(lines))
	for i, line := range lines {
		rows[i] = rollout.Row(line)
	}
	obs.delta = fullDelta(rollout.Version{Epoch: parsed.Epoch, Revision: newest}, rows)
	return obs, true
}

func fullDelta(version rollout.Version, rows []rollout.Row) rollout.Delta {
	return rollout.Delta{
		Head: rollout.Head{Version: version, Digest: rollout.ComputeDigest(rows)}, Full: true, Rows: rows,
	}
}

func parseRows(section Section, text string) ([]rollout.Row, configservice.DroppedEntries, error) {
	switch section {
	case SectionDrain:
		return drainRows(configservice.ParseDrainList(text)), 0, nil
	case SectionHosts:
		hosts, dropped, err := configservice.ParseHosts(text)
		return toRows(hosts), dropped, err
	default:
		targets, dropped, err := configservice.ParseTargets(text)
		return toRows(targets), dropped, err
	}
}

func drainRows(names []string) []rollout.Row {
	slices.Sort(names)
	names = slices.Compact(names)
	rows := make([]rollout.Row, len(names))
	for i, name := range names {
		rows[i] = rollout.Row{Key: name, Text: name}
	}
	return rows
}

func toRows[T interface {
	Key() string
	Row() string
}](entries []T) []rollout.Row {
	rows := make([]rollout.Row, len(entries))
	for i, entry := range entries {
		rows[i] = rollout.Row{Key: entry.Key(), Text: entry.Row()}
	}
	return rows
}
