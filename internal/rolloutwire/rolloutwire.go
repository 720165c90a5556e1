// Package rolloutwire converts between the document types of
// internal/decide/rollout and the protobuf messages that hosts exchange.
package rolloutwire

import (
	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/decide/rollout"
)

// ToHead converts a head to its message. section names the document, for
// messages that contain the heads of several documents.
func ToHead(section string, h rollout.Head) *filbertv1.DocumentHead {
	return &filbertv1.DocumentHead{
		Section: section, Epoch: h.Version.Epoch, Revision: h.Version.Revision, Digest: h.Digest,
	}
}

// FromHead converts a message to a head. A nil message gives the zero head,
// which stands for no document.
func FromHead(h *filbertv1.DocumentHead) rollout.Head {
	return rollout.Head{
		Version: rollout.Version{Epoch: h.GetEpoch(), Revision: h.GetRevision()}, Digest: h.GetDigest(),
	}
}

// ToDelta converts a delta to its message.
func ToDelta(section string, d rollout.Delta) *filbertv1.DocumentDelta {
	out := &filbertv1.DocumentDelta{
		Head: ToHead(section, d.Head), FromEpoch: d.From.Epoch, FromRevision: d.From.Revision, Full: d.Full,
		Rows: make([]*filbertv1.Row, len(d.Rows)),
	}
	for i, r := range d.Rows {
		out.Rows[i] = &filbertv1.Row{Key: r.Key, Text: r.Text}
	}
	return out
}

// FromDelta converts a message to a delta.
func FromDelta(d *filbertv1.DocumentDelta) rollout.Delta {
	out := rollout.Delta{
		From: rollout.Version{Epoch: d.GetFromEpoch(), Revision: d.GetFromRevision()},
		Head: FromHead(d.GetHead()), Full: d.GetFull(), Rows: make([]rollout.Row, len(d.GetRows())),
	}
	for i, r := range d.GetRows() {
		out.Rows[i] = rollout.Row{Key: r.GetKey(), Text: r.GetText()}
	}
	return out
}
