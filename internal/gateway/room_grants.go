package gateway

import (
	"slices"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/decide/roomgrant"
	"filbertdeck/internal/decide/targetload"
	"filbertdeck/internal/directory"
)

// RoomOwners reaches the hosts that own targets' counts, for grants of room there.
type RoomOwners interface {
	// RequestRoom asks the owner of a target's counts for room. own is this host's count
	// there without the generation. False without an answer.
	RequestRoom(target TargetRef, own targetload.HostLoad, r roomgrant.Request) (RoomReply, bool)
	// SendCount sends this host's count of a target to its owners and does not wait for
	// an answer.
	SendCount(target TargetRef, own targetload.HostLoad)
}

// RoomReply is an owner's answer to a request for room.
type RoomReply struct {
	// Counts are all hosts' counts of the target, with granted room.
	Counts []targetload.HostLoad
	// Decided is set if the owner granted or denied the request. Owners of an earlier
	// build and those that do not know the target only return the counts.
	Decided, Granted bool
}

// roomCounters count grants of room: the first three for this host's requests, expired
// for grants that this host made as an owner. allLate counts the searches in which a most
// urgent generation would have been late at all engines.
type roomCounters struct{ granted, denied, unanswered, expired, allLate gometrics.Counter }

func newRoomCounters(counter func(name string) gometrics.Counter) roomCounters {
	return roomCounters{granted: counter("room_granted"), denied: counter("room_denied"), unanswered: counter("room_unanswered"), expired: counter("room_expired"), allLate: counter("searches_all_late")}
}

// unregisteredCounter returns a counter for loads that no gateway uses.
func unregisteredCounter(string) gometrics.Counter { return gometrics.NewCounter() }

// pendingRoom is what a reservation's request for room goes by.
type pendingRoom struct {
	// before is this host's load at the target without the reservation, version that of
	// its count with it.
	before  targetload.Load
	version uint64
	// granted is set if the room was granted, unanswered if it may have been: no answer
	// came. decidedAt is the time of either.
	granted, unanswered bool
	decidedAt           time.Duration
}

// SetRoomOwners sets how the owners of targets' counts are asked for room. Without it
// owners are only told of the choices.
func (l *TargetLoads) SetRoomOwners(owners RoomOwners) { l.roomOwners = owners }

// DecideRoom grants or denies a request for room at a target whose counts this host
// owns. own is the asking host's count there without the generation.
func (l *TargetLoads) DecideRoom(view *directory.View, own targetload.HostLoad, r roomgrant.Request) RoomReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Host, r.Version = own.Host, own.Version
	if !l.rooms.HasEnded(l.now(), own.Target, r) {
		// The count of a request that has ended is out of date as well. It would stay as load
		// if the host's newer, empty count was not kept.
		l.mergeLoads("", []targetload.HostLoad{own})
	}
	engine, known := engineSize(view, own.Target)
	if !known {
		return RoomReply{Counts: l.countsForHost(own.Host, own.Target)}
	}
	decision := l.rooms.Decide(l.now(), engine, l.hostLoads.ForTarget(l.now(), own.Target), r)
	return RoomReply{Counts: l.countsForHost(own.Host, own.Target), Decided: true, Granted: decision == roomgrant.Granted}
}

// engineSize returns the size of an engine; false if the target is not known as one.
func engineSize(view *directory.View, target string) (roomgrant.Engine, bool) {
	if view == nil {
		return roomgrant.Engine{}, false
	}
	t, known := view.Target(target)
	if !known {
		return roomgrant.Engine{}, false
	}
	s, known := view.Service(t.Service)
	if !known || s.Engine == nil {
		return roomgrant.Engine{}, false
	}
	return roomgrant.Engine{ID: t.ID, Slots: t.Slots, MemoryTokens: s.Engine.MemoryTokens}, true
}

// countsForHost returns all known counts of a target for a host that asks, with granted
// room. This host itself gets the counts alone, since it adds its grants where it chooses.
func (l *TargetLoads) countsForHost(host, target string) []targetload.HostLoad {
	counts := l.hostLoads.ForTarget(l.now(), target)
	if host == l.address {
		return counts
	}
	return l.rooms.AddTo(l.now(), target, counts)
}

// othersLoad returns the load of other hosts at a target, with the room that this host
// granted them and the room that the target's owner reported as granted.
func (l *TargetLoads) othersLoad(target string) targetload.Load {
	granted := l.rooms.Outstanding(l.now(), target).Add(l.reportedRoom.Outstanding(l.now(), target))
	return l.hostLoads.Total(l.now(), target).OtherHostsLoad.Add(granted)
}

// confirmGrants ends the grants that received counts follow.
func (l *TargetLoads) confirmGrants(counts []targetload.HostLoad) {
	for _, c := range counts {
		l.rooms.Confirm(c.Host, c.Target, c.Version)
		l.reportedRoom.Confirm(c.Host, c.Target, c.Version)
	}
}

// rememberIdle remembers those of the counts that hosts sent here as to an owner which
// hold no generations, for requests for room that these counts have overtaken.
func (l *TargetLoads) rememberIdle(counts []targetload.HostLoad) {
	if !l.SendsToOwnersOnly() {
		return
	}
	for _, c := range counts {
		if c.Running == 0 && c.Version > 0 {
			l.rooms.RememberIdle(l.now(), c.Host, c.Target, c.Version)
		}
	}
}

// expireGrants drops grants and remembered requests that are no longer valid.
func (l *TargetLoads) expireGrants() {
	l.roomCounts.expired.Inc(int64(l.rooms.Expire(l.now())))
	l.reportedRoom.Expire(l.now())
}

// requestsRoom reports whether a request's room must be granted by owners.
func (l *TargetLoads) requestsRoom(req PlacementRequest) bool {
	return req.GrantsRoom && l.roomOwners != nil && l.queriesOwners()
}

// goesFirst reports whether owners keep room for a request that they denied: a move or
// one of the most urgent, where others can wait for these.
func goesFirst(view *directory.View, req PlacementRequest) bool {
	policy := view.ContentionPolicy(req.Service)
	return req.Move || policy.Active && req.Priority <= policy.MostUrgentPriority
}

// acquireUnknown asks for room that this host does not know of, for a request that goes
// first: the owner of the best target keeps room there that becomes free.
func (l *TargetLoads) acquireUnknown(view *directory.View, req PlacementRequest, sampled []*directory.ObservedTarget) (*directory.ObservedTarget, *Reservation, Outcome) {
	if !l.requestsRoom(req) || !goesFirst(view, req) {
		return nil, nil, NoRoom
	}
	anywhere := req
	anywhere.MemoryShare, anywhere.AnyRoom = 0, false
	r, _ := l.reserveBest(view, anywhere, sampled, false)
	if r == nil {
		return nil, nil, NoRoom
	}
	if l.requestRoom(req, r) != roomGranted {
		l.withdraw(r)
		return nil, nil, NoRoom
	}
	return r.entry, r, Placed
}

// reserveGranted returns a reservation for which the target's owner granted room. It
// begins with the reservation of the best of the sampled targets. On a denial it tries
// the next best one, and after a grant one that is better by the owner's newest counts;
// the granted room is held until the other one is granted as well.
//
// Without an answer it goes on by the counts that this host has, as it does without
// grants.
func (l *TargetLoads) reserveGranted(view *directory.View, req PlacementRequest, sampled []*directory.ObservedTarget, first *Reservation) (*directory.ObservedTarget, *Reservation, Outcome) {
	left := slices.Clone(sampled)
	req.AnyRoom = true
	var held *Reservation
	for next, asked := first, 1; next != nil; asked++ {
		left = slices.DeleteFunc(left, func(t *directory.ObservedTarget) bool { return t.ID == next.targetID })
		result := l.requestRoom(req, next)
		if result == roomGranted || result != roomDenied && held == nil {
			l.abandon(held)
			held = next
		} else {
			l.withdraw(next)
		}
		next = nil
		switch {
		case asked == maxOwnerQueries || result == roomUnanswered:
		case held != nil && result != roomDenied:
			next = l.reserveBetter(view, req, left, held)
		case held == nil:
			next, _ = l.reserveBest(view, req, left, false)
		}
	}
	if held == nil {
		return nil, nil, NoRoom
	}
	return held.entry, held, Placed
}

// roomResult is the result of a request for room.
type roomResult int

const (
	roomGranted roomResult = iota
	roomDenied
	// roomUndecided means that the owner answered with counts only.
	roomUndecided
	roomUnanswered
)

// requestRoom asks the owner of a reserved target for its room.
func (l *TargetLoads) requestRoom(req PlacementRequest, r *Reservation) roomResult {
	l.mu.Lock()
	own := l.hostLoads.LocalCount(r.targetID)
	own.Load, own.Version = r.room.before, r.room.version-1
	load := l.loadOf(r.targetID)
	load.sentVersion = max(load.sentVersion, own.Version)
	l.mu.Unlock()
	asked := l.now()
	room := roomgrant.Request{
		ID: req.RoomID, Tokens: r.load.ReservedTokens, PromptTokens: r.load.UnreadTokens, MemoryShare: req.MemoryShare,
		Priority: req.Priority, Move: req.Move,
	}
	if req.PromptLimit != nil {
		room.LimitsUnread, room.MaxUnreadTokens = true, req.PromptLimit.Tokens(r.candidate)
	}
	reply, answered := l.roomOwners.RequestRoom(refOf(r.entry), own, room)
	if !answered {
		l.roomCounts.unanswered.Inc(1)
		l.mu.Lock()
		defer l.mu.Unlock()
		r.room.unanswered, r.room.decidedAt = true, l.now()
		return roomUnanswered
	}
	l.mergeAnswer(asked, r.targetID, reply.Counts)
	switch {
	case !reply.Decided:
		l.roomCounts.unanswered.Inc(1)
		// The owner was only told of the load without the generation.
		l.sendCount(r.entry)
		return roomUndecided
	case !reply.Granted:
		l.roomCounts.denied.Inc(1)
		return roomDenied
	}
	l.roomCounts.granted.Inc(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	r.room.granted, r.room.decidedAt = true, l.now()
	return roomGranted
}

// mergeAnswer merges an owner's answer, with all counts of a target, to a question that
// was sent at the given time.
func (l *TargetLoads) mergeAnswer(asked time.Duration, target string, counts []targetload.HostLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := l.reportedRoom.Replace(asked, l.now(), l.address, target, counts)
	l.hostLoads.ReplaceTarget(asked, l.now(), target, own)
	l.loadOf(target).answeredAt = l.now()
	for _, c := range counts {
		if c.Granted != nil {
			// The host's count that includes the room may have arrived before the answer.
			l.reportedRoom.Confirm(c.Host, target, l.hostLoads.VersionOf(target, c.Host))
		}
	}
	l.confirmGrants(own)
	l.learnSpeeds(own)
}

// withdraw releases a reservation that got no room. The owners are told if counts
// that include it were sent meanwhile and none since the release.
func (l *TargetLoads) withdraw(r *Reservation) {
	l.abandon(r)
	l.mu.Lock()
	sentVersion := l.loadOf(r.targetID).sentVersion
	sent := sentVersion >= r.room.version && sentVersion < l.hostLoads.LocalCount(r.targetID).Version
	l.mu.Unlock()
	if sent {
		l.sendCount(r.entry)
	}
}

// abandon releases a reservation for which nothing was sent to the target; nil for none.
func (l *TargetLoads) abandon(r *Reservation) {
	if r == nil {
		return
	}
	r.Release()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loadOf(r.targetID).coldLimiter.CancelSend()
	l.rates.ReturnToken(r.targetID)
}

// releaseGrant tells the owners that a generation has ended whose room was granted a
// moment ago, or may have been. Its host's counts may not have followed the grant yet.
func (r *Reservation) releaseGrant() {
	r.loads.mu.Lock()
	recent := (r.room.granted || r.room.unanswered) && r.loads.now()-r.room.decidedAt < roomgrant.GrantLifetime
	r.room.granted, r.room.unanswered = false, false
	r.loads.mu.Unlock()
	if recent {
		r.loads.sendCount(r.entry)
	}
}

// sendCount sends the owners of a target this host's count there.
func (l *TargetLoads) sendCount(t *directory.ObservedTarget) {
	l.mu.Lock()
	own := l.hostLoads.LocalCount(t.ID)
	l.loadOf(t.ID).sentVersion = own.Version
	l.mu.Unlock()
	l.roomOwners.SendCount(refOf(t), own)
}

func refOf(t *directory.ObservedTarget) TargetRef { return TargetRef{t.ID, t.DataCentre} }
