package gateway

import (
	"cmp"
	"sync/atomic"
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/directory"
)

// defaultCopyRetention applies when the configuration does not say how long
// engines keep a copy.
const defaultCopyRetention = 5 * time.Second

// copyRetention returns how long after a generation's last event a copy of it
// certainly exists: engines free copies that receive no updates. An expired
// copy must not be offered, because an engine that fails part of its requests
// may run the request as a new one.
func (gen *generation) copyRetention() time.Duration {
	return cmp.Or(gen.service.Engine.CopyTTL, defaultCopyRetention)
}

// memoryCopy is a copy of a generation's memory at another engine, from which
// the generation may continue as the same run.
//
// It is offered to that engine once. An engine that refused a copy no longer
// has it, and one that did not answer in time may already run it. A second
// offer is refused at best; an engine that fails part of its requests took one
// for a new request, and a generation that may run once ran twice.
type memoryCopy struct {
	target  *directory.ObservedTarget
	handoff call.CacheCopy
	claimed atomic.Bool
}

// claim reports whether the copy may be offered now, which succeeds once.
func (c *memoryCopy) claim() bool { return c.claimed.CompareAndSwap(false, true) }

// unclaim undoes a claim whose offer never reached the engine.
func (c *memoryCopy) unclaim() { c.claimed.Store(false) }

// available reports whether the copy may still be offered; false for nil.
func (c *memoryCopy) available() bool { return c != nil && !c.claimed.Load() }
