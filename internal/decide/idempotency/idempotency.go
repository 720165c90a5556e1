// Package idempotency decides which entry may run a call that must run at most once,
// and what a repeated call is told. It is pure: no network, no clock, no
// goroutine; time is an argument.
//
// Load pattern: callers on poor links send a booking again, through another
// entry, while the first one is queued, running or lost; meanwhile hosts are
// replaced, processes pause, and the list of hosts is late. Without this
// package each entry runs what it receives: a crew drives out twice.
//
// Nothing of the system writes shared state, so the right to run a call must
// follow from what is known to all: the key itself or the published host list.
//
//   - A minted key names one process (address and incarnation). Only that
//     process ever runs the call. Safety needs no clock, no list and no peer.
//     When the process is gone the answer is "unknown", for good.
//   - A caller's own key belongs to the rendezvous owner over the published
//     list of live hosts. The owner runs it only if it can vouch that nobody
//     else ran it: it has been the owner without a break, by lists that the
//     configuration service confirmed at most Freshness ago, since Freshness +
//     Margin before the key can first have been accepted anywhere.
//
// Why that is enough for callers' keys. Let the list change at T so that the
// key moves from P to Q. P's last confirmation of the old list was sent before
// T, so P stops vouching by T+Freshness, and its last check leaves it Margin
// to put the first byte on the wire. Q has been owner since T at the earliest
// and runs only keys that can't have been accepted anywhere before
// T+Freshness+Margin. A list that lasted shorter than that let nobody run
// anything new, so lists that fell between two confirmations do no harm.
//
// A caller's clock is not trusted: every entry refuses a UUIDv7 from more than
// AheadLimit in the future, so a key can't have been accepted before its stamp
// less AheadLimit and ClockError. Entries' wall clocks must agree within
// ClockError. An opaque key has no time; its caller must not use it for longer
// than OpaqueWindow after the first try.
//
// What it can't exclude is told in docs/design/single-execution.md: a
// configuration service that confirms an old list as current to some readers,
// and a process that pauses between the last check and the write for longer
// than Margin. Both concern callers' own keys only.
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
	stateUnknown
	// stateExpired remembers an opaque key past its window for as long as
	// there is room: its caller is at fault, but need not book twice for it.
	stateExpired
)

type record struct {
	id          string
	place       int // in the expiry queue
	state       state
	kind        KeyKind
	fingerprint uint64
	answer      *Answer
	held        int // bytes that count against MaxAnswerBytes
	// first is the earliest time at which the key can have been accepted
	// anywhere.
	first   time.Duration
	expires time.Duration
}

// Registry is an entry's record of the calls that it may run. It is not safe
// for concurrent use; the entry holds one lock around it.
type Registry struct {
	cfg     Config
	owners  ownership
	records map[string]*record
	expiry  expiryQueue
	bytes   int
	minted  uint64
}

// New returns an empty register: a process that has just started vouches for
// nothing that is older than itself.
func New(cfg Config) *Registry {
	cfg = cfg.withDefaults()
	return &Registry{cfg: cfg, owners: newOwnership(cfg.Self.Address), records: map[string]*record{}}
}

// ConfirmHosts takes a confirmed state of the published host list. Call it at
// every confirmation, also when nothing changed.
func (r *Registry) ConfirmHosts(now time.Duration, list HostList) {
	forget := max(r.cfg.OrderedLife, r.cfg.OpaqueWindow) + r.cfg.holdOff() + r.cfg.AheadLimit + r.cfg.ClockError
	r.owners.set(now, list, r.cfg.Freshness, forget)
}

// ObservePeerRevision notes a list revision that a peer has. While a peer knows a newer list
// this process's own confirmation is worth nothing.
// It may be called at each gossip message and is called for forwarded calls.
func (r *Registry) ObservePeerRevision(now time.Duration, revision uint64) {
	r.owners.heard(now, revision)
}

// NextSequence numbers the keys that this process mints.
func (r *Registry) NextSequence() uint64 {
	r.minted++
	return r.minted
}

// Owner names the entry that owns a caller's key by the list in force.
func (r *Registry) Owner(account string, key Key) string {
	return r.owners.owner(hashOf(recordID(account, key)))
}

// Len and Bytes give the record's size for counters.
func (r *Registry) Len() int         { return len(r.records) }
func (r *Registry) AnswerBytes() int { return r.bytes }

func recordID(account string, key Key) string { return account + "\x00" + key.ID }

func hashOf(id string) uint64 { return xxhash.Sum64String(id) }

// Begin decides about a call that has just arrived.
func (r *Registry) Begin(now time.Duration, call Call) Decision {
	r.expire(now)
	id := recordID(call.Account, call.Key)
	if rec := r.records[id]; rec != nil {
		return r.again(rec, call)
	}
	if d, mine := r.place(now, call, id); !mine {
		return d
	}
	life, err := r.mayRun(now, call, id)
	if err != nil {
		return refuse(err)
	}
	if err := r.room(now); err != nil {
		return refuse(err)
	}
	r.reserve(id, call, life)
	return Decision{Action: Run}
}

// reserve puts a key on record and sets room for its answer aside.
func (r *Registry) reserve(id string, call Call, life lifetime) {
	rec := &record{
		id: id, place: notQueued, state: stateReserved, kind: call.Key.Kind,
		fingerprint: call.Fingerprint, first: life.first, expires: life.expires,
	}
	r.records[id] = rec
	r.hold(rec, r.cfg.MaxAnswer)
	r.expiry.push(rec)
}

// again answers a call whose key is on record.
func (r *Registry) again(rec *record, call Call) Decision {
	if rec.fingerprint != call.Fingerprint {
		return refuse(failure.New(failure.KindKeyReused, "this idempotency key was used for another call"))
	}
	switch rec.state {
	case stateDone:
		if rec.answer == nil {
			return refuse(failure.New(failure.KindOutcomeUnknown, "the call ran; its answer was too large to keep").Ran())
		}
		return Decision{Action: Replay, Answer: rec.answer}
	case stateUnknown:
		return refuse(failure.New(failure.KindOutcomeUnknown, "the call was sent and no answer came back").Unknown())
	case stateExpired:
		return refuse(failure.New(failure.KindKeyExpired, "the key was used longer ago than allowed").Unknown())
	default:
		return refuse(failure.New(failure.KindInProgress, "the call with this key is in progress").Unknown().After(inProgressRetry))
	}
}

// inProgressRetry is when to ask again for a call that is in progress; a plain
// service answers within a second.
const inProgressRetry = time.Second

// place says where a call belongs; mine is true when that is this process.
func (r *Registry) place(now time.Duration, call Call, id string) (d Decision, mine bool) {
	if call.Key.Kind == KeyMinted {
		return r.placeMinted(call)
	}
	if call.Forwarded && call.HostsRevision > 0 {
		r.ObservePeerRevision(now, call.HostsRevision)
	}
	if call.Incarnation != 0 && call.Incarnation != r.cfg.Self.Incarnation {
		return refuse(ownerLost()), false
	}
	owner := r.owners.owner(hashOf(id))
	switch {
	case owner == r.cfg.Self.Address:
		return Decision{}, true
	case owner == "" || call.Forwarded:
		// Passing it on again could send the call round and round while two
		// entries hold different lists.
		return refuse(unvouched("the owner of this key is not known here").After(r.cfg.Freshness)), false
	default:
		return Decision{Action: Forward, Owner: Process{Address: owner}}, false
	}
}

func (r *Registry) placeMinted(call Call) (Decision, bool) {
	owner := call.Key.Owner
	switch {
	case owner == r.cfg.Self:
		return Decision{}, true
	case owner.Address == r.cfg.Self.Address || call.Forwarded:
		// An earlier process at this address made the key. It may have run the
		// call; nobody is left who knows.
		return refuse(ownerLost()), false
	default:
		return Decision{Action: Forward, Owner: owner}, false
	}
}

func ownerLost() *failure.Error {
	return failure.New(failure.KindOwnerLost, "the entry that could run this call is gone").Unknown()
}

// OwnerUnreachable is the answer when the owner that Begin named does not
// answer: it may have run the call earlier, so the outcome is unknown. Asking
// again makes sense, since an owner that was paused or cut off still knows
// once it is back.
func OwnerUnreachable(cause error) *failure.Error {
	return failure.Wrap(cause, failure.KindOwnerLost, "the entry that may run this call can't be reached").
		Unknown().After(ownerRetry)
}

// ownerRetry is when to ask again for an owner that did not answer. Pauses and
// short partitions are over by then.
const ownerRetry = 5 * time.Second

func unvouched(why string) *failure.Error {
	return failure.New(failure.KindKeyUnvouched, "%s; it may have run at another entry", why).Unknown()
}

// Check is called right before the first byte goes to the target. A process
// that slept since Begin finds out here that its right has ended. until is
// when the first byte must have left: a pause between Check and the write that
// ends before it is harmless; it is at least Margin long.
func (r *Registry) Check(now time.Duration, account string, key Key) (until time.Duration, err *failure.Error) {
	id := recordID(account, key)
	rec := r.records[id]
	if rec == nil || rec.state != stateReserved {
		return 0, unvouched("the key's record has ended meanwhile")
	}
	until = rec.expires
	if key.Kind != KeyMinted {
		ready, err := r.vouch(now, id)
		if err == nil && rec.first < ready {
			// The key was another's for a while since Begin.
			err = unvouched("this entry lost the key for a while")
		}
		if err != nil {
			r.drop(rec)
			return 0, err
		}
		until = r.owners.confirmed + r.cfg.holdOff()
	}
	rec.state = stateSent
	return until, nil
}

// MarkFinished records the target's answer.
func (r *Registry) MarkFinished(account string, key Key, answer *Answer) {
	rec := r.records[recordID(account, key)]
	if rec == nil || rec.state != stateSent {
		return
	}
	rec.state = stateDone
	size := answer.size()
	if size > r.cfg.MaxAnswer {
		r.hold(rec, 0)
		return
	}
	rec.answer = answer
	r.hold(rec, size)
}

// MarkLost records that the call was sent and that no answer came.
func (r *Registry) MarkLost(account string, key Key) {
	rec := r.records[recordID(account, key)]
	if rec == nil || rec.state != stateSent {
		return
	}
	rec.state = stateUnknown
	r.hold(rec, 0)
}

// MarkNotRun records that the call certainly did not run: it was never sent, or
// the target itself said so. The key may be used again.
func (r *Registry) MarkNotRun(account string, key Key) {
	rec := r.records[recordID(account, key)]
	if rec != nil && (rec.state == stateReserved || rec.state == stateSent) {
		r.drop(rec)
	}
}

// hold sets the bytes that a record counts for.
func (r *Registry) hold(rec *record, size int) {
	r.bytes += size - rec.held
	rec.held = size
}

func (r *Registry) drop(rec *record) {
	r.hold(rec, 0)
	r.expiry.remove(rec)
	delete(r.records, rec.id)
}
