package placement

// Bounds on backups, in shares of an engine's memory.
const (
	// fullestKeeper is the fullness up to which an engine keeps backups; the rest
	// is for generations that run there.
	fullestKeeper = 0.5
	// fullestFleet is the fullness of all engines together, backups not counted,
	// up to which there are any: each takes as much memory as the generation
	// itself, so beyond a half the two don't fit.
	fullestFleet = 0.4
)

// HasRoomForBackups tells whether engines together have room for backups of what
// they run.
//
// Load pattern: traffic fills three quarters of all engines' memory, and a sixth
// of the engines is always about to leave. Engines that join are empty.
//
// What happens without it: backups fill the engines that join up to the bound of
// a keeper, the generations of those that leave come on top, and the memory runs
// out: generations are preempted in the middle of their streams, read again, and
// late.
func HasRoomForBackups(candidates []Candidate) bool {
	memory, running := 0, 0
	for _, c := range candidates {
		memory += c.MemoryTokens
		running += c.ReservedTokens
	}
	return float64(running) <= fullestFleet*float64(memory)
}

// ChooseBackupEngine gives the index of the engine that keeps a backup of so many
// tokens, -1 when none has room; draw is as for Choose.
func ChooseBackupEngine(candidates []Candidate, tokens int, draw float64) int {
	i := ChooseLeastLoaded(candidates, tokens, draw)
	if i < 0 || Load(candidates[i], tokens) > fullestKeeper {
		return -1
	}
	return i
}
