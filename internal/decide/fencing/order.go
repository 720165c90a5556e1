package fencing

import (
	"cmp"
	"time"

	"filbertdeck/internal/decide/ownership"
)

// Config holds the figures of an order; the zero value of a field means its
// default.
type Config struct {
	// ConfirmFor is how long one confirmation of the host list counts. Default
	// 4 s, see package ownership.
	ConfirmFor time.Duration
	// ActFor is how long an order may be under way. Default 5 s, the deadline
	// of the call that carries it.
	ActFor time.Duration
	// ReadAfter is the wait before reading back. Default 1 s, twice the lag of
	// the engines' reports.
	ReadAfter time.Duration
	// ReadsInRow that show the wanted state end the order at an engine that
	// doesn't check. Default 3.
	ReadsInRow int
	// Attempts bounds how often the order is sent. Default 5. An engine that
	// changes back that often has another owner, and sending goes on for ever
	// on both sides of a split.
	Attempts int
}

const (
	defaultConfirmFor = 4 * time.Second
	defaultActFor     = 5 * time.Second
	defaultReadAfter  = time.Second
	defaultReadsInRow = 3
	defaultAttempts   = 5
)

func (c Config) withDefaults() Config {
	c.ConfirmFor = cmp.Or(c.ConfirmFor, defaultConfirmFor)
	c.ActFor = cmp.Or(c.ActFor, defaultActFor)
	c.ReadAfter = cmp.Or(c.ReadAfter, defaultReadAfter)
	c.ReadsInRow = cmp.Or(c.ReadsInRow, defaultReadsInRow)
	c.Attempts = cmp.Or(c.Attempts, defaultAttempts)
	return c
}

// Action is what the caller of an order does next.
type Action int

// The actions.
const (
	// Wait: nothing now.
	Wait Action = iota
	// Send the order, with a new number, and call Answered.
	Send
	// Read the engine's state, and call ReadBack.
	Read
	// Done: the engine is in the wanted state.
	Done
	// GiveUp: another owner gives this engine orders, or the engine doesn't
	// follow. Counted, and shown to operators.
	GiveUp
)

var actionNames = [...]string{"wait", "send", "read", "done", "give-up"}

// String names the action as logs show it.
func (a Action) String() string { return actionNames[a] }

// Answer is how an engine answered an order.
type Answer int

// The answers.
const (
	// Followed: the engine took the order.
	Followed Answer = iota + 1
	// Fenced: the engine has seen a newer number.
	Fenced
	// Lost: no answer; the order may have been followed.
	Lost
)

// Order brings one engine into a wanted state. It is not safe for concurrent
// use.
type Order struct {
	cfg Config
	// checks says that the engine refuses old numbers.
	checks   bool
	next     Action
	at       time.Duration
	attempts int
	inRow    int
}

// NewOrder returns an order that was not sent yet.
func NewOrder(cfg Config, engineChecks bool) *Order {
	return &Order{cfg: cfg.withDefaults(), checks: engineChecks, next: Send}
}

// Step gives the next action. An order waits while the tenure isn't sole at an
// engine that doesn't check: the predecessor's order may still be under way,
// and would be followed after ours. An engine that checks refuses that one by
// itself, so there the published owner may send at once.
func (o *Order) Step(now time.Duration, t *ownership.Tenure) Action {
	switch {
	case o.next == Done || o.next == GiveUp:
		return o.next
	case now < o.at || !o.mayAct(now, t):
		return Wait
	default:
		return o.next
	}
}

func (o *Order) mayAct(now time.Duration, t *ownership.Tenure) bool {
	if o.checks {
		return t.IsOwner()
	}
	return t.IsExclusive(now, ownership.Config{ConfirmationTTL: o.cfg.ConfirmFor, ActionTTL: o.cfg.ActFor})
}

// Answered takes the answer to a sent order.
func (o *Order) Answered(now time.Duration, a Answer) {
	o.attempts++
	switch {
	case a == Fenced:
		o.next = GiveUp
	case a == Followed && o.checks:
		o.next = Done
	default:
		o.schedule(now, Read)
	}
}

// ReadBack takes what a read of the engine showed. At an engine that doesn't
// check one good read is not enough: a paused predecessor's order may come
// after it, so it is read several times.
func (o *Order) ReadBack(now time.Duration, asWanted bool) {
	switch {
	case asWanted:
		o.inRow++
		o.schedule(now, Read)
		if o.checks || o.inRow >= o.cfg.ReadsInRow {
			o.next = Done
		}
	case o.attempts >= o.cfg.Attempts:
		o.next = GiveUp
	default:
		o.inRow = 0
		o.schedule(now, Send)
	}
}

// schedule sets the next action after a wait that grows with the attempts, so
// that two owners that undo each other's orders don't keep an engine busy.
func (o *Order) schedule(now time.Duration, next Action) {
	o.next = next
	o.at = now + o.cfg.ReadAfter*time.Duration(max(o.attempts, 1))
}
