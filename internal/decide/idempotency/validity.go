package idempotency

import (
	"time"

	"filbertdeck/internal/failure"
)

// keyValidity holds the earliest time at which any entry can have accepted a
// key, and the time from which every entry refuses it.
type keyValidity struct{ earliestAccept, expires time.Duration }

// validateNewKey decides whether this process, the owner of the key, may run a
// call with a key that is not on record.
func (r *Registry) validateNewKey(now time.Duration, call Call, id string) (keyValidity, *failure.Error) {
	switch call.Key.Kind {
	case KeyMinted:
		return r.validateMinted(now, call.Key)
	case KeyTimeOrdered:
		return r.validateTimeOrdered(now, call, id)
	default:
		return r.validateOpaque(now, id)
	}
}

func (r *Registry) validateMinted(now time.Duration, key Key) (keyValidity, *failure.Error) {
	expires := key.MintedAt + r.cfg.MintedTTL
	if now >= expires {
		return keyValidity{}, failure.New(failure.KindKeyExpired, "the idempotency key has expired").WithExecutionUnknown()
	}
	return keyValidity{earliestAccept: key.MintedAt, expires: expires}, nil
}

func (r *Registry) validateTimeOrdered(now time.Duration, call Call, id string) (keyValidity, *failure.Error) {
	age := call.WallTime.Sub(call.Key.Timestamp)
	if age < -r.cfg.MaxFutureTimestamp {
		return keyValidity{}, failure.New(failure.KindKeyInvalid, "the key's timestamp is in the future").WithExecutionUnknown()
	}
	if age >= r.cfg.TimeOrderedTTL {
		return keyValidity{}, failure.New(failure.KindKeyExpired, "the idempotency key has expired").WithExecutionUnknown()
	}
	validity := keyValidity{
		earliestAccept: now - age - r.cfg.MaxFutureTimestamp - r.cfg.MaxClockSkew,
		// From this time on every entry finds the key expired by its timestamp.
		expires: now - age + r.cfg.TimeOrderedTTL + r.cfg.MaxClockSkew,
	}
	exclusiveSince, err := r.exclusiveOwnerSince(now, id)
	if err == nil && validity.earliestAccept < exclusiveSince {
		// No retry time: the key's timestamp does not change, so waiting does
		// not help.
		err = notExclusiveError("the key is older than this entry's ownership of it")
	}
	return validity, err
}

func (r *Registry) validateOpaque(now time.Duration, id string) (keyValidity, *failure.Error) {
	validity := keyValidity{earliestAccept: now - r.cfg.OpaqueTTL, expires: now + r.cfg.OpaqueTTL}
	exclusiveSince, err := r.exclusiveOwnerSince(now, id)
	if err == nil && validity.earliestAccept < exclusiveSince {
		err = notExclusiveError("this entry became the key's owner too recently").WithRetryAfter(exclusiveSince - validity.earliestAccept)
	}
	return validity, err
}

// exclusiveOwnerSince returns the time from which this process has been the
// only one that can accept the key: it has owned the key without interruption,
// and earlier owners have stopped. It fails while the host list is not
// confirmed.
func (r *Registry) exclusiveOwnerSince(now time.Duration, id string) (exclusiveSince time.Duration, err *failure.Error) {
	since, ok := r.ownership.ownerSince(hashOf(id))
	if !ok {
		return 0, notExclusiveError("this entry is not the key's owner").WithRetryAfter(r.cfg.MaxConfirmationAge)
	}
	if now-r.ownership.confirmedAt > r.cfg.MaxConfirmationAge {
		return 0, notExclusiveError("the host list is not confirmed").WithRetryAfter(r.cfg.MaxConfirmationAge)
	}
	if r.ownership.peerRevision > r.ownership.revision {
		return 0, notExclusiveError("a newer host list exists").WithRetryAfter(r.cfg.MaxConfirmationAge)
	}
	return since + r.cfg.handoverDelay(), nil
}

// ensureCapacity makes room for one more key by removing expired ones, or
// returns an error. A key that has not expired is never removed, because its
// call could then run a second time.
func (r *Registry) ensureCapacity(now time.Duration) *failure.Error {
	full := func() bool {
		return len(r.records) >= r.cfg.MaxKeys || r.chargedBytes+r.cfg.MaxBytesPerAnswer > r.cfg.MaxTotalAnswerBytes
	}
	for full() && r.dropExpired() {
	}
	if !full() {
		return nil
	}
	return failure.New(failure.KindOverloaded, "the record of idempotency keys is full").WithRetryAfter(r.expiry.timeToNextExpiry(now))
}
