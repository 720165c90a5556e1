package gateway

import (
	"filbertdeck/internal/call"
	"filbertdeck/internal/directory"
)

// backup is a copy of a generation's memory that another engine keeps as it
// grows.
type backup struct {
	*copied
	place *Place
}

func (b *backup) release() {
	if b != nil {
		b.place.Release()
	}
}

// cover gives a sending a backup while some engine has room to keep one; nil
// when it gets none. Generations that another run may go on with need none.
func (gen *generation) cover(s *call.Send, target *directory.ObservedTarget) *backup {
	if e := gen.service.Engine; e == nil || !e.KeepsBackups || gen.route.Resumable {
		return nil
	}
	keeper, kept, ok := gen.g.cfg.Loads.Keep(gen.g.view(), gen.Prompt, target)
	if !ok {
		return nil
	}
	s.Backup = keeper.Address
	// A backup lies at the engine that keeps it, under the request's id.
	copy := &copied{at: keeper, handoff: call.Handoff{From: keeper.Address, Handle: gen.ID}}
	return &backup{copied: copy, place: kept}
}
