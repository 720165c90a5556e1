package admission

import "math/bits"

const (
	// priorityBandSize is the number of engine priorities per operator
	// priority.
	priorityBandSize = 16
	// attainedStepTokens is the output in tokens from which attained service
	// lowers the priority; each doubling lowers it by one more.
	attainedStepTokens = 128
)

// priority returns the engine priority of a request. Long and short jobs share
// engines, and an engine that must preempt takes the lowest priority; in order
// of arrival that would be the short request that came last. Ranking by
// attained service, in doublings, needs no knowledge of the output length. The
// operators' priority takes precedence.
func priority(operatorPriority, attainedTokens int) int {
	doublings := bits.Len(uint(attainedTokens / attainedStepTokens))
	return operatorPriority*priorityBandSize - min(doublings, priorityBandSize-1)
}
