// Package idempotency decides which entry may run a call that must run at most once,
// and what the caller of a repeated call is told. It does no I/O, reads no
// clock and starts no goroutines; the time is passed in.
//
// Callers on poor links send a booking again, through another entry, while the
// first attempt is queued, running or lost. Meanwhile hosts are replaced,
// processes pause, and host lists arrive late. If each entry ran what it
// receives, a booking would run twice and two crews would be sent out.
//
// Entries share no writable state, so the right to run a call must follow from
// what every entry knows: the key itself or the published host list.
//
//   - A minted key names one process (address and incarnation), and only that
//     process ever runs the call. Safety depends on no clock, list or peer.
//     When the process is gone, the outcome stays unknown.
//   - A caller's own key belongs to the host that rendezvous hashing selects
//     from the published list of live hosts. The owner runs the call only if
//     no other entry can have run it: it must have owned the key without
//     interruption since one handover delay before the key can first have been
//     accepted anywhere, according to lists that the configuration service
//     confirmed recently enough. The handover delay is the maximum
//     confirmation age plus the maximum write delay.
//
// This is sufficient for callers' keys. Let a list change at time T move a key
// from P to Q. P sent its last confirmation request for the old list before T,
// so P stops accepting calls one maximum confirmation age after T, and its last
// check leaves one maximum write delay to put the first byte on the wire. Q has
// owned the key since T at the earliest, and runs only keys that no entry can
// have accepted before T plus the handover delay. Under a list that was in
// force for a shorter time no entry ran anything new, so missing a list between
// two confirmations is harmless.
//
// Callers' clocks are not trusted. Every entry refuses a UUIDv7 that is too far
// in the future, so a key can't have been accepted earlier than its timestamp
// minus that limit and the maximum clock skew. The wall clocks of entries must
// agree within the maximum clock skew. An opaque key carries no time; its
// caller must not use it for longer than the configured limit after the first
// attempt.
//
// Two failures remain possible and are described in
// docs/design/single-execution.md: a configuration service that confirms an old
// list as current to some readers, and a process that pauses between the last
// check and the write for longer than the maximum write delay. Both affect
// callers' own keys only.
package idempotency

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertdeck/internal/failure"
)

type state int

const (
	stateReserved state = iota + 1
	stateSent
	stateDone
	stateOutcomeUnknown
	// stateExpired marks an opaque key that has expired. It is kept while there
	// is room: its caller should not reuse the key, but must not get a second
	// booking if it does.
	stateExpired
)

type record struct {
	id           string
	heapIndex    int // in the expiry queue
	state        state
	kind         KeyKind
	fingerprint  uint64
	answer       *Answer
	chargedBytes int // bytes that count against MaxTotalAnswerBytes
	// earliestAccept is the earliest time at which any entry can have accepted
	// the key.
	earliestAccept time.Duration
	expires        time.Duration
}

// Registry records the calls that this entry may run. It is not safe for
// concurrent use; the entry guards it with a lock.
type Registry struct {
	cfg          Config
	ownership    ownershipHistory
	records      map[string]*record
	expiry       expiryQueue
	chargedBytes int
	lastSequence uint64
}

// New returns an empty registry. A process that has just started can't rule out
// that a call with an older key ran elsewhere, so it refuses older keys of
// callers.
func New(cfg Config) *Registry {
	cfg = cfg.withDefaults()
	return &Registry{cfg: cfg, ownership: newOwnershipHistory(cfg.Self.Address), records: map[string]*record{}}
}

// ConfirmHosts records a confirmed state of the published host list. It must be
// called at every confirmation, even if the list has not changed.
func (r *Registry) ConfirmHosts(now time.Duration, list HostList) {
	retention := max(r.cfg.TimeOrderedTTL, r.cfg.OpaqueTTL) + r.cfg.handoverDelay() + r.cfg.MaxFutureTimestamp + r.cfg.MaxClockSkew
	r.ownership.update(now, list, r.cfg.MaxConfirmationAge, retention)
}

// ObservePeerRevision records the list revision of a peer. While a peer has a newer list,
// this process's own confirmation does not count. It may be called for each
// gossip message; forwarded calls report their revision here too.
func (r *Registry) ObservePeerRevision(now time.Duration, revision uint64) {
	r.ownership.observePeerRevision(now, revision)
}

// NextSequence returns the sequence number for the next key that this process
// mints.
func (r *Registry) NextSequence() uint64 {
	r.lastSequence++
	return r.lastSequence
}

// Owner returns the entry that owns a caller's key by the current list.
func (r *Registry) Owner(account string, key Key) string {
	return r.ownership.owner(hashOf(recordID(account, key)))
}

// Len returns the number of keys on record.
func (r *Registry) Len() int { return len(r.records) }

// AnswerBytes returns the number of bytes that count against the limit on all
// answers.
func (r *Registry) AnswerBytes() int { return r.chargedBytes }

func recordID(account string, key Key) string { return account + "\x00" + key.ID }

func hashOf(id string) uint64 { return xxhash.Sum64String(id) }

// Begin decides what to do with a call that has just arrived.
func (r *Registry) Begin(now time.Duration, call Call) Decision {
	r.expire(now)
	id := recordID(call.Account, call.Key)
	if rec := r.records[id]; rec != nil {
		return r.decideRepeated(rec, call)
	}
	if d, local := r.route(now, call, id); !local {
		return d
	}
	validity, err := r.validateNewKey(now, call, id)
	if err != nil {
		return refuse(err)
	}
	if err := r.ensureCapacity(now); err != nil {
		return refuse(err)
	}
	r.reserve(id, call, validity)
	return Decision{Action: Run}
}

// reserve records a key and reserves space for its answer.
func (r *Registry) reserve(id string, call Call, validity keyValidity) {
	rec := &record{
		id: id, heapIndex: notInHeap, state: stateReserved, kind: call.Key.Kind,
		fingerprint: call.Fingerprint, earliestAccept: validity.earliestAccept, expires: validity.expires,
	}
	r.records[id] = rec
	r.setChargedBytes(rec, r.cfg.MaxBytesPerAnswer)
	r.expiry.push(rec)
}

// decideRepeated decides about a call whose key is on record.
func (r *Registry) decideRepeated(rec *record, call Call) Decision {
	if rec.fingerprint != call.Fingerprint {
		return refuse(failure.New(failure.KindKeyReused, "this idempotency key was used for another call"))
	}
	switch rec.state {
	case stateDone:
		if rec.answer == nil {
			return refuse(failure.New(failure.KindOutcomeUnknown, "the call ran; its answer was too large to keep").WithExecuted())
		}
		return Decision{Action: Replay, Answer: rec.answer}
	case stateOutcomeUnknown:
		return refuse(failure.New(failure.KindOutcomeUnknown, "the call was sent and no answer came back").WithExecutionUnknown())
	case stateExpired:
		return refuse(failure.New(failure.KindKeyExpired, "the key's period of use has ended").WithExecutionUnknown())
	default:
		return refuse(failure.New(failure.KindInProgress, "the call with this key is in progress").WithExecutionUnknown().WithRetryAfter(inProgressRetryAfter))
	}
}

// inProgressRetryAfter is the retry time for a call in progress. A plain
// service answers within a second.
const inProgressRetryAfter = time.Second

// route determines which process handles a call. local is true if it is this
// one; otherwise d is the decision.
func (r *Registry) route(now time.Duration, call Call, id string) (d Decision, local bool) {
	if call.Key.Kind == KeyMinted {
		return r.routeMinted(call)
	}
	if call.Forwarded && call.HostsRevision > 0 {
		r.ObservePeerRevision(now, call.HostsRevision)
	}
	if call.Incarnation != 0 && call.Incarnation != r.cfg.Self.Incarnation {
		return refuse(ownerLostError()), false
	}
	owner := r.ownership.owner(hashOf(id))
	switch {
	case owner == r.cfg.Self.Address:
		return Decision{}, true
	case owner == "" || call.Forwarded:
		// A forwarded call is not forwarded again: entries with different lists
		// could pass it back and forth without end.
		return refuse(notExclusiveError("the owner of this key is not known here").WithRetryAfter(r.cfg.MaxConfirmationAge)), false
	default:
		return Decision{Action: Forward, Owner: Process{Address: owner}}, false
	}
}

func (r *Registry) routeMinted(call Call) (Decision, bool) {
	owner := call.Key.Owner
	switch {
	case owner == r.cfg.Self:
		return Decision{}, true
	case owner.Address == r.cfg.Self.Address || call.Forwarded:
		// An earlier process at this address minted the key. It may have run
		// the call, and no record of that is left.
		return refuse(ownerLostError()), false
	default:
		return Decision{Action: Forward, Owner: owner}, false
	}
}

func ownerLostError() *failure.Error {
	return failure.New(failure.KindOwnerLost, "the entry that could run this call is gone").WithExecutionUnknown()
}

// OwnerUnreachable returns the error for a call whose owner does not answer.
// The owner may have run the call before, so the outcome is unknown. A retry
// makes sense: an owner that was paused or partitioned still has its record
// when it is back.
func OwnerUnreachable(cause error) *failure.Error {
	return failure.Wrap(cause, failure.KindOwnerLost, "the entry that may run this call can't be reached").
		WithExecutionUnknown().WithRetryAfter(ownerRetryAfter)
}

// ownerRetryAfter is the retry time for an owner that did not answer. It is
// longer than most pauses and short partitions.
const ownerRetryAfter = 5 * time.Second

func notExclusiveError(reason string) *failure.Error {
	return failure.New(failure.KindKeyUnvouched, "%s; it may have run at another entry", reason).WithExecutionUnknown()
}

// Check must be called right before the first byte is sent to the target. It
// fails if this process lost the right to run the call since Begin, for example
// during a pause. The first byte must have left by sendBy; a pause between
// Check and the write that ends before that is harmless. For a caller's key
// sendBy is at least the maximum write delay away.
func (r *Registry) Check(now time.Duration, account string, key Key) (sendBy time.Duration, err *failure.Error) {
	id := recordID(account, key)
	rec := r.records[id]
	if rec == nil || rec.state != stateReserved {
		return 0, notExclusiveError("the key's record no longer allows sending the call")
	}
	sendBy = rec.expires
	if key.Kind != KeyMinted {
		exclusiveSince, err := r.exclusiveOwnerSince(now, id)
		if err == nil && rec.earliestAccept < exclusiveSince {
			// Another entry owned the key for some time since Begin.
			err = notExclusiveError("this entry did not own the key for some time")
		}
		if err != nil {
			r.removeRecord(rec)
			return 0, err
		}
		sendBy = r.ownership.confirmedAt + r.cfg.handoverDelay()
	}
	rec.state = stateSent
	return sendBy, nil
}

// MarkFinished records the target's answer.
func (r *Registry) MarkFinished(account string, key Key, answer *Answer) {
	rec := r.records[recordID(account, key)]
	if rec == nil || rec.state != stateSent {
		return
	}
	rec.state = stateDone
	size := answer.size()
	if size > r.cfg.MaxBytesPerAnswer {
		r.setChargedBytes(rec, 0)
		return
	}
	rec.answer = answer
	r.setChargedBytes(rec, size)
}

// MarkLost records that the call was sent and no answer came back.
func (r *Registry) MarkLost(account string, key Key) {
	rec := r.records[recordID(account, key)]
	if rec == nil || rec.state != stateSent {
		return
	}
	rec.state = stateOutcomeUnknown
	r.setChargedBytes(rec, 0)
}

// MarkNotRun records that the call certainly did not run: it was never sent, or the
// target reported so. The key may be used again.
func (r *Registry) MarkNotRun(account string, key Key) {
	rec := r.records[recordID(account, key)]
	if rec != nil && (rec.state == stateReserved || rec.state == stateSent) {
		r.removeRecord(rec)
	}
}

// setChargedBytes sets the number of bytes that a record counts for.
func (r *Registry) setChargedBytes(rec *record, size int) {
	r.chargedBytes += size - rec.chargedBytes
	rec.chargedBytes = size
}

func (r *Registry) removeRecord(rec *record) {
	r.setChargedBytes(rec, 0)
	r.expiry.remove(rec)
	delete(r.records, rec.id)
}
