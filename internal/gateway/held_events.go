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
	// over is closed when the switch is over; nil while there is none.
	over chan struct{}
	// abandon ends the switch early; nil once it was ended, and once it is kept.
	abandon func()
	// err is the error of passing on events that were held.
	err error
}

// begin begins a switch, which abandon ends early.
func (h *heldEvents) begin(abandon func()) { h.over, h.abandon = make(chan struct{}), abandon }

// switching reports whether a switch is in progress.
func (h *heldEvents) switching() bool { return h.over != nil }

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

// keepSwitch has a switch in progress succeed: it is not abandoned any more. It returns false if
// it was abandoned.
func (gen *generation) keepSwitch() bool {
	gen.deliveryMu.Lock()
	defer gen.deliveryMu.Unlock()
	kept := gen.held.abandon != nil
	gen.held.abandon = nil
	return kept
}

// beginSwitch has events held until endSwitch is called. abandon ends the switch early. A switch
// in progress is waited for: the generation may have left its target while that was in progress.
// It returns false if the generation is no longer at from or no further stream will be relayed.
func (gen *generation) beginSwitch(from *directory.ObservedTarget, abandon func()) bool {
	gen.deliveryMu.Lock()
	defer gen.deliveryMu.Unlock()
	gen.awaitSwitchLocked()
	if gen.closed || !gen.isAt(from) {
		return false
	}
	gen.held.begin(abandon)
	return true
}

// endSwitch ends a switch: the generation goes on with a stream or, if that is nil, with the
// events that were held.
func (gen *generation) endSwitch(next *engineStream) {
	if next == nil {
		gen.writeHeld()
		return
	}
	// The generation may have switched once more before the stream of the previous switch
	// was relayed.
	if unused := gen.replaceNextStream(next); unused != nil {
		unused.close(errGenerationMoved)
	}
}

// writeHeld ends a switch that failed, and passes on the events that were held.
func (gen *generation) writeHeld() {
	gen.deliveryMu.Lock()
	defer gen.deliveryMu.Unlock()
	held := gen.held.end()
	for i := range held {
		if gen.held.err = gen.write(&held[i]); gen.held.err != nil {
			return
		}
	}
}

// replaceNextStream ends a switch that succeeded, and returns the stream of an earlier switch
// that was not relayed; nil if there is none.
func (gen *generation) replaceNextStream(next *engineStream) *engineStream {
	gen.deliveryMu.Lock()
	defer gen.deliveryMu.Unlock()
	gen.held.end()
	unused := gen.nextStream
	gen.nextStream = next
	gen.setTarget(next.target, next)
	return unused
}

// awaitSwitch waits until no switch is in progress and reports whether the generation goes on
// with another stream. If the present one is complete, a switch in progress is abandoned.
func (gen *generation) awaitSwitch(complete bool) (switched bool) {
	gen.deliveryMu.Lock()
	defer gen.deliveryMu.Unlock()
	if complete && gen.held.abandon != nil {
		gen.held.abandon()
		gen.held.abandon = nil
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
