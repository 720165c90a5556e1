package gateway

import (
	"bytes"

	"filbertdeck/internal/directory"
	"filbertdeck/internal/sse"
)

// maxHeldBytes limits the events of one generation that are held. An engine that sends more
// while the generation switches is not read until the switch is over.
const maxHeldBytes = 64 << 10

// heldEvents holds the events of a generation's stream that arrive while it switches to another
// engine. They are passed on if the switch fails, and dropped if it succeeds. Reading on shows
// whether the stream ends meanwhile. It is guarded by the generation's deliveryMu.
type heldEvents struct {
	events []sse.RawEvent
	bytes  int
	// over is closed when the switch is over, abandon ends it; nil while there is none. abandoned
	// is set once it was called.
	over      chan struct{}
	abandon   func()
	abandoned bool
	// err is the error of passing on events that were held.
	err error
}

// begin begins a switch, which abandon ends early.
func (h *heldEvents) begin(abandon func()) {
	h.over, h.abandon, h.abandoned = make(chan struct{}), abandon, false
}

// switching reports whether a switch is in progress.
func (h *heldEvents) switching() bool { return h.over != nil }

// abandonSwitch ends the switch in progress, if there is one, without the next stream.
func (h *heldEvents) abandonSwitch() {
	if h.switching() {
		h.abandoned = true
		h.abandon()
	}
}

// add holds an event, unless there is no room for it.
func (h *heldEvents) add(block *sse.RawEvent) bool {
	if h.bytes+len(block.Bytes) > maxHeldBytes {
		return false
	}
	h.bytes += len(block.Bytes)
	h.events = append(h.events, sse.RawEvent{Bytes: bytes.Clone(block.Bytes), ID: bytes.Clone(block.ID)})
	return true
}

// end ends the switch and returns the events that were held.
func (h *heldEvents) end() []sse.RawEvent {
	held := h.events
	close(h.over)
	h.events, h.bytes, h.over, h.abandon = nil, 0, nil, nil
	return held
}

// beginSwitch has events held until endSwitch is called. abandon ends the switch early. It returns
// false if the generation is no longer at from, no further stream will be relayed, or another
// switch is in progress.
func (gen *generation) beginSwitch(from *directory.ObservedTarget, abandon func()) bool {
	gen.deliveryMu.Lock()
	defer gen.deliveryMu.Unlock()
	if gen.closed || gen.held.switching() || !gen.isAt(from) {
		return false
	}
	gen.held.begin(abandon)
	return true
}

// endSwitch ends a switch from a stream to the next one, nil for none. It reports whether the
// generation goes on with that; else it goes on with the events that were held.
func (gen *generation) endSwitch(old, next *engineStream) (taken bool) {
	unused, taken := gen.takeOrPassOn(old, next)
	if unused != nil {
		unused.close(errGenerationMoved)
	}
	return taken
}

// takeOrPassOn is endSwitch but for closing the stream of an earlier switch that was not relayed
// before this one; unused is nil if there is none.
func (gen *generation) takeOrPassOn(old, next *engineStream) (unused *engineStream, taken bool) {
	gen.deliveryMu.Lock()
	defer gen.deliveryMu.Unlock()
	abandoned, held := gen.held.abandoned, gen.held.end()
	if next != nil && !abandoned {
		old.cancel(errGenerationMoved)
		unused, gen.nextStream = gen.nextStream, next
		gen.moves.Add(1)
		gen.setTarget(next.target, next)
		return unused, true
	}
	for i := range held {
		if gen.held.err = gen.write(&held[i]); gen.held.err != nil {
			break
		}
	}
	return nil, false
}

// awaitSwitch waits until no switch is in progress and reports whether the generation goes on
// with another stream. If the present one is complete, a switch in progress is abandoned.
func (gen *generation) awaitSwitch(complete bool) (switched bool) {
	gen.deliveryMu.Lock()
	defer gen.deliveryMu.Unlock()
	if complete && gen.nextStream == nil {
		gen.held.abandonSwitch()
	}
	gen.awaitSwitchLocked()
	return gen.nextStream != nil
}

// awaitSwitchLocked is awaitSwitch for a caller that holds deliveryMu, which it releases
// meanwhile.
func (gen *generation) awaitSwitchLocked() {
	for gen.held.switching() {
		over := gen.held.over
		gen.deliveryMu.Unlock()
		<-over
		gen.deliveryMu.Lock()
	}
}
