package configwatch

import (
	"slices"
	"strings"

	"filbertdeck/internal/configservice"
	"filbertdeck/internal/decide/rollout"
	"filbertdeck/internal/table"
)

// reading is what one reader has seen of the configuration service: its
// values, and from them the documents with their versions.
type reading struct {
	revision uint64
	values   map[string]configservice.Value
	// removed is the store's revision at which a document last lost a key. A
	// key that goes leaves no revision of its own behind.
	removed map[Section]uint64
	// epoch is the operators', as the service's table carries it.
	epoch uint64
	// heads are the documents' versions as the service holds them.
	heads map[Section]rollout.Head
	// base holds the documents as they were when the service was first seen
	// behind; nil while it is not.
	base map[Section][]rollout.Row
}

func newReading() *reading {
	return &reading{values: map[string]configservice.Value{}, removed: map[Section]uint64{}, heads: map[Section]rollout.Head{}}
}

// observation is one document as the service holds it.
type observation struct {
	section Section
	delta   rollout.Delta
	// fault is set when the document fails validation; delta.Version stands.
	fault error
	// whole is set when it was read as part of everything, removal when its
	// version comes from a key that went.
	whole, removal bool
	// dropped counts entries of a list that can't be used.
	dropped configservice.Dropped
}

// take works an answer in. A whole answer (asked for after 0) replaces what
// was seen; it tells which documents are touched.
func (r *reading) take(a configservice.Answer, whole bool) []Section {
	touched := map[Section]bool{}
	present := make(map[string]bool, len(a.Keys))
	for _, k := range a.Keys {
		present[k] = true
	}
	for k := range r.values {
		if present[k] {
			continue
		}
		delete(r.values, k)
		section, ok := sectionOf(k)
		touched[section] = ok
		// Only a watch without interruption shows that an edit removed the key.
		// A key that is missing from a whole reading may be missing because the
		// service was restored meanwhile; that must not look like a new edit.
		if ok && !whole {
			r.removed[section] = a.Revision
		}
	}
	if a.Revision < r.revision {
		clear(r.removed)
		clear(r.heads)
		r.base = nil
	}
	for _, v := range a.Values {
		r.values[v.Key] = v
		if section, ok := sectionOf(v.Key); ok {
			touched[section] = true
		}
	}
	r.revision = a.Revision
	var out []Section
	for _, s := range Sections {
		if touched[s] || whole {
			out = append(out, s)
		}
	}
	return out
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

// observe gives the touched documents as the service holds them. A change of
// epoch touches all of them.
func (r *reading) observe(touched []Section) []observation {
	var tables []observation
	if slices.Contains(touched, SectionTable) {
		if obs, ok := r.observeTable(); ok {
			tables = append(tables, obs)
			if obs.delta.Version.Epoch != r.epoch {
				r.epoch = obs.delta.Version.Epoch
				touched = Sections
			}
		}
	}
	var out []observation
	for _, name := range touched {
		if name == SectionTable {
			continue
		}
		if obs, ok := r.observeList(name); ok {
			out = append(out, obs)
		}
	}
	return append(out, tables...)
}

// pages gives the table's pages in the order of their keys and the newest
// revision among them.
func (r *reading) pages() ([][]byte, uint64) {
	var keys []string
	var newest uint64
	for k, v := range r.values {
		if strings.HasPrefix(k, configservice.KeyTablePrefix) {
			keys = append(keys, k)
			newest = max(newest, v.Revision)
		}
	}
	slices.Sort(keys)
	pages := make([][]byte, len(keys))
	for i, k := range keys {
		pages[i] = []byte(r.values[k].Text)
	}
	return pages, newest
}

// observeList gives a document other than the table; its epoch is the table's.
func (r *reading) observeList(section Section) (observation, bool) {
	v, ok := r.values[string(section)]
	if !ok && r.removed[section] == 0 && (section != SectionDrain || r.epoch == 0) {
		// Nothing was said. Only under an epoch of the operators does a drain
		// list that is not there mean that nothing is drained.
		return observation{}, false
	}
	obs := observation{section: section}
	version := rollout.Version{Epoch: r.epoch, Revision: max(v.Revision, r.removed[section])}
	rows, dropped, err := rowsOf(section, v.Text)
	obs.delta = whole(version, rows)
	obs.removal = r.removed[section] > v.Revision
	obs.dropped = dropped
	obs.fault = err
	return obs, true
}

func (r *reading) observeTable() (observation, bool) {
	pages, newest := r.pages()
	obs := observation{section: SectionTable, removal: r.removed[SectionTable] > newest}
	newest = max(newest, r.removed[SectionTable])
	if newest == 0 {
		return observation{}, false
	}
	parsed, faults := table.Parse(newest, pages)
	if err := faults.Err(); err != nil {
		obs.fault = err
		obs.delta.Version = rollout.Version{Epoch: table.EpochOf(pages), Revision: newest}
		return obs, true
	}
	lines := parsed.Lines()
	rows := make([]rollout.Row, len(lines))
	for i, l := range lines {
		rows[i] = rollout.Row(l)
	}
	obs.delta = whole(rollout.Version{Epoch: parsed.Epoch, Revision: newest}, rows)
	return obs, true
}

func whole(version rollout.Version, rows []rollout.Row) rollout.Delta {
	return rollout.Delta{
		Head: rollout.Head{Version: version, Digest: rollout.ComputeDigest(rows)}, Full: true, Rows: rows,
	}
}

func rowsOf(section Section, text string) ([]rollout.Row, configservice.Dropped, error) {
	switch section {
	case SectionDrain:
		return drainRows(configservice.ParseDrain(text)), 0, nil
	case SectionHosts:
		hosts, dropped, err := configservice.ParseHosts(text)
		return keyed(hosts), dropped, err
	default:
		targets, dropped, err := configservice.ParseTargets(text)
		return keyed(targets), dropped, err
	}
}

func drainRows(names []string) []rollout.Row {
	slices.Sort(names)
	names = slices.Compact(names)
	rows := make([]rollout.Row, len(names))
	for i, n := range names {
		rows[i] = rollout.Row{Key: n, Text: n}
	}
	return rows
}

func keyed[T interface {
	Key() string
	Row() string
}](entries []T) []rollout.Row {
	rows := make([]rollout.Row, len(entries))
	for i, e := range entries {
		rows[i] = rollout.Row{Key: e.Key(), Text: e.Row()}
	}
	return rows
}
