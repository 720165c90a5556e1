// Package placement chooses the target of a request among the candidates that can
// serve it.
//
// It is made for prompts of some thousand tokens that arrive at a few engines,
// each with memory for about eight of them, beside short lookups at plain
// services with six slots each. Several hosts choose at the same time. With a
// random choice, one engine in nine soon holds twice the mean: its memory runs
// out, generations are preempted in the middle of their streams, and callers see
// pauses of seconds at this engine while others have half of their memory free.
//
// The choice is the target with the largest free fraction of its memory, or of
// its slots if it has no memory to fill. Load is what this host runs on the
// target plus the load that other hosts reported. Among targets of about equal
// load those in the host's own data centre are preferred, because traffic between
// data centres costs money.
//
// The functions are pure.
package placement

import (
	"time"
)

// Candidate is a target that may take the request.
type Candidate struct {
	ID string
	// Running is the known number of running requests of all hosts.
	Running int
	Slots   int
	// ReservedTokens is the memory that requests of all hosts occupy or will
	// occupy, MemoryTokens the capacity, which is 0 for plain services.
	ReservedTokens, MemoryTokens int
	// BackupTokens is the number of tokens in the backups that the target stores.
	// A backup is a copy of a running generation's memory.
	BackupTokens int
	// UnreadTokens is the number of tokens in prompts that have not produced a first
	// event yet.
	UnreadTokens int
	// TimePerToken is the time per token of a generation that runs alone on the
	// engine; 0 if unknown.
	TimePerToken time.Duration
	// CountsAge is the time since the owner of the target's counts told this host those of
	// all hosts; 0 if the host does not depend on owners.
	CountsAge time.Duration
	// Slowdown is the time that work takes on the target's machine at present, as a
	// multiple of the usual time; 0 counts like 1.
	Slowdown float64
	// Penalty is added to the load. A target that failed recently or is in
	// another data centre is chosen only if the others have a load higher by this
	// amount.
	Penalty float64
}

// Penalties of targets in another data centre, in units of load.
const (
	// RemotePenalty only decides between targets of about equal load, because the
	// events of a generation are small.
	RemotePenalty = 0.03
	// RemoteMigrationPenalty applies to generations that are migrated. A copy within
	// the data centre takes half the time, and a load higher by a quarter costs
	// less than an interruption that exceeds its limit.
	RemoteMigrationPenalty = 0.25
)

// promptTokensPerLoadUnit is the number of unread prompt tokens that counts like
// a load of 1. Engines read prompts one after the other, in chunks between the
// steps of running generations, so unread prompts delay the next one. Without
// this term all hosts choose the engine that joined last, because it is the least
// loaded, and its prompts queue.
const promptTokensPerLoadUnit = 7000

// LoadWith returns the load of a target after it has received the request; 1 is
// full.
func LoadWith(c Candidate, tokens int) float64 {
	load := float64(c.Running+1) / float64(max(c.Slots, 1))
	if c.MemoryTokens > 0 {
		load = max(load, float64(c.ReservedTokens+c.BackupTokens+tokens)/float64(c.MemoryTokens))
		load += float64(c.UnreadTokens) / promptTokensPerLoadUnit
	}
	return load*c.slowdown() + c.Penalty
}

// slowdown returns Slowdown with its default.
func (c Candidate) slowdown() float64 {
	if c.Slowdown <= 0 {
		return 1
	}
	return c.Slowdown
}

// Limits on the number of targets that a host compares.
const (
	// fullScanMaxHosts is the number of hosts up to which each host compares all
	// targets. This few hosts rarely choose within the time that a load update
	// takes to arrive.
	fullScanMaxHosts = 8
	// minSampleSize is the smallest number of targets compared. Two random
	// targets are nearly as good as all; the third makes up for one that failed
	// recently.
	minSampleSize = 3
)

// KnowsRecentChoices reports whether there are so few hosts that each knows
// nearly all recent choices of the others.
func KnowsRecentChoices(hosts int) bool { return hosts <= fullScanMaxHosts }

// SampleSize returns the number of targets that a host compares. Dozens of hosts
// place more prompts per second than there are engines, and each learns of the
// others' choices a quarter of a second later. If all of them chose the least
// loaded of all targets, a dozen prompts would go to the same one before any host
// knew. Choosing the less loaded of a few random targets spreads them.
func SampleSize(targets, hosts int) int {
	if KnowsRecentChoices(hosts) {
		return targets
	}
	return min(max(targets*fullScanMaxHosts/hosts, minSampleSize), targets)
}

// maxQueriedTargets is the number of targets whose current counts are queried
// before a choice: as many as a data centre has for one service. Each query costs
// two datagrams.
const maxQueriedTargets = 12

// QueriedTargets returns the number of targets to query.
func QueriedTargets(targets int) int { return min(targets, maxQueriedTargets) }

// ChooseLeastLoaded returns the index of the least loaded candidate for a
// request with the given number of tokens, or -1 if there are no candidates.
// draw, in [0, 1), breaks ties, so that hosts with the same information choose
// different targets.
func ChooseLeastLoaded(candidates []Candidate, tokens int, draw float64) int {
	return lowestScore(candidates, draw, func(c Candidate) float64 { return LoadWith(c, tokens) })
}

// ChooseEngine returns the index of the engine on which a generation adds the
// least delay to all generations, its own included, or -1 if there are no
// candidates. draw, in [0, 1), breaks ties.
func ChooseEngine(candidates []Candidate, w Workload, draw float64) int {
	return lowestScore(candidates, draw, func(c Candidate) float64 { return float64(MarginalDelay(c, w)) })
}

// lowestScore returns the index of the candidate with the lowest score, starting
// the scan at the position given by draw.
func lowestScore(candidates []Candidate, draw float64, score func(Candidate) float64) int {
	best, bestScore := -1, 0.0
	offset := int(draw * float64(len(candidates)))
	for i := range candidates {
		index := (offset + i) % len(candidates)
		s := score(candidates[index])
		if best < 0 || s < bestScore {
			best, bestScore = index, s
		}
	}
	return best
}
