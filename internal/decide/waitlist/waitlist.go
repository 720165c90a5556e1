// Package waitlist orders the generations of one service that wait at many hosts for an
// engine with room.
//
// Each host that has a waiting generation reports it to the host that holds the list, again
// and again, and is told whether the generation may search for an engine now. Without the
// list, whichever generation searches first after another one has ended takes its room: of
// two that wait, the later one went first as often as the earlier one.
//
// The list holds soft state only. Entries that are not reported again are dropped, and a
// new holder has the list from the next reports.
package waitlist

import (
	"cmp"
	"math"
	"slices"
	"time"

	"filbertdeck/internal/decide/deferral"
	"filbertdeck/internal/decide/fairqueue"
)

const (
	// ReportInterval is the longest time between two reports of a generation.
	ReportInterval = 100 * time.Millisecond
	// expiry is the time after which an entry is dropped that was not reported again: its
	// host has died or is partitioned. Three reports in a row may be lost.
	expiry = 400 * time.Millisecond
	// minTurns is the least number of generations that may search at a time. One search
	// sees only a part of the engines.
	minTurns = 4
	// turnsPerPlacement multiplies the placements of the last interval; the product is the
	// number of generations that may search. The part beyond one is the margin: the room
	// that becomes free differs from interval to interval. A wider margin loses order and
	// gains no throughput.
	turnsPerPlacement = 2
	// maxTurns is the number of turns, some two seconds, after which a generation no longer
	// takes a turn from others. Its host may be cut off from engines, or it may need more
	// room than any engine has free: a few such generations must not stop the list. Those
	// that only wait for room must not reach it, since order is lost by them.
	maxTurns = 20
	// rateWindow is the time over which the rate of placements is measured.
	rateWindow = 2 * time.Second
	// minRateSamples is the number of placements from which on the rate counts as known.
	minRateSamples = 8
	// sortInterval bounds how often the order is computed, which takes some hundred
	// microseconds for a thousand entries.
	sortInterval = 10 * time.Millisecond
	// lateRanks is the number of ranks that a late generation passes until it ranks with
	// those that can be in time.
	lateRanks = 3
	// maxAccountDelay is the share of its objective by which a generation goes later for what
	// its account was admitted beyond others. Without a bound, the largest accounts pay for
	// an overload that all accounts cause.
	maxAccountDelay = 0.2
	// maxEntries bounds the memory of a list: the entries, the accounts, and the placements
	// within rateWindow. The hosts of a partition place some 4,000 in that time when each
	// of 128 has 16 requests a second.
	maxEntries = 8192
	// overflowAccount stands for the accounts beyond maxEntries.
	overflowAccount = ""
	// accountWeight is the weight of each account.
	accountWeight = 1
)

// Entry is a generation that waits for an engine.
type Entry struct {
	// ID identifies the generation among those of all hosts.
	ID      uint64
	Service string
	// Priority is the generation's rank; 0 is the most urgent.
	Priority int
	Account  string
	// Waited is the time since the generation arrived.
	Waited time.Duration
	// Objective is the objective for the time to the first event, FirstToken the time that
	// an engine with room is expected to take to it.
	Objective, FirstToken time.Duration
	// Tokens is the memory that the generation is expected to take.
	Tokens int
}

// Answer says what a waiting generation does next.
type Answer struct {
	// Search is set if the generation may search for an engine now, once.
	Search bool
	// Ahead is the number of generations before it.
	Ahead int
	// ExpectedWait is the time until it is expected to have an engine, if it is known.
	ExpectedWait      time.Duration
	ExpectedWaitKnown bool
}

// Hopeless reports whether a generation is expected to wait until its caller has gone. left
// is what is left of the caller's time, firstToken the expected time to the first token.
func (a Answer) Hopeless(left, firstToken time.Duration) bool {
	return !a.Search && a.ExpectedWaitKnown && a.ExpectedWait > left-firstToken
}

// RetryAfter returns when the caller of a hopeless generation should come back. draw, in
// [0, 1), spreads the returns of those that are refused together.
func (a Answer) RetryAfter(draw float64) time.Duration {
	return time.Duration((0.5 + draw) * float64(a.ExpectedWait))
}

// waiting is an entry on the list.
type waiting struct {
	Entry
	arrivedAt, reportedAt time.Duration
	// request is the entry in the queue of the accounts.
	request *fairqueue.Request[*waiting]
	// lateRank is 0 for a generation that can be in time.
	lateRank int
	// startTag is what its account will have been admitted when it is its turn, in tokens.
	startTag float64
	// turns counts its turns.
	turns int
	// rankAt is the time of its arrival and the delay for its account.
	rankAt time.Duration
}

// placement is a generation that got an engine.
type placement struct {
	at     time.Duration
	tokens int
}

// List is the list of one service's waiting generations. Times are those of the holder's
// monotonic clock. It is not safe for concurrent use.
type List struct {
	entries map[uint64]*waiting
	// ordered holds the entries, the first to search at the front.
	ordered  []*waiting
	sortedAt time.Duration
	// accounts holds the accounts' admitted tokens.
	accounts *fairqueue.Queue[*waiting]
	// placements holds the placements within rateWindow.
	placements []placement
	usedAt     time.Duration
}

// New returns an empty list.
func New() *List {
	return &List{entries: map[uint64]*waiting{}, accounts: fairqueue.New[*waiting](maxEntries, 0)}
}

// Report records that a generation waits and returns whether it may search now.
func (l *List) Report(now time.Duration, e Entry) Answer {
	l.usedAt = now
	w, known := l.entries[e.ID]
	if !known {
		if len(l.entries) >= maxEntries {
			return l.answer(now, len(l.ordered))
		}
		w = l.add(now, e)
	}
	w.Entry, w.reportedAt = e, now
	if now-l.sortedAt >= sortInterval {
		l.sort(now)
	}
	return l.answerTo(now, w)
}

// answerTo returns the answer for an entry.
func (l *List) answerTo(now time.Duration, w *waiting) Answer {
	ahead, contending := 0, 0
	for ; l.ordered[ahead] != w; ahead++ {
		if l.ordered[ahead].turns < maxTurns {
			contending++
		}
	}
	a := l.answer(now, ahead)
	if a.Search = contending < l.turns(now); a.Search {
		w.turns++
	}
	return a
}

// Done records that a generation waits no longer; placed is set if it has an engine. It may
// be one that the list does not know, as after a change of the holder.
func (l *List) Done(now time.Duration, e Entry, placed bool) {
	l.usedAt = now
	if placed {
		l.recordPlacement(now, e.Tokens)
	}
	w, known := l.entries[e.ID]
	switch {
	case known:
		l.remove(w, placed)
	case placed:
		l.accounts.Charge(l.account(e.Account), float64(e.Tokens))
	}
}

// account returns the state of an account. Those beyond the bound share one.
func (l *List) account(name string) *fairqueue.Account[*waiting] {
	if l.accounts.Lookup(name) == nil && l.accounts.AccountCount() >= maxEntries {
		name = overflowAccount
	}
	return l.accounts.UpsertAccount(name, accountWeight, 0)
}

// recordPlacement records a placement, in place of the oldest one if there are too many.
func (l *List) recordPlacement(now time.Duration, tokens int) {
	recent := l.recentPlacements(now)
	if len(recent) >= maxEntries {
		recent = slices.Delete(recent, 0, 1)
	}
	l.placements = append(recent, placement{now, tokens})
}

// add puts a generation on the list. Until the next sort it is delayed as much as the others
// of its account are: it must not go before them.
func (l *List) add(now time.Duration, e Entry) *waiting {
	w := &waiting{Entry: e, arrivedAt: now - e.Waited}
	delay := time.Duration(0)
	for _, other := range l.ordered {
		if other.Account == e.Account {
			delay = max(delay, other.rankAt-other.arrivedAt)
		}
	}
	w.rankAt = w.arrivedAt + delay
	w.lateRank = w.lateRankAt(now)
	w.request = l.accounts.Push(l.account(e.Account), now, 0, w)
	l.entries[e.ID] = w
	i, _ := slices.BinarySearchFunc(l.ordered, w, compareRank)
	l.ordered = slices.Insert(l.ordered, i, w)
	return w
}

// remove takes an entry off the list, and charges its account if it was placed.
func (l *List) remove(w *waiting, placed bool) {
	delete(l.entries, w.ID)
	if i := slices.Index(l.ordered, w); i >= 0 {
		l.ordered = slices.Delete(l.ordered, i, i+1)
	}
	account, next := w.request.Account, l.accounts.Head()
	switch {
	case placed && next != nil && next.Account == account:
		// The virtual time, from which accounts start that were idle, follows the accounts
		// that were admitted least. It does not follow one whose generation went first by
		// its priority or since those of others are late.
		l.accounts.Start(w.request, float64(w.Tokens))
		l.accounts.Finish(account, 0)
	case placed:
		l.accounts.Remove(w.request)
		l.accounts.Charge(account, float64(w.Tokens))
	default:
		l.accounts.Remove(w.request)
	}
	l.accounts.Recycle(w.request)
}

// MostUrgent returns the priority of the most urgent waiting generation; false if none waits.
func (l *List) MostUrgent(now time.Duration) (priority int, waits bool) {
	l.dropExpired(now)
	for _, w := range l.ordered {
		if !waits || w.Priority < priority {
			priority, waits = w.Priority, true
		}
	}
	return priority, waits
}

// UsedAt returns the time of the last report or placement.
func (l *List) UsedAt() time.Duration { return l.usedAt }

// Len returns the number of entries.
func (l *List) Len() int { return len(l.entries) }

// answer returns the answer, without a turn, for a generation with the given number of others
// before it.
func (l *List) answer(now time.Duration, ahead int) Answer {
	a := Answer{Ahead: ahead}
	if recent := l.recentPlacements(now); len(recent) >= minRateSamples {
		a.ExpectedWait, a.ExpectedWaitKnown = time.Duration(ahead)*rateWindow/time.Duration(len(recent)), true
	}
	return a
}

// turns returns how many generations at the front may search.
func (l *List) turns(now time.Duration) int {
	placed := 0
	for _, p := range l.placements {
		if p.at > now-ReportInterval {
			placed++
		}
	}
	return max(turnsPerPlacement*placed, minTurns)
}

// recentPlacements drops and returns the placements within the window of the rate.
func (l *List) recentPlacements(now time.Duration) []placement {
	old := 0
	for old < len(l.placements) && l.placements[old].at <= now-rateWindow {
		old++
	}
	l.placements = slices.Delete(l.placements, 0, old)
	return l.placements
}

// dropExpired drops the entries that were not reported again.
func (l *List) dropExpired(now time.Duration) {
	for _, w := range slices.Clone(l.ordered) {
		if now-w.reportedAt > expiry {
			l.remove(w, false)
		}
	}
}

// sort brings the entries into their order.
func (l *List) sort(now time.Duration) {
	l.sortedAt = now
	l.dropExpired(now)
	for _, w := range l.ordered {
		w.lateRank = w.lateRankAt(now)
	}
	slices.SortFunc(l.ordered, func(a, b *waiting) int { return cmp.Or(compareClass(a, b), compareArrival(a, b)) })
	l.delayByAccount(now)
	slices.SortFunc(l.ordered, compareRank)
}

// delayByAccount sets when each entry ranks. An entry whose account is ahead of the others
// ranks later by the time in which the others would be admitted as much, within a bound.
func (l *List) delayByAccount(now time.Duration) {
	// The entries of an account follow each other as if each were admitted in its turn, as
	// in start-time fair queueing.
	admitted, least := map[string]float64{}, math.Inf(1)
	for _, w := range l.ordered {
		tag, found := admitted[w.Account]
		if !found {
			tag = w.request.Account.NormalizedService()
		}
		w.startTag, least = tag, min(least, tag)
		admitted[w.Account] = tag + float64(w.Tokens)/w.request.Account.Weight()
	}
	recentTokens := 0
	for _, p := range l.recentPlacements(now) {
		recentTokens += p.tokens
	}
	for _, w := range l.ordered {
		w.rankAt = w.arrivedAt
		if ahead := w.startTag - least; ahead > 0 && recentTokens > 0 {
			delay := ahead / float64(recentTokens) * float64(rateWindow)
			w.rankAt += time.Duration(min(delay, maxAccountDelay*float64(w.Objective)))
		}
	}
}

// lateRankAt returns the rank of a generation among the late ones.
func (w *waiting) lateRankAt(now time.Duration) int {
	g := deferral.Generation{Waited: now - w.arrivedAt, FirstTokenObjective: w.Objective, TimeToFirstToken: w.FirstToken}
	if w.Objective <= 0 || g.UntilLate() > 0 {
		return 0
	}
	return lateRanks - int(lateRanks*g.Aged())
}

func compareRank(a, b *waiting) int {
	return cmp.Or(compareClass(a, b), cmp.Compare(a.rankAt, b.rankAt), compareArrival(a, b))
}

func compareClass(a, b *waiting) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.lateRank, b.lateRank))
}

func compareArrival(a, b *waiting) int {
	return cmp.Or(cmp.Compare(a.arrivedAt, b.arrivedAt), cmp.Compare(a.ID, b.ID))
}
