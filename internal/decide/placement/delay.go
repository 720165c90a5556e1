package placement

import "time"

// Workload is the size of a generation in tokens, with its latency objective.
type Workload struct {
	// Lengths of the prompt and of the expected output.
	PromptTokens, OutputTokens int
	// FirstTokenObjective is the objective for the time to the first token; 0 if there is
	// none.
	FirstTokenObjective time.Duration
}

// Cost model of an engine that runs its generations in one batch. Ratios are
// relative to the time for one token of a generation that runs alone.
const (
	// defaultTimePerToken is used while the speed of every engine is unknown.
	defaultTimePerToken = 8 * time.Millisecond
	// promptTokenCost is the time to read one prompt token. An engine reads about
	// a hundred prompt tokens in the time of one step, and each such chunk
	// lengthens the step of all generations on the engine by that time.
	promptTokenCost = 0.01
	// batchedGenerationCost is the time that each further generation in the batch
	// adds to a step.
	batchedGenerationCost = 0.017
)

// Figures of an engine's memory.
const (
	// memoryPressureThreshold is the fraction of the memory that can be reserved
	// without risk. Generations are counted at their final size, which they do
	// not all reach at the same time.
	memoryPressureThreshold = 0.7
	// fullMemoryDelay is the cost of reserving one whole memory beyond
	// memoryPressureThreshold. It stands for the preemption of a generation,
	// whose tokens are computed again and arrive late.
	fullMemoryDelay = 40 * time.Second
	// lateFirstTokenFactor is the cost in seconds of each second of prompt
	// reading beyond half of the first-token objective.
	lateFirstTokenFactor = 10
	// delayPerPenalty is the delay that corresponds to a Candidate.Penalty of 1.
	delayPerPenalty = 5 * time.Second
)

// MarginalDelay returns the time that a generation takes on an engine plus the time that
// it adds to the generations already running there.
//
// It covers long generations of about half a minute beside short answers, both
// with prompts of some thousand tokens. While an engine reads a prompt, all its
// generations produce tokens at half the rate, and some engines are slower than
// others. A choice by load alone has the prompts of short answers read beside
// long generations and runs many of these on slow engines. When all hosts fail,
// every generation in progress is lost, so the sum of the times in progress
// measures the loss to callers, and the result is what one choice adds to it. As
// a result long generations go to fast engines, and short answers go to engines
// where few generations are delayed while their prompts are read.
func MarginalDelay(c Candidate, w Workload) time.Duration {
	tokenTime := float64(c.timePerToken())
	prefill := float64(PrefillTime(c, w))
	decode := float64(w.OutputTokens) * tokenTime * (1 + batchedGenerationCost*float64(c.Running))
	slowdown := float64(c.Running) * tokenTime * (promptTokenCost*float64(w.PromptTokens) + batchedGenerationCost*float64(w.OutputTokens))
	return time.Duration(prefill+decode+slowdown) + lateFirstTokenDelay(time.Duration(prefill), w) + memoryPressureDelay(c, w) + time.Duration(c.Penalty*float64(delayPerPenalty))
}

// timePerToken returns TimePerToken with its default.
func (c Candidate) timePerToken() time.Duration {
	if c.TimePerToken <= 0 {
		return defaultTimePerToken
	}
	return c.TimePerToken
}

// PrefillTime returns the time until an engine has read a generation's prompt and
// those that wait before it.
func PrefillTime(c Candidate, w Workload) time.Duration {
	// A machine is slow for about the time that a prompt takes to read, which is a
	// small part of the time that a generation takes.
	prefill := float64(c.UnreadTokens+w.PromptTokens) * promptTokenCost * float64(c.timePerToken()) * c.slowdown()
	if c.Running > 0 {
		// Chunks of the prompt alternate with the steps of the other generations.
		prefill *= 2
	}
	return time.Duration(prefill)
}

// lateFirstTokenDelay returns the cost of the risk that the first token is late.
// Prompts that other hosts sent a moment ago are not known yet, so reading may
// take twice as long as estimated. A late answer is weighed like one sixth of an
// answer in time.
func lateFirstTokenDelay(prefill time.Duration, w Workload) time.Duration {
	if w.FirstTokenObjective <= 0 {
		return 0
	}
	return lateFirstTokenFactor * max(prefill-w.FirstTokenObjective/2, 0)
}

// memoryPressureDelay returns the cost of the load on an engine's memory and
// slots.
func memoryPressureDelay(c Candidate, w Workload) time.Duration {
	load := float64(c.Running+1) / float64(max(c.Slots, 1))
	if c.MemoryTokens > 0 {
		load = max(load, float64(c.ReservedTokens+c.BackupTokens+w.PromptTokens+w.OutputTokens)/float64(c.MemoryTokens))
	}
	return time.Duration(max(load-memoryPressureThreshold, 0) * float64(fullMemoryDelay))
}

// HasMemory reports whether an engine has a slot for one more generation and, within
// a share of its memory, room for the given number of tokens. An empty engine has
// room for any.
func HasMemory(c Candidate, tokens int, share float64) bool {
	if c.Running == 0 {
		return true
	}
	if c.Running >= max(c.Slots, 1) {
		return false
	}
	return c.MemoryTokens == 0 || float64(c.ReservedTokens+c.BackupTokens+tokens) <= share*float64(c.MemoryTokens)
}

// PreemptionLikely reports whether the given number of additional tokens would load an
// engine so much that generations are likely to be preempted.
func PreemptionLikely(c Candidate, tokens int) bool {
	return memoryPressureDelay(c, Workload{PromptTokens: tokens}) > 0
}
