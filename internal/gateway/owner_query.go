package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"filbertdeck/internal/decide/placement"
	"filbertdeck/internal/decide/targetload"
	"filbertdeck/internal/directory"
)

// TargetRef identifies a target, for finding the host that owns its load
// counts.
type TargetRef struct{ ID, DataCentre string }

// OwnerQueryFunc sends the owner of a target's load counts this host's counts there
// and returns the counts that the owner knows; false without an answer.
//
// Hundreds of hosts place some fifty prompts a second, and the counts of a
// placement take tenths of a second to reach all hosts. In that time several
// hosts chose the same engine that looked idle to each: its prompts waited for
// seconds and its memory ran out while other engines had room. Sending all
// counts through all hosts also costs bandwidth. So each target has one owner,
// found by rendezvous hashing. A host that chooses a target reports the choice
// to its owner, and asks the owner for the counts of other hosts before it
// chooses. This only improves placement and no guarantee depends on it: without
// an answer, or when two hosts both act as owner, targets are chosen by the
// counts that this host has.
type OwnerQueryFunc func(target TargetRef, own []targetload.HostLoad) ([]targetload.HostLoad, bool)

const (
	// maxOwnerQueries limits the owners queried one after the other for one
	// request: each query costs a round trip of some milliseconds.
	maxOwnerQueries = 3
	// minDelaySaving is the expected delay that another target must save to
	// replace one whose owner was already told of the request.
	minDelaySaving = 100 * time.Millisecond
	// neverAnswered stands for the time of the last answer where there was none.
	neverAnswered = -time.Hour
)

// SetOwnerQuery sets the function that queries owners. Without it no owner is
// queried.
func (l *TargetLoads) SetOwnerQuery(query OwnerQueryFunc) { l.ownerQuery = query }

// AnswerOwnerQuery merges the counts of another host and returns all counts
// known here for the same targets.
func (l *TargetLoads) AnswerOwnerQuery(counts []targetload.HostLoad) []targetload.HostLoad {
	l.MergeLoads("", counts)
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []targetload.HostLoad
	for _, c := range counts {
		all = append(all, l.countsForHost(c.Host, c.Target)...)
	}
	return all
}

// queryOwners queries the owners of several targets in parallel for a
// generation and merges their counts; false when none answered. Requests to
// plain services are over before their counts could arrive, so they cause no
// queries.
func (l *TargetLoads) queryOwners(req PlacementRequest, sampled []*directory.ObservedTarget) bool {
	if req.Prompt.Tokens == 0 || !l.queriesOwners() {
		return false
	}
	var wg sync.WaitGroup
	var answered atomic.Bool
	for _, t := range sampled {
		wg.Go(func() {
			if l.queryOwner(t) {
				answered.Store(true)
			}
		})
	}
	wg.Wait()
	return answered.Load()
}

// queriesOwners reports whether owners are queried.
func (l *TargetLoads) queriesOwners() bool { return l.ownerQuery != nil && l.SendsToOwnersOnly() }

// countsAge returns the time since the owner of a target's counts answered; 0 if this host
// hears all counts without asking.
func (l *TargetLoads) countsAge(own *targetLoad) time.Duration {
	if !l.queriesOwners() {
		return 0
	}
	return l.now() - own.answeredAt
}

// queryOwner sends a target's owner this host's counts there and merges the
// counts it returns; false without an answer.
func (l *TargetLoads) queryOwner(t *directory.ObservedTarget) bool {
	l.mu.Lock()
	own := l.hostLoads.LocalCount(t.ID)
	l.loadOf(t.ID).sentVersion = own.Version
	l.mu.Unlock()
	asked := l.now()
	counts, answered := l.ownerQuery(refOf(t), []targetload.HostLoad{own})
	if !answered {
		return false
	}
	l.mergeAnswer(asked, t.ID, counts)
	return true
}

// confirm queries the owner of the reserved target and moves the reservation to
// another sampled target while one is better. After the last query it moves
// only to a target whose owner was queried.
func (l *TargetLoads) confirm(view *directory.View, req PlacementRequest, sampled []*directory.ObservedTarget, reservation *Reservation) *Reservation {
	var queried []*directory.ObservedTarget
	for try := range maxOwnerQueries {
		if !l.queryReservationOwner(reservation) {
			break
		}
		queried = append(queried, reservation.entry)
		if try == maxOwnerQueries-1 {
			sampled = queried
		}
		other := l.reserveBetter(view, req, sampled, reservation)
		if other == nil {
			break
		}
		reservation.Release()
		// Tells the owner of the release. It would otherwise count the request
		// until the next regular report, and other hosts would avoid an engine
		// that has room.
		l.queryReservationOwner(reservation)
		reservation = other
	}
	return reservation
}

// queryReservationOwner reports a reservation to the target's owner and merges
// the owner's counts; false when no owner was queried or none answered.
func (l *TargetLoads) queryReservationOwner(r *Reservation) bool {
	return l.queriesOwners() && l.queryOwner(r.entry)
}

// reserveBetter reserves another of the sampled targets, where the request now
// adds less delay than at its present target; nil when there is none.
func (l *TargetLoads) reserveBetter(view *directory.View, req PlacementRequest, sampled []*directory.ObservedTarget, r *Reservation) *Reservation {
	l.mu.Lock()
	defer l.mu.Unlock()
	others := slices.DeleteFunc(slices.Clone(sampled), func(t *directory.ObservedTarget) bool {
		// By old counts another target may look better than it is.
		return t.ID == r.targetID || req.PrefillBudget > 0 && !placement.HasRecentCounts(l.countsAge(l.loadOf(t.ID)))
	})
	available := l.refresh(view, req, others)
	here := l.newCandidate(view, r.entry, req.Locality, l.othersLoad(r.targetID).Sub(r.load))
	best := available.choose(l.rng, req)
	if best < 0 || placement.MarginalDelay(available.candidates[best], req.work())+minDelaySaving > placement.MarginalDelay(here, req.work()) {
		return nil
	}
	return l.reserveCandidate(available.targets[best], available.candidates[best], req.Prompt)
}
