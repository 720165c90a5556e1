// Package prefill limits the unread prompts at an engine to which a generation with
// time to spare is sent. Unread prompt tokens are those that an engine has not prefilled
// yet.
//
// It is made for engines that serve urgent generations beside others with longer
// objectives and long prompts. An engine prefills prompts one after the other, so an
// urgent generation is late if the prompts before it take longer than its objective. The
// limit keeps time for it: a generation that yields is sent only where the unread prompts
// before its own leave the engine time for the prompt of a usual urgent generation.
// Elsewhere it waits at its host, where it delays nobody.
//
// The limit holds as long as the generation may wait for an engine at all, also once it is
// late: late ones that are sent behind unread prompts make urgent ones late, and are served
// no sooner.
//
// The functions are pure.
package prefill

import (
	"math"
	"time"

	"filbertdeck/internal/decide/placement"
)

const (
	// budgetDivisor divides the most urgent objective; the quotient is the time for the
	// unread prompts and the urgent one. The other half is for prompts that other hosts
	// sent in the last moment, which are not known.
	budgetDivisor = 2
	// unknownPromptDivisor divides the most urgent objective; the quotient stands for the
	// time to prefill an urgent prompt until the host has seen one.
	unknownPromptDivisor = 4
	// sampleTokens is the prompt for which the time per token is computed.
	sampleTokens = 1000
)

// Urgent is what a host knows of the most urgent generations of a service.
type Urgent struct {
	// Objective is their shortest objective for the time to the first token.
	Objective time.Duration
	// PromptTokens is the mean length of their prompts; 0 if it is not known yet.
	PromptTokens int
}

// Limit is the bound on the unread prompts at an engine that is sent a generation.
type Limit struct {
	// Budget is the time that the engine may take for the unread prompts.
	Budget time.Duration
	// UrgentTokens is taken from what the engine prefills in that time.
	UrgentTokens int
	// Objective is the most urgent objective, PromptTokens the length of the generation's
	// own prompt. An engine that does not prefill it and an urgent one within the objective
	// has no limit.
	Objective    time.Duration
	PromptTokens int
	// Exceeded is set by a search that passed over an engine with memory because of this
	// limit.
	Exceeded bool
}

// For returns the limit for a generation with the given prompt that yields to the most urgent
// ones; nil if those have no objective.
func For(urgent Urgent, promptTokens int) *Limit {
	if urgent.Objective <= 0 {
		return nil
	}
	l := &Limit{Budget: urgent.Objective / budgetDivisor, UrgentTokens: urgent.PromptTokens, Objective: urgent.Objective, PromptTokens: promptTokens}
	if urgent.PromptTokens == 0 {
		l.Budget -= urgent.Objective / unknownPromptDivisor
	}
	return l
}

// Budget returns the time in which an engine is to have read the prompt of a most urgent
// generation and those before it. left is what is left of its objective.
func Budget(left time.Duration) time.Duration { return left / budgetDivisor }

// noLimit is the limit at an engine that has none.
const noLimit = math.MaxInt32

// Tokens returns the number of unread prompt tokens up to which an engine is sent the
// generation. An engine with nothing unread always is.
//
// There is no limit where the generation's own prompt makes urgent ones late that come after
// it. Spread over all engines, such prompts would leave none for the urgent ones; behind each
// other they leave the other engines free.
func (l *Limit) Tokens(c placement.Candidate) int {
	c.UnreadTokens = 0
	perToken := float64(placement.PrefillTime(c, placement.Workload{PromptTokens: sampleTokens})) / sampleTokens
	if l.Objective > 0 && float64(l.PromptTokens+l.UrgentTokens)*perToken > float64(l.Objective) {
		return noLimit
	}
	return max(int(float64(l.Budget)/perToken)-l.UrgentTokens, 0)
}

// Allows reports whether the unread prompts at an engine are within the limit.
func (l *Limit) Allows(c placement.Candidate) bool {
	return c.UnreadTokens <= l.Tokens(c)
}

// meanWeight is the weight of a prompt in the moving mean. The mean follows a change of
// the prompts within some ten of them, and a host of a large fleet sees about one in some
// seconds.
const meanWeight = 1.0 / 8

// MeanTokens is a moving mean of the lengths of prompts. The zero value has seen none.
type MeanTokens struct{ mean float64 }

// Add adds the length of a prompt.
func (m *MeanTokens) Add(tokens int) {
	if m.mean == 0 {
		m.mean = float64(tokens)
		return
	}
	m.mean += meanWeight * (float64(tokens) - m.mean)
}

// Tokens returns the mean; 0 if no prompt was seen.
func (m *MeanTokens) Tokens() int { return int(m.mean) }
