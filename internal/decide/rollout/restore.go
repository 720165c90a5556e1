package rollout

import "strings"

// This file handles a restore of the configuration service to an older state,
// after which operators continue to edit there. The service's revisions
// continue below the one in force. By the order of versions alone, new edits
// would wait until the service has counted past that revision, and would then
// bring the restored rows with them, so that accepted edits would revert.
//
// A stale replica looks the same at first, because its revision is lower too. A
// restore is proven when a known revision appears with different content: the
// service assigns each revision once, so a lagging replica only returns content
// that was seen before, and only a restored service can return other content
// under a known revision. After that proof, versions continue in a new lineage,
// and the rows that the restore lost are overlaid on the service's rows until
// operators change the respective row.

// maxHistoryRevisions limits the number of revisions in a history. At 20,000
// edits a day it covers five hours of edits before the restore.
const maxHistoryRevisions = 4096

// RevisionHistory records the content of each revision of the service, with the lineage
// that was current at the time.
type RevisionHistory struct {
	byRevision map[uint64][]revisionContent
	revisions  []uint64
}

type revisionContent struct {
	section string
	digest  uint64
	lineage uint64
}

// NewRevisionHistory returns an empty history.
func NewRevisionHistory() *RevisionHistory {
	return &RevisionHistory{byRevision: map[uint64][]revisionContent{}}
}

// Record records the content of a document at a version.
func (h *RevisionHistory) Record(section string, head Head) {
	recorded := revisionContent{section, head.Digest, head.Version.Epoch}
	contents := h.byRevision[head.Version.Revision]
	for _, content := range contents {
		if content == recorded {
			return
		}
	}
	if len(contents) == 0 {
		h.revisions = append(h.revisions, head.Version.Revision)
	}
	h.byRevision[head.Version.Revision] = append(contents, recorded)
	if len(h.revisions) > maxHistoryRevisions {
		delete(h.byRevision, h.revisions[0])
		h.revisions = h.revisions[1:]
	}
}

// Lineage returns the newest epoch in which this content was seen at the head's
// revision, which distinguishes a replica of an abandoned lineage from one of
// the current lineage. It returns false if the content was never seen.
func (h *RevisionHistory) Lineage(section string, head Head) (uint64, bool) {
	lineage, found := uint64(0), false
	for _, content := range h.byRevision[head.Version.Revision] {
		if content.section == section && content.digest == head.Digest {
			lineage, found = max(lineage, content.lineage), true
		}
	}
	return lineage, found
}

// ProvesRestore reports whether the head's revision is known in its lineage but only
// with other content, which proves that the service was restored.
func (h *RevisionHistory) ProvesRestore(section string, head Head) bool {
	differs := false
	for _, content := range h.byRevision[head.Version.Revision] {
		if content.lineage != head.Version.Epoch {
			continue
		}
		if content.section == section && content.digest == head.Digest {
			return false
		}
		differs = true
	}
	return differs
}

// PreservedRow is a row with an edit that a restore lost.
type PreservedRow struct {
	// Baseline is the row's text in the restored service.
	Baseline string
	// Text is the row's text that was in force.
	Text string
}

// Overlay holds the preserved rows of one document by key.
type Overlay map[string]PreservedRow

// LostEdits returns the rows in force that differ from those of the restored
// service.
func LostEdits(inForce, restored []Row) Overlay {
	out := Overlay{}
	for _, r := range inForce {
		out[r.Key] = PreservedRow{Text: r.Text}
	}
	for _, r := range restored {
		preserved := out[r.Key]
		preserved.Baseline = r.Text
		if preserved.Baseline == preserved.Text {
			delete(out, r.Key)
			continue
		}
		out[r.Key] = preserved
	}
	return out
}

// Apply applies the overlay to the service's rows and returns the resulting
// rows and the remaining overlay. A row whose text in the service differs from
// its baseline has been edited since the restore: the edit takes precedence,
// and the row is removed from the overlay for good, even if it is changed back
// later.
func (o Overlay) Apply(service []Row) ([]Row, Overlay) {
	remaining := Overlay{}
	rows := make([]Row, 0, len(service))
	listed := make(map[string]bool, len(service))
	for _, r := range service {
		listed[r.Key] = true
		if preserved, ok := o[r.Key]; ok && preserved.Baseline == r.Text {
			remaining[r.Key] = preserved
			r.Text = preserved.Text
		}
		if r.Text != "" {
			rows = append(rows, r)
		}
	}
	for key, preserved := range o {
		if !listed[key] && preserved.Baseline == "" {
			remaining[key] = preserved
			rows = append(rows, Row{key, preserved.Text})
		}
	}
	return rows, remaining
}

// overlaySeparator separates the parts of an overlay's row. Rows of documents
// do not contain this character.
const overlaySeparator = "\x00"

// EncodeOverlays encodes the overlays of several documents as the rows of one
// document, so that gossip distributes them like any other document.
func EncodeOverlays(overlays map[string]Overlay) []Row {
	var rows []Row
	for section, o := range overlays {
		for key, preserved := range o {
			rows = append(rows, Row{section + overlaySeparator + key, preserved.Baseline + overlaySeparator + preserved.Text})
		}
	}
	return rows
}

// DecodeOverlays decodes overlays from the rows of a document. Rows in another
// format are skipped.
func DecodeOverlays(rows []Row) map[string]Overlay {
	out := map[string]Overlay{}
	for _, r := range rows {
		section, key, keyOK := strings.Cut(r.Key, overlaySeparator)
		baseline, text, textOK := strings.Cut(r.Text, overlaySeparator)
		if !keyOK || !textOK {
			continue
		}
		if out[section] == nil {
			out[section] = Overlay{}
		}
		out[section][key] = PreservedRow{baseline, text}
	}
	return out
}
