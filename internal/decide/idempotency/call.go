package idempotency

import (
	"time"

	"filbertdeck/internal/failure"
)

// Header is one header field of an answer.
type Header struct{ Name, Value string }

// Answer is the response of a target.
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

// Call is a call as this entry received it.
type Call struct {
	Account string
	Key     Key
	// Fingerprint is the same for calls with the same method, path and body.
	Fingerprint uint64
	// WallTime is the wall-clock time of arrival. Only UUIDv7 keys need it.
	WallTime time.Time
	// Forwarded is set when another entry forwarded the call. Incarnation and
	// HostsRevision are then the incarnation of this process and the host list
	// revision that the sender knows; 0 means unknown.
	Forwarded     bool
	Incarnation   uint64
	HostsRevision uint64
}

// Action is what to do with a call.
type Action int

// The actions.
const (
	// Run: this entry may run the call. The caller must call Check right before
	// it sends the first byte, and report the outcome at the end.
	Run Action = iota + 1
	// Replay: the call has already run. Answer is the target's response.
	Replay
	// Forward: the process in Owner may run the call.
	Forward
	// Refuse: Err is the reason.
	Refuse
)

// Decision is the result of Begin.
type Decision struct {
	Action Action
	Answer *Answer
	Owner  Process
	Err    *failure.Error
}

func refuse(err *failure.Error) Decision { return Decision{Action: Refuse, Err: err} }
