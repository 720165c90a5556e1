package streamorigin

import (
	"crypto/sha256"
	"time"
)

// Key identifies a stream: the account and the attempt that brought its first event.
type Key [16]byte

// KeyOf returns the key of the stream that an attempt of an account began. A stream of
// one account can't be found by another one.
func KeyOf(account, attempt string) Key {
	d := sha256.New()
	d.Write([]byte(account))
	d.Write([]byte{0})
	d.Write([]byte(attempt))
	return Key(d.Sum(nil)[:len(Key{})])
}

// Record says where a stream began.
type Record struct {
	Key    Key
	Origin Origin
	// Lifetime is how long the stream may still be taken up.
	Lifetime time.Duration
}

const (
	// maxRecords bounds the records of a registry: some 2 MB.
	maxRecords = 16384
	// maxLifetime bounds the lifetime of a record.
	maxLifetime = time.Hour
	// pruneInterval is the least time between two searches for expired records.
	pruneInterval = time.Second
)

// Registry holds records of streams. It is not safe for concurrent use; times are on the
// monotonic clock.
type Registry struct {
	records  map[Key]record
	prunedAt time.Duration
}

type record struct {
	origin  Origin
	expires time.Duration
	// conflict is set if hosts named several origins.
	conflict bool
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{records: map[Key]record{}} }

// Add adds a record, or extends the lifetime of the present one.
func (r *Registry) Add(now time.Duration, added Record) {
	r.prune(now)
	entry := record{origin: added.Origin, expires: now + min(added.Lifetime, maxLifetime)}
	if present, known := r.records[added.Key]; known && present.expires > now {
		entry.conflict = present.conflict || present.origin != entry.origin
		entry.expires = max(entry.expires, present.expires)
	}
	r.records[added.Key] = entry
}

// Find returns what is recorded of a stream: nil if nothing is, and conflict if several
// origins were.
func (r *Registry) Find(now time.Duration, key Key) (origin *Origin, conflict bool) {
	entry, known := r.records[key]
	if !known || entry.expires <= now {
		return nil, false
	}
	if entry.conflict {
		return nil, true
	}
	return &entry.origin, false
}

// Len returns the number of records.
func (r *Registry) Len() int { return len(r.records) }

// prune removes expired records, and arbitrary ones if there are too many.
func (r *Registry) prune(now time.Duration) {
	if now-r.prunedAt < pruneInterval && len(r.records) < maxRecords {
		return
	}
	r.prunedAt = now
	for key, entry := range r.records {
		if entry.expires <= now {
			delete(r.records, key)
		}
	}
	if len(r.records) < maxRecords {
		return
	}
	for key := range r.records {
		if len(r.records) <= maxRecords*7/8 {
			return
		}
		delete(r.records, key)
	}
}
