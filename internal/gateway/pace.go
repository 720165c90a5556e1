package gateway

import (
	"sync/atomic"
	"time"

	"filbertdeck/internal/call"
)

// pace follows how quickly generations run: the time from one event to the
// next and from the request to the first one. Safe for concurrent use.
type pace struct{ first, event atomic.Int64 }

const (
	// Taken until a generation has ended.
	usualFirst, usualEvent = 500 * time.Millisecond, 45 * time.Millisecond
	// paceWeight is the weight of a new sample, one in so many.
	paceWeight = 8
	// unknownEvents is the length taken for generations that say nothing of
	// theirs.
	unknownEvents = 100
)

func (p *pace) add(s pauses) {
	if s.events < 2 {
		return
	}
	mix(&p.first, s.first, usualFirst)
	mix(&p.event, (s.last-s.first)/time.Duration(s.events-1), usualEvent)
}

// mix may lose a sample when two come at once, which does no harm.
func mix(to *atomic.Int64, sample, usual time.Duration) {
	old := to.Load()
	if old == 0 {
		old = int64(usual)
	}
	to.Store(old + (int64(sample)-old)/paceWeight)
}

// expect gives the time that a generation is expected to take.
func (p *pace) expect(prompt call.Prompt, tokensPerEvent int) time.Duration {
	events := expectedEvents(prompt, tokensPerEvent)
	if events == 0 {
		events = unknownEvents
	}
	return known(p.first.Load(), usualFirst) + time.Duration(events)*known(p.event.Load(), usualEvent)
}

func known(learnt int64, usual time.Duration) time.Duration {
	if learnt == 0 {
		return usual
	}
	return time.Duration(learnt)
}

// expectedEvents is what the expected output comes to; 0 when the request says
// nothing of it.
func expectedEvents(prompt call.Prompt, tokensPerEvent int) int {
	return expectedOutput(prompt) / max(tokensPerEvent, 1)
}
