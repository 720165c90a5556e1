// Package roomgrant decides, at the host that owns an engine's load counts, which
// generations get the engine's room.
//
// It is made for hosts that search for room at the same time. Each of them sees the
// same free room in the owner's counts, and several take it: the engine's memory runs
// out and it preempts generations. The owner grants the room to one of them. A grant
// counts as load until the counts of the host that it was made to include the
// generation, or until it expires.
//
// A request that was denied is remembered for a moment. Room that is too small for it
// and another one is kept for it if it goes first, so that less urgent generations do
// not take each part of the room as it becomes free.
//
// Types in this package are not safe for concurrent use. Times are on the monotonic
// clock.
package roomgrant

import (
	"maps"
	"slices"
	"time"

	"filbertdeck/internal/decide/placement"
	"filbertdeck/internal/decide/targetload"
)

const (
	// GrantLifetime is how long a grant counts without counts of its host that include
	// the generation. Hosts send changed counts every 100 ms, so that a few can be lost.
	GrantLifetime = 500 * time.Millisecond
	// denialMemory is how long a denied request is remembered: generations that wait
	// search again every 50 to 300 ms.
	denialMemory = 300 * time.Millisecond
	// idleMemory is how long the version of a host's count without generations is
	// remembered, for requests that arrive after it. A later one is held for at most as
	// long as any grant.
	idleMemory = GrantLifetime
)

// Engine is the size of an engine.
type Engine struct {
	ID                  string
	Slots, MemoryTokens int
}

// Request asks for room for one generation.
type Request struct {
	// Host is the host that asks, ID the generation. A request with an ID that was
	// granted or denied before takes the place of the earlier one.
	Host string
	ID   uint64
	// Version is that of the host's count without the generation. All counts of the
	// host with a higher version include the generation until it ends.
	Version uint64
	// Tokens is the memory that the generation is expected to take, PromptTokens the
	// length of its prompt.
	Tokens, PromptTokens int
	// MemoryShare is the share of the memory that may be reserved with the generation; 0
	// if it must not wait, and is granted in any case.
	MemoryShare float64
	// MaxUnreadTokens is the limit on the unread prompt tokens before its own, if
	// LimitsUnread is set.
	MaxUnreadTokens int
	LimitsUnread    bool
	// Priority is the generation's rank; 0 is the most urgent.
	Priority int
	// Move is set if the generation leaves another engine.
	Move bool
}

// load returns the load of the generation.
func (r Request) load() targetload.Load {
	return targetload.Load{Running: 1, ReservedTokens: r.Tokens, UnreadTokens: r.PromptTokens}
}

// precedes reports whether room is kept for r rather than given to another request. A
// move goes before others: its engine stops, while a generation that has not begun can
// wait.
func (r Request) precedes(other Request) bool {
	if r.Move != other.Move {
		return r.Move
	}
	return r.Priority < other.Priority
}

// Decision is the answer to a request.
type Decision int

const (
	// Granted means that the engine has room.
	Granted Decision = iota
	// NoMemory means that the engine lacks the memory or a slot.
	NoMemory
	// TooManyUnread means that too many prompt tokens are unread there.
	TooManyUnread
	// KeptForOther means that the room is kept for a request that goes first.
	KeptForOther
	// Ended means that the host no longer asks for the room: its generation has ended, or a
	// newer request for it has arrived.
	Ended
)

// String returns the decision as logs name it.
func (d Decision) String() string {
	return [...]string{"granted", "no memory", "too many unread prompt tokens", "kept for another request", "ended"}[d]
}

// fit returns whether an engine with the given load has room for the request.
func (r Request) fit(e Engine, load targetload.Load) Decision {
	c := placement.Candidate{Running: load.Running, Slots: e.Slots, ReservedTokens: load.ReservedTokens, BackupTokens: load.BackupTokens, MemoryTokens: e.MemoryTokens}
	switch {
	case r.MemoryShare <= 0:
		return Granted
	case !placement.HasMemory(c, r.Tokens, r.MemoryShare):
		return NoMemory
	case r.LimitsUnread && load.UnreadTokens > r.MaxUnreadTokens:
		return TooManyUnread
	}
	return Granted
}

// Ledger holds the outstanding grants and the denied requests of the engines whose
// counts a host owns.
type Ledger struct {
	engines map[string]*engineEntries
	// expired is the number of grants that expired since the last call of Expire.
	expired int
}

type engineEntries struct {
	grants, denials []entry
	// idle holds the hosts' last counts without generations. They are missing from the
	// counts that Decide gets.
	idle map[string]idleCount
}

// idleCount is the version of a host's count without generations.
type idleCount struct {
	version uint64
	until   time.Duration
}

type entry struct {
	Request
	until time.Duration
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{engines: map[string]*engineEntries{}} }

// Decide grants or denies a request. counts are all hosts' counts of the engine.
func (l *Ledger) Decide(now time.Duration, e Engine, counts []targetload.HostLoad, r Request) Decision {
	for _, c := range counts {
		l.Confirm(c.Host, e.ID, c.Version)
	}
	entries := l.entriesOf(e.ID)
	l.expired += entries.expire(now)
	if entries.hasEnded(r) {
		return Ended
	}
	entries.forget(r)
	load := entries.outstanding()
	counted := false
	for _, c := range counts {
		load = load.Add(c.Load)
		counted = counted || c.Host == r.Host && c.Version > r.Version
	}
	if counted {
		// Counts of the host that include the generation arrived before its request.
		load = load.Sub(r.load())
	}
	decision := r.fit(e, load)
	if decision == Granted && r.fit(e, entries.withKeptRoom(e, load, r)) != Granted {
		decision = KeptForOther
	}
	switch {
	case decision != Granted:
		entries.denials = append(entries.denials, entry{r, now + denialMemory})
	case !counted:
		entries.grants = append(entries.grants, entry{r, now + GrantLifetime})
	}
	return decision
}

// entriesOf returns what is held of an engine, for additions.
func (l *Ledger) entriesOf(engine string) *engineEntries {
	entries := l.engines[engine]
	if entries == nil {
		entries = &engineEntries{}
		l.engines[engine] = entries
	}
	return entries
}

// HasEnded reports whether the host no longer asks for the room of a request.
func (l *Ledger) HasEnded(now time.Duration, engine string, r Request) bool {
	entries := l.engines[engine]
	if entries == nil {
		return false
	}
	l.expired += entries.expire(now)
	return entries.hasEnded(r)
}

// RememberIdle remembers the version of a host's count without generations. All
// generations of the host that asked for room with a lower version have ended, also those
// whose requests arrive later.
func (l *Ledger) RememberIdle(now time.Duration, host, engine string, version uint64) {
	entries := l.entriesOf(engine)
	if entries.idle == nil {
		entries.idle = map[string]idleCount{}
	}
	if version >= entries.idle[host].version {
		entries.idle[host] = idleCount{version, now + idleMemory}
	}
}

// Confirm ends the grants to a host whose counts of an engine in the given version
// include the granted generations, or no longer do as they have ended.
func (l *Ledger) Confirm(host, engine string, version uint64) {
	entries := l.engines[engine]
	if entries == nil {
		return
	}
	entries.grants = slices.DeleteFunc(entries.grants, func(g entry) bool { return g.Host == host && g.Version < version })
}

// Outstanding returns the load of an engine's outstanding grants.
func (l *Ledger) Outstanding(now time.Duration, engine string) targetload.Load {
	entries := l.engines[engine]
	if entries == nil {
		return targetload.Load{}
	}
	l.expired += entries.expire(now)
	return entries.outstanding()
}

// AddTo adds the outstanding grants to all hosts' counts of an engine. A host's count
// with a grant is the one that the host itself sends next, so it bears that version. What
// was granted is marked, as the host may not send that count.
func (l *Ledger) AddTo(now time.Duration, engine string, counts []targetload.HostLoad) []targetload.HostLoad {
	entries := l.engines[engine]
	if entries == nil {
		return counts
	}
	l.expired += entries.expire(now)
	for _, g := range entries.grants {
		i := slices.IndexFunc(counts, func(c targetload.HostLoad) bool { return c.Host == g.Host })
		if i < 0 {
			i = len(counts)
			counts = append(counts, targetload.HostLoad{Host: g.Host, Target: engine})
		}
		counts[i] = g.addTo(now, counts[i])
	}
	return counts
}

// addTo adds a grant to the count of its host.
func (g entry) addTo(now time.Duration, c targetload.HostLoad) targetload.HostLoad {
	granted := targetload.Granted{Version: c.Version}
	if c.Granted != nil {
		granted = *c.Granted
	}
	granted.Load = granted.Add(g.load())
	granted.Lifetime = max(granted.Lifetime, g.until-now)
	c.Load, c.Version, c.Granted = c.Add(g.load()), max(c.Version, g.Version+1), &granted
	return c
}

// Expire drops what is no longer valid, at all engines. It returns the number of grants
// that expired since the last call: no counts of their hosts followed them.
func (l *Ledger) Expire(now time.Duration) int {
	for id, entries := range l.engines {
		l.expired += entries.expire(now)
		if len(entries.grants)+len(entries.denials)+len(entries.idle) == 0 {
			delete(l.engines, id)
		}
	}
	expired := l.expired
	l.expired = 0
	return expired
}

// expire drops the entries that are no longer valid and returns the number of grants
// among them.
func (s *engineEntries) expire(now time.Duration) int {
	over := func(x entry) bool { return x.until <= now }
	before := len(s.grants)
	s.grants = slices.DeleteFunc(s.grants, over)
	s.denials = slices.DeleteFunc(s.denials, over)
	maps.DeleteFunc(s.idle, func(_ string, c idleCount) bool { return c.until <= now })
	return before - len(s.grants)
}

// hasEnded reports whether a request's host was idle in a later version, or has sent a
// newer request for the same generation.
func (s *engineEntries) hasEnded(r Request) bool {
	newer := func(x entry) bool { return x.Host == r.Host && x.ID == r.ID && x.Version > r.Version }
	return s.idle[r.Host].version > r.Version || slices.ContainsFunc(s.grants, newer) || slices.ContainsFunc(s.denials, newer)
}

// forget drops what is held of an earlier request for the same generation.
func (s *engineEntries) forget(r Request) {
	same := func(x entry) bool { return x.Host == r.Host && x.ID == r.ID }
	s.grants = slices.DeleteFunc(s.grants, same)
	s.denials = slices.DeleteFunc(s.denials, same)
}

// outstanding returns the load of the grants.
func (s *engineEntries) outstanding() (sum targetload.Load) {
	for _, g := range s.grants {
		sum = sum.Add(g.load())
	}
	return sum
}

// withKeptRoom returns a load together with the remembered requests that go before r
// and have room with that load.
func (s *engineEntries) withKeptRoom(e Engine, load targetload.Load, r Request) targetload.Load {
	var first []Request
	for _, d := range s.denials {
		if d.precedes(r) {
			first = append(first, d.Request)
		}
	}
	slices.SortStableFunc(first, func(a, b Request) int {
		switch {
		case a.precedes(b):
			return -1
		case b.precedes(a):
			return 1
		}
		return 0
	})
	for _, kept := range first {
		if kept.fit(e, load) == Granted {
			load = load.Add(kept.load())
		}
	}
	return load
}
