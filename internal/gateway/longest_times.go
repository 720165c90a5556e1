package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"filbertdeck/internal/directory"
)

// longestTimeDecay sets by how much each request that took less than the longest one
// shortens it: by 1/256 of the difference.
const longestTimeDecay = 256

// longestTimes keeps the longest time in which requests of each route were answered
// lately. It is safe for concurrent use.
type longestTimes struct {
	// byRoute holds a *atomic.Int64 in nanoseconds for the name of each route.
	byRoute sync.Map
	// prunedFor is the configuration of the last prune.
	prunedFor *directory.Config
}

// record records a request that was answered.
func (l *longestTimes) record(route string, took time.Duration) {
	entry, known := l.byRoute.Load(route)
	if !known {
		entry, _ = l.byRoute.LoadOrStore(route, &atomic.Int64{})
	}
	longest := entry.(*atomic.Int64)
	for {
		old := longest.Load()
		next := max(int64(took), old-(old-int64(took))/longestTimeDecay)
		if longest.CompareAndSwap(old, next) {
			return
		}
	}
}

// of returns the longest time of a route; 0 if none of its requests was answered.
func (l *longestTimes) of(route string) time.Duration {
	entry, known := l.byRoute.Load(route)
	if !known {
		return 0
	}
	return time.Duration(entry.(*atomic.Int64).Load())
}

// prune removes the routes that are no longer configured. It is not called concurrently
// with itself.
func (l *longestTimes) prune(view *directory.View) {
	if view.Config == nil || view.Config == l.prunedFor {
		return
	}
	l.prunedFor = view.Config
	l.byRoute.Range(func(name, _ any) bool {
		if !view.HasRoute(name.(string)) {
			l.byRoute.Delete(name)
		}
		return true
	})
}
