package gateway

import (
	"filbertdeck/internal/call"
	"filbertdeck/internal/directory"
)

// backup is a copy of a generation's memory that another engine keeps up to
// date while the generation runs.
type backup struct {
	*memoryCopy
	reservation *Reservation
}

func (b *backup) release() {
	if b != nil {
		b.reservation.Release()
	}
}

// placeBackup selects an engine with room to keep a backup of the generation
// and names it in the send; nil when there is none. Generations that a new run
// may continue need no backup.
func (gen *generation) placeBackup(s *call.Attempt, target *directory.ObservedTarget) *backup {
	if e := gen.service.Engine; e == nil || !e.KeepsBackups || gen.route.Resumable {
		return nil
	}
	backupTarget, reservation, ok := gen.g.cfg.Loads.ReserveBackup(gen.g.view(), gen.Prompt, target)
	if !ok {
		return nil
	}
	s.Backup = backupTarget.Address
	// The backup is stored at the engine that keeps it, under the request's id.
	memory := &memoryCopy{target: backupTarget, handoff: call.CacheCopy{Source: backupTarget.Address, Handle: gen.ID}}
	return &backup{memoryCopy: memory, reservation: reservation}
}
