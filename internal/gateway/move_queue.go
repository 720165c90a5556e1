package gateway

import (
	"slices"
	"sync"
	"time"

	"filbertdeck/internal/decide/migration"
	"filbertdeck/internal/directory"
)

// moveQueue orders the moves of this host that search for an engine with room. They search
// in rounds, one at a time and each once, so that a move that goes first is the first to
// get room.
type moveQueue struct {
	mu      sync.Mutex
	sources map[directory.Lifetime]*moveSource
	waiting []*moveTurn
	// searching is set while a move searches.
	searching bool
	// roundStart is when the present round began, nextRound is set while a timer begins
	// the next one.
	roundStart time.Time
	nextRound  bool
}

// moveSource is an engine that moves of this host leave.
type moveSource struct {
	lifetime directory.Lifetime
	// moves counts the moves away from it, copies the copies in progress. Both are guarded
	// by the queue's mutex.
	moves, copies int
	ask           sync.Once
	// stopTime is when the engine stops, stopStated is set if it has said so.
	stopTime   time.Time
	stopStated bool
}

// stopsAt returns when the engine stops. It asks the engine by ask for the first of its
// moves only: with times of their own, moves from one engine would not go by their size.
func (s *moveSource) stopsAt(ask func() (untilStop time.Duration, stated bool)) time.Time {
	s.ask.Do(func() {
		untilStop, stated := ask()
		s.stopTime, s.stopStated = time.Now().Add(untilStop), stated
	})
	return s.stopTime
}

// moveTurn is the turn of a move to search for an engine, in one round after the other.
type moveTurn struct {
	queue    *moveQueue
	source   *moveSource
	stopTime time.Time
	tokens   int
	copies   bool
	// granted is closed when the move may search. Only the move replaces it, in the queue's
	// mutex.
	granted chan struct{}

	// The fields below are guarded by the queue's mutex.

	// searched is set if the move searches in the next round, searches while it searches,
	// copying while it may copy.
	searched, searches, copying bool
}

func newMoveQueue() *moveQueue {
	return &moveQueue{sources: map[directory.Lifetime]*moveSource{}}
}

// enter records a move away from an engine, until leave is called.
func (q *moveQueue) enter(from directory.Lifetime) *moveSource {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.sources[from]
	if s == nil {
		s = &moveSource{lifetime: from}
		q.sources[from] = s
	}
	s.moves++
	return s
}

// leave records the end of a move.
func (q *moveQueue) leave(s *moveSource) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s.moves--; s.moves == 0 {
		delete(q.sources, s.lifetime)
	}
}

// join has a move wait for its turn; copies is set if its generation is copied. The turn
// must be ended, whether it was granted or not.
func (q *moveQueue) join(s *moveSource, stopTime time.Time, tokens int, copies bool) *moveTurn {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := &moveTurn{queue: q, source: s, stopTime: stopTime, tokens: tokens, copies: copies, granted: make(chan struct{})}
	now := time.Now()
	t.searched = migration.WaitsForRound(t.state(now), q.states(now))
	if now.Sub(q.roundStart) > migration.SearchInterval && !q.nextRound {
		q.roundStart = now
	}
	q.waiting = append(q.waiting, t)
	q.grantNext()
	return t
}

// state returns the turn for the decision which move goes first.
func (t *moveTurn) state(now time.Time) migration.Waiting {
	return migration.Waiting{UntilStop: t.stopTime.Sub(now), Tokens: t.tokens, Searched: t.searched, Copies: t.copies, CopiesInProgress: t.source.copies}
}

func (q *moveQueue) states(now time.Time) []migration.Waiting {
	states := make([]migration.Waiting, len(q.waiting))
	for i, t := range q.waiting {
		states[i] = t.state(now)
	}
	return states
}

// grantNext grants the next turn, if any may be granted. The caller holds the mutex.
func (q *moveQueue) grantNext() {
	if q.searching {
		return
	}
	now := time.Now()
	i := migration.Next(q.states(now))
	if i < 0 {
		if searched := func(t *moveTurn) bool { return t.searched }; !q.nextRound && slices.ContainsFunc(q.waiting, searched) {
			q.nextRound = true
			time.AfterFunc(q.roundStart.Add(migration.SearchInterval).Sub(now), q.beginRound)
		}
		return
	}
	t := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	q.searching, t.searches = true, true
	if t.copies {
		t.copying = true
		t.source.copies++
	}
	close(t.granted)
}

// beginRound begins a round, in which each waiting move searches once.
func (q *moveQueue) beginRound() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.nextRound = false
	if q.searching {
		// The move that searches would miss its turn. The end of its search begins the round.
		return
	}
	q.roundStart = time.Now()
	for _, t := range q.waiting {
		t.searched = false
	}
	q.grantNext()
}

// endSearch records that the move has searched. It may copy until the turn ends.
func (t *moveTurn) endSearch() {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	t.stopSearching()
	t.queue.grantNext()
}

// again has the move wait for its turn in the next round.
func (t *moveTurn) again() {
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	t.stopSearching()
	t.stopCopying()
	t.searched, t.granted = true, make(chan struct{})
	q.waiting = append(q.waiting, t)
	q.grantNext()
}

// end ends the turn, or the wait for it.
func (t *moveTurn) end() {
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = slices.DeleteFunc(q.waiting, func(other *moveTurn) bool { return other == t })
	t.stopSearching()
	t.stopCopying()
	q.grantNext()
}

func (t *moveTurn) stopSearching() {
	if t.searches {
		t.searches, t.queue.searching = false, false
	}
}

func (t *moveTurn) stopCopying() {
	if t.copying {
		t.copying = false
		t.source.copies--
	}
}
