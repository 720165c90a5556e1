package placement

// Limits on backups, as a fraction of engine memory.
const (
	// maxBackupEngineLoad is the highest load at which an engine accepts a
	// backup. The remaining memory is reserved for generations that run on the
	// engine.
	maxBackupEngineLoad = 0.5
	// maxFleetLoadForBackups is the highest load of all engines together, not
	// counting backups, at which backups are made. A backup takes as much memory
	// as the generation itself, so above one half both do not fit.
	maxFleetLoadForBackups = 0.4
)

// HasRoomForBackups reports whether the engines together have enough memory for
// backups of the generations that they run.
//
// It covers traffic that fills three quarters of the memory of all engines while
// a sixth of the engines is about to leave and new engines join empty. Without
// this check, backups fill the new engines up to maxBackupEngineLoad, the
// generations migrated from the leaving engines come on top, and memory runs out:
// generations are preempted in the middle of their streams, their prompts are
// read again, and they finish late.
func HasRoomForBackups(candidates []Candidate) bool {
	capacity, reserved := 0, 0
	for _, c := range candidates {
		capacity += c.MemoryTokens
		reserved += c.ReservedTokens
	}
	return float64(reserved) <= maxFleetLoadForBackups*float64(capacity)
}

// ChooseBackupEngine returns the index of the engine that stores a backup of the given
// number of tokens, or -1 if no engine has room. draw, in [0, 1), breaks ties.
func ChooseBackupEngine(candidates []Candidate, tokens int, draw float64) int {
	i := ChooseLeastLoaded(candidates, tokens, draw)
	if i < 0 || LoadWith(candidates[i], tokens) > maxBackupEngineLoad {
		return -1
	}
	return i
}
