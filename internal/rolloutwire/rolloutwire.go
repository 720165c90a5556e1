// Package rolloutwire translates documents between the types that decide and
// the messages that hosts exchange.
package rolloutwire

import (
	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/decide/rollout"
)

// ToHead gives the message of a head; section names the document where a
// message carries heads of several.
func ToHead(section string, h rollout.Head) *filbertv1.DocumentHead {
	return &filbertv1.DocumentHead{
		Section: section, Epoch: h.Version.Epoch, Revision: h.Version.Revision, Digest: h.Digest,
	}
}

// FromHead reads a head; a missing one is that of no document.
func FromHead(h *filbertv1.DocumentHead) rollout.Head {
	return rollout.Head{
		Version: rollout.Version{Epoch: h.GetEpoch(), Revision: h.GetRevision()}, Digest: h.GetDigest(),
	}
}

// ToDelta gives the message of a delta.
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

// FromDelta reads a delta.
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
