package gateway

import (
	"cmp"
	"sync/atomic"
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/directory"
)

// usualCopyKept stands in where operators don't say how long a copy is kept.
const usualCopyKept = 5 * time.Second

// copyKept is how long after a generation's last event a copy of it is surely
// there: engines free copies that nothing is added to. One that is gone must not
// be offered: an engine that fails part of its requests may run it.
func (gen *generation) copyKept() time.Duration {
	return cmp.Or(gen.service.Engine.CopyTTL, usualCopyKept)
}

// copied is a copy of a generation's memory at another engine, from which the
// generation may go on as the same run.
//
// It is offered to that engine once. An engine that refused a copy no longer
// has it, and one that did not answer in time may already run it. Sent there
// again it is refused at best; an engine that fails part of its requests took
// such a request for a new one, and a generation that may run once ran twice.
type copied struct {
	at      *directory.ObservedTarget
	handoff call.Handoff
	offered atomic.Bool
}

// offer tells whether the copy may be offered, which it may be once.
func (c *copied) offer() bool { return c.offered.CompareAndSwap(false, true) }

// takeBack undoes an offer that never reached the engine.
func (c *copied) takeBack() { c.offered.Store(false) }

// open tells whether the copy may still be offered; false for none.
func (c *copied) open() bool { return c != nil && !c.offered.Load() }
