package gossip

import (
	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/controller/configwatch"
	"filbertdeck/internal/decide/membership"
	"filbertdeck/internal/decide/rollout"
)

func toMember(m membership.Member) *filbertv1.Member {
	return &filbertv1.Member{
		Address: m.Address, Incarnation: m.Incarnation, State: filbertv1.MemberState(m.State), DataCentre: m.DataCentre,
	}
}

func fromMember(m *filbertv1.Member) membership.Member {
	return membership.Member{
		Address: m.GetAddress(), Incarnation: m.GetIncarnation(), State: membership.State(m.GetState()), DataCentre: m.GetDataCentre(),
	}
}

func toMembers(ms []membership.Member) []*filbertv1.Member {
	out := make([]*filbertv1.Member, len(ms))
	for i, m := range ms {
		out[i] = toMember(m)
	}
	return out
}

func fromMembers(ms []*filbertv1.Member) []membership.Member {
	out := make([]membership.Member, len(ms))
	for i, m := range ms {
		out[i] = fromMember(m)
	}
	return out
}

func toHead(s configwatch.Section, h rollout.Head) *filbertv1.DocumentHead {
	return &filbertv1.DocumentHead{
		Section: string(s), Epoch: h.Version.Epoch, Revision: h.Version.Revision, Digest: h.Digest,
	}
}

func fromHead(h *filbertv1.DocumentHead) rollout.Head {
	return rollout.Head{
		Version: rollout.Version{Epoch: h.GetEpoch(), Revision: h.GetRevision()}, Digest: h.GetDigest(),
	}
}

func toPeerHead(s configwatch.Section, h peerHead) *filbertv1.DocumentHead {
	out := toHead(s, h.Head)
	out.RefusedEpoch, out.RefusedRevision = h.refused.Epoch, h.refused.Revision
	return out
}

func fromPeerHead(h *filbertv1.DocumentHead) peerHead {
	return peerHead{
		Head: fromHead(h), refused: rollout.Version{Epoch: h.GetRefusedEpoch(), Revision: h.GetRefusedRevision()},
	}
}

func toDelta(s configwatch.Section, d rollout.Delta) *filbertv1.DocumentDelta {
	out := &filbertv1.DocumentDelta{
		Head: toHead(s, d.Head), FromEpoch: d.From.Epoch, FromRevision: d.From.Revision, Full: d.Full,
		Rows: make([]*filbertv1.Row, len(d.Rows)),
	}
	for i, r := range d.Rows {
		out.Rows[i] = &filbertv1.Row{Key: r.Key, Text: r.Text}
	}
	return out
}

func fromDelta(d *filbertv1.DocumentDelta) (configwatch.Section, rollout.Delta) {
	out := rollout.Delta{
		From: rollout.Version{Epoch: d.GetFromEpoch(), Revision: d.GetFromRevision()},
		Head: fromHead(d.GetHead()), Full: d.GetFull(), Rows: make([]rollout.Row, len(d.GetRows())),
	}
	for i, r := range d.GetRows() {
		out.Rows[i] = rollout.Row{Key: r.GetKey(), Text: r.GetText()}
	}
	return configwatch.Section(d.GetHead().GetSection()), out
}

func toRefusal(s configwatch.Section, r rollout.Refusal) *filbertv1.DocumentRefusal {
	return &filbertv1.DocumentRefusal{
		Section: string(s), Epoch: r.Version.Epoch, Revision: r.Version.Revision, Reason: r.Reason,
	}
}

func fromRefusal(r *filbertv1.DocumentRefusal) rollout.Refusal {
	return rollout.Refusal{
		Version: rollout.Version{Epoch: r.GetEpoch(), Revision: r.GetRevision()}, Reason: r.GetReason(),
	}
}
