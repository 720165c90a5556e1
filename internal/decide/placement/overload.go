package placement

// Overloaded tells whether a long generation had better be refused for now: even
// the best engine has no memory for it.
//
// Load pattern: engines leave faster than others take their place, and for some
// seconds long generations need more memory than the rest has.
//
// What happens without it: they wait at full engines, and run in the end at the
// cost of others: some are preempted and read again, those of a leaving engine
// find no room, and short answers behind them are late or time out. Short
// answers free their memory at once and are never refused for it, nor is what
// would not fit into an empty engine either: that does not change.
func Overloaded(best Candidate, w Work) bool {
	taken := best.Tokens + best.Copies
	return best.Memory > 0 && taken > 0 && mostlyMaking(w) && taken+w.Prompt+w.Output > best.Memory
}

// mostlyMaking tells whether a generation takes longer to make than its prompt
// takes to read.
func mostlyMaking(w Work) bool { return float64(w.Output) > readPart*float64(w.Prompt) }
