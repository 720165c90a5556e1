package gateway

import (
	"filbertdeck/internal/decide/brittle"
	"filbertdeck/internal/decide/placement"
	"filbertdeck/internal/decide/targetload"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/wake"
)

// brittleMemoryShare is the share of a brittle engine's memory that may be reserved.
// Generations beyond it wait at the engine, and it lets only a few wait.
const brittleMemoryShare = 1.0

// ObserveBrittle records whether a target said in an answer to this host that it is
// brittle. It reports whether that is new to this host.
func (l *TargetLoads) ObserveBrittle(t directory.Target, isBrittle bool) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	was := l.brittle.IsBrittle(l.now(), t.Lifetime())
	said := brittle.Statement{Brittle: isBrittle, StartedUnixMilli: t.StartedUnixMilli, Slots: t.Slots, At: l.now()}
	if l.brittle.Observe(t.ID, said) {
		l.alerts.SetBrittle(l.now(), t.ID, said)
		wake.Signal(l.alertsChanged)
	}
	return was != isBrittle
}

// mergeBrittle merges what targets said to other hosts.
func (l *TargetLoads) mergeBrittle(alerts []targetload.HostLoad) {
	for _, c := range alerts {
		if c.Brittle != nil && c.Host != l.address {
			l.brittle.Merge(c.Target, *c.Brittle)
		}
	}
}

// RecordTurnedAway records that a target turned a request of this host away for want
// of room.
func (l *TargetLoads) RecordTurnedAway(t directory.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.brittle.RecordTurnedAway(l.now(), t.Lifetime())
}

// RecordReturned records that another host returned one of this host's places at a
// target.
func (l *TargetLoads) RecordReturned(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.brittle.RecordReturned(target)
}

// placesAt returns this host's part of a target's places.
func (l *TargetLoads) placesAt(target string) brittle.Host {
	rank, hosts := l.rank(target)
	return brittle.Host{Rank: rank, Hosts: hosts, InUse: l.loadOf(target).Running}
}

// takePlace takes this host's place for a request to a target, which only brittle ones
// limit. It returns the host to which the place must be returned, empty for none.
func (l *TargetLoads) takePlace(target string) (lender string) {
	if _, isBrittle := l.brittle.Slots(l.now(), target); !isBrittle {
		return ""
	}
	return l.brittle.TakePlace(l.now(), target, l.placesAt(target))
}

// hasPlace reports whether this host may send one more request to a target without
// risking that it is turned away. Requests of plain services are over before their
// counts could reach other hosts, so the places of a brittle target are divided. The
// counts of generations do reach other hosts, so an engine's memory tells.
func (l *TargetLoads) hasPlace(view *directory.View, t directory.Target) bool {
	if !l.brittle.IsBrittle(l.now(), t.Lifetime()) {
		return true
	}
	if s, known := view.Service(t.Service); known && s.Engine != nil {
		return !l.brittle.IsPaused(l.now(), t.Lifetime())
	}
	return l.brittle.Allows(l.now(), t.Lifetime(), l.placesAt(t.ID))
}

// overfillsBrittle reports whether a target is a brittle engine without memory for a
// number of tokens.
func (l *TargetLoads) overfillsBrittle(t directory.Target, c placement.Candidate, tokens int) bool {
	return c.MemoryTokens > 0 && l.brittle.IsBrittle(l.now(), t.Lifetime()) && !placement.HasMemory(c, tokens, brittleMemoryShare)
}

// brittleCount returns the number of targets that say that they are brittle.
func (l *TargetLoads) brittleCount() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(l.brittle.Count(l.now()))
}
