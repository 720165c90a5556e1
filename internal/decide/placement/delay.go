package placement

import "time"

// Workload is what a generation asks of an engine, in tokens.
type Workload struct {
	// PromptTokens is read; OutputTokens is expected to be made.
	PromptTokens, OutputTokens int
	// FirstTokenObjective is the time to the first token that callers are promised; 0 for none.
	FirstTokenObjective time.Duration
}

// Figures of an engine that runs generations in one batch, relative to the time
// that it takes for one token of one generation alone.
const (
	// usualStep stands in while nothing is known of any engine's speed.
	usualStep = 8 * time.Millisecond
	// readPart is the time for one token of a prompt: engines read some hundred
	// prompt tokens in the time of one step, and each such chunk makes the step
	// of every generation there longer by that.
	readPart = 0.01
	// batchPart is what each further generation adds to a step.
	batchPart = 0.017
)

// Figures of an engine's memory.
const (
	// roomyPart of the memory is filled without any harm: generations are
	// counted at the size of their end, which not all reach at once.
	roomyPart = 0.7
	// crowdedCost is what filling a whole memory beyond that is taken to cost:
	// the preemption of a generation, which is read again and late.
	crowdedCost = 40 * time.Second
	// lateCost is the cost of a second of reading beyond half of the time that
	// callers are promised.
	lateCost = 10
	// penaltyCost is what a penalty of a whole fullness comes to.
	penaltyCost = 5 * time.Second
)

// MarginalDelay is the time that a generation takes at an engine together with the time
// that it adds to those which run there.
//
// Load pattern: generations of half a minute run beside short answers, and both
// bring prompts of some thousand tokens. While a prompt is read, every
// generation at that engine makes its tokens at half the pace. Some engines are
// slower than others.
//
// What happens without it: by fullness alone short answers' prompts are read
// beside the long generations, and many of these run on slow engines. When all
// hosts are lost every one in progress is lost, so the sum of the times in
// progress is what callers lose; this is what the choice adds to it. Long
// generations so go to quick engines, and short answers to where few others wait
// for the reading of their prompts.
func MarginalDelay(c Candidate, w Workload) time.Duration {
	step := c.TimePerToken
	if step <= 0 {
		step = usualStep
	}
	perToken := float64(step)
	reading := float64(c.UnreadTokens+w.PromptTokens) * readPart * perToken
	if c.Running > 0 {
		// Chunks of the prompt take turns with steps of the others.
		reading *= 2
	}
	making := float64(w.OutputTokens) * perToken * (1 + batchPart*float64(c.Running))
	others := float64(c.Running) * perToken * (readPart*float64(w.PromptTokens) + batchPart*float64(w.OutputTokens))
	return time.Duration(reading+making+others) + lateness(time.Duration(reading), w) + crowding(c, w) + time.Duration(c.Penalty*float64(penaltyCost))
}

// lateness is what the risk of a late first token adds. Other hosts' prompts of
// the last moments are not known yet, so the reading may well take twice as
// long; an answer that is late then is worth a sixth of one in time.
func lateness(reading time.Duration, w Workload) time.Duration {
	if w.FirstTokenObjective <= 0 {
		return 0
	}
	return lateCost * max(reading-w.FirstTokenObjective/2, 0)
}

// crowding is what an engine's memory and places add.
func crowding(c Candidate, w Workload) time.Duration {
	fullness := float64(c.Running+1) / float64(max(c.Slots, 1))
	if c.MemoryTokens > 0 {
		fullness = max(fullness, float64(c.ReservedTokens+c.BackupTokens+w.PromptTokens+w.OutputTokens)/float64(c.MemoryTokens))
	}
	return time.Duration(max(fullness-roomyPart, 0) * float64(crowdedCost))
}

// PreemptionLikely tells whether an engine would be so full with so many tokens more
// that generations are likely to be preempted there.
func PreemptionLikely(c Candidate, tokens int) bool {
	return crowding(c, Workload{PromptTokens: tokens}) > 0
}
