package fencing

import (
	"cmp"
	"time"

	"filbertdeck/internal/decide/ownership"
)

// Config holds the parameters of a command. A zero field means its default.
type Config struct {
	// ConfirmationTTL is how long a confirmation of the host list is valid. The
	// default is 4 s, see package ownership.
	ConfirmationTTL time.Duration
	// CommandTimeout is the maximum time that a command may be in flight. The
	// default is 5 s, the deadline of the call that carries it.
	CommandTimeout time.Duration
	// ReadBackDelay is the delay before the engine's state is read back. The
	// default is 1 s, twice the lag of the engines' reports.
	ReadBackDelay time.Duration
	// MatchingReads is the number of successive reads with the desired state
	// that complete a command at an engine that does not check fencing numbers.
	// The default is 3.
	MatchingReads int
	// MaxAttempts is how often the command is sent. The default is 5. An engine
	// that changes back that often has another owner; during a partition both
	// sides would otherwise never stop sending.
	MaxAttempts int
}

const (
	defaultConfirmationTTL = 4 * time.Second
	defaultCommandTimeout  = 5 * time.Second
	defaultReadBackDelay   = time.Second
	defaultMatchingReads   = 3
	defaultMaxAttempts     = 5
)

func (c Config) withDefaults() Config {
	c.ConfirmationTTL = cmp.Or(c.ConfirmationTTL, defaultConfirmationTTL)
	c.CommandTimeout = cmp.Or(c.CommandTimeout, defaultCommandTimeout)
	c.ReadBackDelay = cmp.Or(c.ReadBackDelay, defaultReadBackDelay)
	c.MatchingReads = cmp.Or(c.MatchingReads, defaultMatchingReads)
	c.MaxAttempts = cmp.Or(c.MaxAttempts, defaultMaxAttempts)
	return c
}

// Action is what the caller of a command does next.
type Action int

// The actions.
const (
	// Wait: nothing to do now.
	Wait Action = iota
	// Send: send the command with a new number, then call HandleAnswer.
	Send
	// Read: read the engine's state, then call HandleRead.
	Read
	// Done: the engine is in the desired state.
	Done
	// GiveUp: another owner controls this engine, or the engine does not
	// execute commands. It is counted and shown to operators.
	GiveUp
)

var actionNames = [...]string{"wait", "send", "read", "done", "give-up"}

// String returns the name of the action in logs.
func (a Action) String() string { return actionNames[a] }

// Answer is an engine's answer to a command.
type Answer int

// The answers.
const (
	// Accepted: the engine accepted the command.
	Accepted Answer = iota + 1
	// Fenced: the engine has seen a newer number.
	Fenced
	// NoAnswer: no answer arrived; the engine may have executed the command.
	NoAnswer
)

// Command brings one engine into a desired state. It is not safe for concurrent
// use.
type Command struct {
	cfg Config
	// engineChecksFencing is set if the engine refuses old numbers.
	engineChecksFencing bool
	nextAction          Action
	nextAt              time.Duration
	attempts            int
	matchingReads       int
}

// NewCommand returns a command that has not been sent yet.
func NewCommand(cfg Config, engineChecksFencing bool) *Command {
	return &Command{cfg: cfg.withDefaults(), engineChecksFencing: engineChecksFencing, nextAction: Send}
}

// Step returns the next action. At an engine that does not check fencing
// numbers a command waits until this process is the only owner: the
// predecessor's command may still be in flight and would be executed after
// ours. An engine that checks refuses that command itself, so the published
// owner may send at once.
func (c *Command) Step(now time.Duration, t *ownership.Tenure) Action {
	switch {
	case c.nextAction == Done || c.nextAction == GiveUp:
		return c.nextAction
	case now < c.nextAt || !c.maySend(now, t):
		return Wait
	default:
		return c.nextAction
	}
}

func (c *Command) maySend(now time.Duration, t *ownership.Tenure) bool {
	if c.engineChecksFencing {
		return t.IsOwner()
	}
	return t.IsExclusive(now, ownership.Config{ConfirmationTTL: c.cfg.ConfirmationTTL, ActionTTL: c.cfg.CommandTimeout})
}

// HandleAnswer records the answer to a sent command.
func (c *Command) HandleAnswer(now time.Duration, a Answer) {
	c.attempts++
	switch {
	case a == Fenced:
		c.nextAction = GiveUp
	case a == Accepted && c.engineChecksFencing:
		c.nextAction = Done
	default:
		c.schedule(now, Read)
	}
}

// HandleRead records the result of reading the engine's state. At an engine
// that does not check fencing numbers one matching read is not enough, because
// a command of a paused predecessor may arrive after it; several are required.
func (c *Command) HandleRead(now time.Duration, matches bool) {
	switch {
	case matches:
		c.matchingReads++
		c.schedule(now, Read)
		if c.engineChecksFencing || c.matchingReads >= c.cfg.MatchingReads {
			c.nextAction = Done
		}
	case c.attempts >= c.cfg.MaxAttempts:
		c.nextAction = GiveUp
	default:
		c.matchingReads = 0
		c.schedule(now, Send)
	}
}

// schedule sets the next action after a delay that grows with the attempts, so
// that two owners that undo each other's commands don't keep an engine busy.
func (c *Command) schedule(now time.Duration, next Action) {
	c.nextAction = next
	c.nextAt = now + c.cfg.ReadBackDelay*time.Duration(max(c.attempts, 1))
}
