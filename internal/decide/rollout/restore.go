package rollout

import "strings"

// This file answers one fault: the configuration service is restored to an
// older state, and operators go on editing there. Its revisions start again
// below the one in force, so by the order of versions alone the new edits
// would wait until the service has counted past it, and would then carry the
// restored rows along: accepted edits would revert.
//
// A stale replica looks the same at first: its revision is lower too. The
// difference is proven when a revision comes back with another content. The
// service gives each revision once; a replica that lags shows what was seen
// before, only a restored service can show something else under a known
// number. After the proof, versions continue in a new lineage, and what the
// restore lost is kept on top of the service's rows until operators change the
// row in question.

// maxHistory bounds the remembered revisions; at 20,000 edits a day it covers
// five hours of edits before the restore.
const maxHistory = 4096

// RevisionHistory remembers which content a revision of the service had, in the
// lineage that was current then.
type RevisionHistory struct {
	seen  map[uint64][]content
	order []uint64
}

type content struct {
	section string
	digest  uint64
	lineage uint64
}

// NewRevisionHistory returns an empty history.
func NewRevisionHistory() *RevisionHistory { return &RevisionHistory{seen: map[uint64][]content{}} }

// Record notes what a document held at a version.
func (h *RevisionHistory) Record(section string, head Head) {
	c := content{section, head.Digest, head.Version.Epoch}
	known := h.seen[head.Version.Revision]
	for _, k := range known {
		if k == c {
			return
		}
	}
	if len(known) == 0 {
		h.order = append(h.order, head.Version.Revision)
	}
	h.seen[head.Version.Revision] = append(known, c)
	if len(h.order) > maxHistory {
		delete(h.seen, h.order[0])
		h.order = h.order[1:]
	}
}

// Lineage gives the epoch in which this very content was seen at the head's
// revision, so that a replica of an abandoned lineage is told from the current
// one; false when it was never seen.
func (h *RevisionHistory) Lineage(section string, head Head) (uint64, bool) {
	newest, found := uint64(0), false
	for _, k := range h.seen[head.Version.Revision] {
		if k.section == section && k.digest == head.Digest {
			newest, found = max(newest, k.lineage), true
		}
	}
	return newest, found
}

// ProvesRestore tells whether the head's revision is known in its lineage with
// another content than this, which proves that the service was restored.
func (h *RevisionHistory) ProvesRestore(section string, head Head) bool {
	other := false
	for _, k := range h.seen[head.Version.Revision] {
		if k.lineage != head.Version.Epoch {
			continue
		}
		if k.section == section && k.digest == head.Digest {
			return false
		}
		other = true
	}
	return other
}

// PreservedRow is a row whose edit a restore lost.
type PreservedRow struct {
	// Baseline is the row as the restored service has it.
	Baseline string
	// Text is the row as it was in force.
	Text string
}

// Overlay holds the kept rows of one document by key.
type Overlay map[string]PreservedRow

// LostEdits gives the rows in force that differ from the restored service's.
func LostEdits(inForce, restored []Row) Overlay {
	out := Overlay{}
	for _, r := range inForce {
		out[r.Key] = PreservedRow{Text: r.Text}
	}
	for _, r := range restored {
		k := out[r.Key]
		k.Baseline = r.Text
		if k.Baseline == k.Text {
			delete(out, r.Key)
			continue
		}
		out[r.Key] = k
	}
	return out
}

// Apply lays the kept rows over the service's. A row that the service shows
// other than at the restore has been edited since: there the edit counts, and
// the row is no longer kept, also if it is changed back later.
func (o Overlay) Apply(service []Row) ([]Row, Overlay) {
	left := Overlay{}
	rows := make([]Row, 0, len(service))
	named := make(map[string]bool, len(service))
	for _, r := range service {
		named[r.Key] = true
		if k, ok := o[r.Key]; ok && k.Baseline == r.Text {
			left[r.Key] = k
			r.Text = k.Text
		}
		if r.Text != "" {
			rows = append(rows, r)
		}
	}
	for key, k := range o {
		if !named[key] && k.Baseline == "" {
			left[key] = k
			rows = append(rows, Row{key, k.Text})
		}
	}
	return rows, left
}

// overlaySeparator stands between the parts of an overlay's row; documents'
// rows hold no such character.
const overlaySeparator = "\x00"

// EncodeOverlays gives the overlays of several documents as one document's rows,
// so that gossip carries them like any other.
func EncodeOverlays(overlays map[string]Overlay) []Row {
	var rows []Row
	for section, o := range overlays {
		for key, k := range o {
			rows = append(rows, Row{section + overlaySeparator + key, k.Baseline + overlaySeparator + k.Text})
		}
	}
	return rows
}

// DecodeOverlays reads what OverlayRows wrote; rows that are none are left out.
func DecodeOverlays(rows []Row) map[string]Overlay {
	out := map[string]Overlay{}
	for _, r := range rows {
		section, key, ok := strings.Cut(r.Key, overlaySeparator)
		baseline, text, ok2 := strings.Cut(r.Text, overlaySeparator)
		if !ok || !ok2 {
			continue
		}
		if out[section] == nil {
			out[section] = Overlay{}
		}
		out[section][key] = PreservedRow{baseline, text}
	}
	return out
}
