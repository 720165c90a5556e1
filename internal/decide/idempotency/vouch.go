package idempotency

import (
	"time"

	"filbertdeck/internal/failure"
)

// lifetime is the time in which a key can have been and will be accepted.
type lifetime struct{ first, expires time.Duration }

// mayRun decides whether this process, the key's owner, may run a new key.
func (r *Registry) mayRun(now time.Duration, call Call, id string) (lifetime, *failure.Error) {
	switch call.Key.Kind {
	case KeyMinted:
		return r.mayRunMinted(now, call.Key)
	case KeyOrdered:
		return r.mayRunOrdered(now, call, id)
	default:
		return r.mayRunOpaque(now, id)
	}
}

func (r *Registry) mayRunMinted(now time.Duration, key Key) (lifetime, *failure.Error) {
	expires := key.MintedAt + r.cfg.MintedLife
	if now >= expires {
		return lifetime{}, failure.New(failure.KindKeyExpired, "the key's life is over").Unknown()
	}
	return lifetime{first: key.MintedAt, expires: expires}, nil
}

func (r *Registry) mayRunOrdered(now time.Duration, call Call, id string) (lifetime, *failure.Error) {
	age := call.WallTime.Sub(call.Key.Stamp)
	if age < -r.cfg.AheadLimit {
		return lifetime{}, failure.New(failure.KindKeyInvalid, "the key's time lies in the future").Unknown()
	}
	if age >= r.cfg.OrderedLife {
		return lifetime{}, failure.New(failure.KindKeyExpired, "the key's life is over").Unknown()
	}
	life := lifetime{
		first: now - age - r.cfg.AheadLimit - r.cfg.ClockError,
		// Past this time every entry finds the key expired by its stamp.
		expires: now - age + r.cfg.OrderedLife + r.cfg.ClockError,
	}
	ready, err := r.vouch(now, id)
	if err == nil && life.first < ready {
		// Waiting does not help: the key's time stays what it is.
		err = unvouched("the key is older than this entry's ownership")
	}
	return life, err
}

func (r *Registry) mayRunOpaque(now time.Duration, id string) (lifetime, *failure.Error) {
	life := lifetime{first: now - r.cfg.OpaqueWindow, expires: now + r.cfg.OpaqueWindow}
	ready, err := r.vouch(now, id)
	if err == nil && life.first < ready {
		err = unvouched("this entry became the key's owner too recently").After(ready - life.first)
	}
	return life, err
}

// vouch gives the time from which on this process can vouch for the key: it
// has owned it without a break, and earlier owners have stopped. It fails
// while the host list is not confirmed.
func (r *Registry) vouch(now time.Duration, id string) (ready time.Duration, err *failure.Error) {
	since, ok := r.owners.since(hashOf(id))
	if !ok {
		return 0, unvouched("this entry is not the key's owner").After(r.cfg.Freshness)
	}
	if now-r.owners.confirmed > r.cfg.Freshness {
		return 0, unvouched("the host list is not confirmed").After(r.cfg.Freshness)
	}
	if r.owners.news > r.owners.revision {
		return 0, unvouched("a newer host list exists").After(r.cfg.Freshness)
	}
	return since + r.cfg.holdOff(), nil
}

// room makes place for one more key, or refuses: forgetting a live key would
// let it run a second time.
func (r *Registry) room(now time.Duration) *failure.Error {
	full := func() bool {
		return len(r.records) >= r.cfg.MaxKeys || r.bytes+r.cfg.MaxAnswer > r.cfg.MaxAnswerBytes
	}
	for full() && r.dropExpired() {
	}
	if !full() {
		return nil
	}
	return failure.New(failure.KindOverloaded, "the record of idempotency keys is full").After(r.expiry.wait(now))
}
