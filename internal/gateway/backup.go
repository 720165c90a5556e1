package gateway

import (
	"filbertdeck/internal/call"
	"filbertdeck/internal/directory"
)

// backup is a copy of a generation's memory that another engine keeps as it
// grows.
type backup struct {
	target *directory.Seen
	place  *Place
}

func (b *backup) release() {
	if b != nil {
		b.place.Release()
	}
}

// handoff says where the copy lies: at the engine that keeps it, under the
// request's id.
func (b *backup) handoff(id string) *call.Handoff {
	return &call.Handoff{From: b.target.Address, Handle: id}
}

// cover gives a sending a backup when the engine holds more than its link
// could carry off; nil when it gets none.
func (gen *generation) cover(s *call.Send, target *directory.Seen, place *Place) *backup {
	e := gen.service.Engine
	if e == nil || !e.Backups || gen.route.Resumable {
		return nil
	}
	tokens := tokensOf(gen.Prompt)
	loads := gen.g.cfg.Loads
	if !gen.g.cfg.Migration.BacksUp(loads.Uncovered(target.ID)-tokens, tokens, e.LinkMbps, e.BytesPerToken) {
		return nil
	}
	keeper, kept, ok := loads.Keep(gen.view, gen.service.Name, gen.Prompt, []string{target.ID})
	if !ok {
		return nil
	}
	place.Covered()
	s.Backup = keeper.Address
	return &backup{target: keeper, place: kept}
}
