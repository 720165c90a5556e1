package admission

import "math/bits"

const (
	// priorityBand is the room between two of the operators' priorities.
	priorityBand = 16
	// attainedStep is the output in tokens from which attained service counts;
	// each doubling takes one step.
	attainedStep = 128
)

// priority gives an engine's priority for a request. Load pattern: long jobs
// among short ones. An engine that must preempt takes the lowest priority; by
// arrival alone that would be the short request which just came. Ranking by
// attained service, in doublings, needs no length ahead. The operators'
// priority goes first.
func priority(share, attained int) int {
	class := bits.Len(uint(attained / attainedStep))
	return share*priorityBand - min(class, priorityBand-1)
}
