// Package placement chooses the target of a request among those that may take
// it.
//
// Load pattern: prompts of some thousand tokens arrive at a few engines whose
// memory holds about eight of them, beside short lookups at plain services
// with six places each; several hosts choose at the same time.
//
// What happens without it: with a random choice one engine in nine soon holds
// twice the mean, its memory runs out and generations are preempted in the
// middle of their streams. One sees pauses of seconds at one engine while
// others have half of their memory free.
//
// How it works: the target with the largest share of free memory, or of free
// places where there is no memory to fill, as this host knows it: what it has
// running there itself and what other hosts told. Targets in the own data
// centre win among about equals, since bytes between data centres cost.
//
// The functions are pure.
package placement

import "time"

// Candidate is a target that may take the request.
type Candidate struct {
	ID string
	// Running requests of all hosts, as far as is known.
	Running int
	Slots   int
	// ReservedTokens are in the target's memory or will be, of all hosts; MemoryTokens is
	// its size, 0 for plain services.
	ReservedTokens, MemoryTokens int
	// BackupTokens are the tokens of backups that it keeps.
	BackupTokens int
	// UnreadTokens are those of prompts that have no first event yet.
	UnreadTokens int
	// TimePerToken is the time that an engine alone takes for one token; 0 when unknown.
	TimePerToken time.Duration
	// Penalty is added to the load: a target that failed lately, or lies in
	// another data centre, is taken only when the others are that much fuller.
	Penalty float64
}

// Penalties of targets in another data centre, in shares of fullness.
const (
	// RemotePenalty decides among about equals: a generation's events are few
	// bytes.
	RemotePenalty = 0.03
	// RemoteMigrationPenalty is for generations that are moved: a copy within the
	// data centre takes half the time, and an engine a quarter fuller costs
	// less than a pause that comes too late.
	RemoteMigrationPenalty = 0.25
)

// readPerFullness is the number of unread prompt tokens that weighs as much as
// a full memory. Engines read prompts one after the other in chunks between
// the steps of running generations, so unread ones keep the next prompt
// waiting. Without it all hosts choose the engine that joined last, the emptiest
// one, and its prompts wait for each other.
const readPerFullness = 7000

// Load is a target's fullness once it has the request: 1 is full.
func Load(c Candidate, tokens int) float64 {
	load := float64(c.Running+1) / float64(max(c.Slots, 1))
	if c.MemoryTokens > 0 {
		load = max(load, float64(c.ReservedTokens+c.BackupTokens+tokens)/float64(c.MemoryTokens))
		load += float64(c.UnreadTokens) / readPerFullness
	}
	return load + c.Penalty
}

// Figures of the sampling.
const (
	// exactHosts is the number of hosts up to which each chooses among all
	// targets: so few rarely choose within the time that news of a choice takes.
	exactHosts = 8
	// leastSample is the smallest number of targets looked at: two random ones
	// are nearly as good as all, a third makes up for one that failed lately.
	leastSample = 3
)

// KnowsRecentChoices tells whether so few hosts choose that each knows of nearly all choices
// of the others.
func KnowsRecentChoices(hosts int) bool { return hosts <= exactHosts }

// SampleSize gives the number of targets that a host looks at of so many. Load
// pattern: dozens of hosts place more prompts a second than there are engines, and each knows
// what the others did a quarter of a second ago. If all choose the emptiest of
// all targets, a dozen prompts go to the same one before anybody hears of it;
// choosing the emptier of a few random ones spreads them.
func SampleSize(targets, hosts int) int {
	if KnowsRecentChoices(hosts) {
		return targets
	}
	return min(max(targets*exactHosts/hosts, leastSample), targets)
}

// mostAsked is the number of targets whose newest counts are asked for before a
// choice: as many as a data centre has of a service. Each costs two datagrams.
const mostAsked = 12

// QueriedTargets gives the number of targets to ask about of so many.
func QueriedTargets(targets int) int { return min(targets, mostAsked) }

// ChooseLeastLoaded gives the index of the least loaded candidate for a request of so
// many tokens, -1 when there is none. draw in [0, 1) breaks ties, so that
// hosts that know the same don't all choose the same.
func ChooseLeastLoaded(candidates []Candidate, tokens int, draw float64) int {
	return least(candidates, draw, func(c Candidate) float64 { return Load(c, tokens) })
}

// ChooseEngine gives the index of the engine at which a generation adds least
// to the time that all of them take, -1 when there is none; draw is as for
// Choose.
func ChooseEngine(candidates []Candidate, w Workload, draw float64) int {
	return least(candidates, draw, func(c Candidate) float64 { return float64(MarginalDelay(c, w)) })
}

func least(candidates []Candidate, draw float64, score func(Candidate) float64) int {
	best, bestScore := -1, 0.0
	first := int(draw * float64(len(candidates)))
	for i := range candidates {
		at := (first + i) % len(candidates)
		s := score(candidates[at])
		if best < 0 || s < bestScore {
			best, bestScore = at, s
		}
	}
	return best
}
