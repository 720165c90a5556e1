package idempotency

import (
	"time"

	"filbertdeck/internal/failure"
)

// Header is one header line of an answer.
type Header struct{ Name, Value string }

// Answer is what a target answered.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

func (a *Answer) size() int {
	size := len(a.Body)
	for _, h := range a.Headers {
		size += len(h.Name) + len(h.Value)
	}
	return size
}

// Call is one call as it reached this entry.
type Call struct {
	Account string
	Key     Key
	// Fingerprint is equal for equal method, path and body.
	Fingerprint uint64
	// WallTime is the wall clock's time at arrival; only UUIDv7 keys need it.
	WallTime time.Time
	// Forwarded is set when another entry sent the call on, with the
	// incarnation and list revision that it believes in (0: does not know).
	Forwarded     bool
	Incarnation   uint64
	HostsRevision uint64
}

// Action says what to do with a call.
type Action int

// The actions.
const (
	// Run: this entry may run the call. Check must follow right before the
	// first byte, and Finish, Lost or NotRun at the end.
	Run Action = iota + 1
	// Replay: it ran already; Answer is what the target answered.
	Replay
	// Forward: Owner may run it.
	Forward
	// Refuse: Err says why.
	Refuse
)

// Decision answers Begin.
type Decision struct {
	Action Action
	Answer *Answer
	Owner  Process
	Err    *failure.Error
}

func refuse(err *failure.Error) Decision { return Decision{Action: Refuse, Err: err} }
