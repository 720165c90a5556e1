package pools

import (
	"cmp"
	"slices"
	"time"
)

// maxNewsAge bounds how long a pool's news is kept without a newer one: a pool
// whose allocator is gone is forgotten.
const maxNewsAge = 30 * time.Second

// BacklogReport is what an allocator says of its pool, as it is gossiped.
type BacklogReport struct {
	Pool           string
	ControlAddress string
	// Backlog is the wait of a request that would ask now.
	Backlog time.Duration
	// Version rises with each statement of one control process.
	Version uint64
}

// BacklogTable keeps the latest statement about each pool. It is not safe for
// concurrent use.
type BacklogTable struct {
	items map[string]heard
}

type heard struct {
	BacklogReport
	at time.Duration
	// passed counts how often the item was handed on.
	passed int
}

// NewBacklogTable returns an empty News.
func NewBacklogTable() *BacklogTable { return &BacklogTable{items: map[string]heard{}} }

// Update takes an item and tells whether it is new here. An older version of the
// same control process is dropped: gossip arrives in any order, and an old
// short backlog would draw requests to a full pool. Another control process has
// taken the pool over, so its item replaces the other's, but only once that is
// older than a moment: two that both believe to own the pool would else take
// turns in every message.
func (n *BacklogTable) Update(now time.Duration, item BacklogReport) bool {
	known, ok := n.items[item.Pool]
	switch {
	case ok && known.ControlAddress == item.ControlAddress && item.Version <= known.Version:
		return false
	case ok && known.ControlAddress != item.ControlAddress && now-known.at < takeoverAfter:
		return false
	}
	n.items[item.Pool] = heard{BacklogReport: item, at: now}
	return true
}

// takeoverAfter is how long a pool's allocator may be silent before another
// one's news counts: two of its statements.
const takeoverAfter = 2 * time.Second

// NextBroadcast gives up to limit items for the next message of gossip: those that
// were handed on least often, the latest first among them. An item that went
// out rounds times is known to the fleet and is left out, so that gossip stays
// quiet while little changes.
func (n *BacklogTable) NextBroadcast(now time.Duration, limit, rounds int) []BacklogReport {
	n.forget(now)
	var due []heard
	for _, h := range n.items {
		if h.passed < rounds {
			due = append(due, h)
		}
	}
	slices.SortFunc(due, func(a, b heard) int {
		return cmp.Or(cmp.Compare(a.passed, b.passed), cmp.Compare(b.at, a.at), cmp.Compare(a.Pool, b.Pool))
	})
	out := make([]BacklogReport, 0, min(limit, len(due)))
	for _, h := range due[:min(limit, len(due))] {
		out = append(out, h.BacklogReport)
		h.passed++
		n.items[h.Pool] = h
	}
	return out
}

// Backlog gives the wait that was heard of a pool; false when nothing was, or
// only long ago.
func (n *BacklogTable) Backlog(now time.Duration, pool string) (time.Duration, bool) {
	h, ok := n.items[pool]
	if !ok || now-h.at > maxNewsAge {
		return 0, false
	}
	return h.Backlog, true
}

func (n *BacklogTable) forget(now time.Duration) {
	for pool, h := range n.items {
		if now-h.at > maxNewsAge {
			delete(n.items, pool)
		}
	}
}
