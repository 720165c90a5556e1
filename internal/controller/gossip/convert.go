package gossip

import (
	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/controller/configwatch"
	"filbertdeck/internal/decide/membership"
	"filbertdeck/internal/decide/rollout"
	"filbertdeck/internal/rolloutwire"
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

func toMembers(members []membership.Member) []*filbertv1.Member {
	out := make([]*filbertv1.Member, len(members))
	for i, m := range members {
		out[i] = toMember(m)
	}
	return out
}

func fromMembers(members []*filbertv1.Member) []membership.Member {
	out := make([]membership.Member, len(members))
	for i, m := range members {
		out[i] = fromMember(m)
	}
	return out
}

func toPeerHead(s configwatch.Section, h peerHead) *filbertv1.DocumentHead {
	out := rolloutwire.ToHead(string(s), h.Head)
	out.RefusedEpoch, out.RefusedRevision = h.refused.Epoch, h.refused.Revision
	return out
}

func fromPeerHead(h *filbertv1.DocumentHead) peerHead {
	return peerHead{
		Head: rolloutwire.FromHead(h), refused: rollout.Version{Epoch: h.GetRefusedEpoch(), Revision: h.GetRefusedRevision()},
	}
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
