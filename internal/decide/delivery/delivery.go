// Package delivery decides what happens to each frame that a target sends for
// one generation, so that every token reaches the caller once, in order, from
// one generation.
//
// Load pattern: links are cut and go silent, entries resume on new connections
// while frames of the old one are still on their way, and engines that come
// back may number frames from the start. Without this check a resumed stream
// repeats or loses tokens, and a crossed answer reaches the wrong caller; the
// caller sees a report that reads well and is wrong.
//
// The package is pure: no network, no clock, no goroutine. Invariants of an
// Order: next only rises; reached <= next; generation changes only while
// reached is 0; nothing passes after the end.
package delivery

import "filbertdeck/internal/failure"

// DefaultResumes bounds the connections that may be opened in a row without a
// single new token. Each costs a dial (milliseconds); four failures in a row
// mean that the engine or its numbering is at fault, not the link.
const DefaultResumes = 4

// resumesBeforeRestart bounds them while the request may start over elsewhere:
// one new connection tells a cut link from a target that is stuck. Waiting for
// a stuck target any longer would only add to the caller's stall.
const resumesBeforeRestart = 1

// Frame is what one event of a target says.
type Frame struct {
	Generation string
	// Offset is the index of the frame's first token.
	Offset uint64
	// Tokens is the number of tokens in the frame; a frame that only finishes
	// has none.
	Tokens uint64
	// Finish is set when the generation ended with this frame.
	Finish bool
	// Done marks the stream's closing event ([DONE]), which carries nothing
	// else.
	Done bool
}

// Verdict says what to do with a frame.
type Verdict int

// The verdicts.
const (
	// Pass: deliver the frame's tokens.
	Pass Verdict = iota + 1
	// Duplicate: all its tokens were delivered already; drop it.
	Duplicate
	// Gap: tokens are missing, or the frame holds old and new tokens together,
	// which can't be parted. Close the connection and resume at Next.
	Gap
	// Mismatched: the frame belongs to another generation. Close that connection,
	// count it, and resume at Next.
	Mismatched
	// Complete: the generation has ended and all its tokens were delivered.
	Complete
)

// String names the verdict for counters.
func (v Verdict) String() string {
	names := [...]string{"none", "pass", "duplicate", "gap", "crossed", "complete"}
	if v < 0 || int(v) >= len(names) {
		return "none"
	}
	return names[v]
}

// Mode says when tokens reach the caller.
type Mode int

// The modes; they mirror the table's column `delivery`.
const (
	// Stream passes tokens on at once.
	Stream Mode = iota
	// Buffered holds them until the generation is complete.
	Buffered
)

// Sequencer checks the frames of one request. It is used by one goroutine.
type Sequencer struct {
	mode       Mode
	generation string
	next       uint64
	reached    uint64
	finished   bool
	complete   bool
	released   bool
	resumed    bool
	resumes    int
	limit      int
}

// New returns the order of a generation that starts now.
func New(mode Mode, generation string) Sequencer {
	return Sequencer{mode: mode, generation: generation, limit: DefaultResumes}
}

// Resume returns the order of a generation that another connection of the
// caller began: everything before offset has reached the caller. It never
// changes to another generation, not even at offset 0, because the entry that
// began it may have delivered more than the caller's handle says.
func Resume(mode Mode, generation string, offset uint64) Sequencer {
	return Sequencer{
		mode: mode, generation: generation, next: offset, reached: offset,
		resumed: true, limit: DefaultResumes,
	}
}

// ResumeFinished is Resume for a caller that has the frame which finished the
// generation and lacks only the closing event.
func ResumeFinished(mode Mode, generation string, offset uint64) Sequencer {
	o := Resume(mode, generation, offset)
	o.finished = true
	return o
}

// NextOffset is the index of the next token to ask the target for.
func (o *Sequencer) NextOffset() uint64 { return o.next }

// DeliveredTokens counts the tokens that may have reached the caller.
func (o *Sequencer) DeliveredTokens() uint64 { return o.reached }

// Generation is the generation in progress.
func (o *Sequencer) Generation() string { return o.generation }

// Completed tells whether the whole answer has been checked.
func (o *Sequencer) Completed() bool { return o.complete }

// Finished tells whether all tokens and the generation's finish have passed.
// A connection that is lost from then on has lost nothing but the closing
// event: the answer is whole, and Conclude makes it complete.
func (o *Sequencer) Finished() bool { return o.finished }

// MarkComplete completes a finished answer without its closing event.
func (o *Sequencer) MarkComplete() bool {
	o.complete = o.complete || o.finished
	return o.complete
}

// Check judges a frame. Tokens of a passed frame count as having reached the
// caller in mode Stream, whether or not the write that follows succeeds: a
// write that failed may still have left the host.
func (o *Sequencer) Check(f Frame) Verdict {
	switch {
	case f.Done:
		return o.checkDone()
	case f.Generation != o.generation:
		return Mismatched
	case f.Offset > o.next:
		return Gap
	case f.Offset+f.Tokens < f.Offset:
		return Mismatched // the numbers overflow: not a frame of ours
	case f.Offset < o.next && f.Offset+f.Tokens <= o.next:
		o.finish(f)
		return Duplicate
	case f.Offset < o.next:
		return Gap
	case o.finished && f.Tokens > 0:
		return Mismatched // a generation does not go on after its end
	}
	o.accept(f)
	return Pass
}

func (o *Sequencer) accept(f Frame) {
	o.next += f.Tokens
	if f.Tokens > 0 {
		o.resumes = 0
	}
	if o.mode == Stream {
		o.reached = o.next
	}
	o.finish(f)
}

// finish notes the end only when the finishing frame's end is the end of what
// was delivered: an older frame can't end a longer stream.
func (o *Sequencer) finish(f Frame) {
	if f.Finish && f.Offset+f.Tokens == o.next {
		o.finished = true
	}
}

// checkDone accepts the closing event only after a frame that finished. A
// target that closes early would otherwise pass a cut report off as whole.
func (o *Sequencer) checkDone() Verdict {
	if !o.finished {
		return Gap
	}
	o.complete = true
	return Complete
}

// MarkReleased is called right before a whole answer is written to the caller.
func (o *Sequencer) MarkReleased() {
	o.released = true
	o.reached = o.next
}

// TryResume asks for another connection for the same generation, at Next. It is
// false when too many in a row brought no token.
func (o *Sequencer) TryResume() bool {
	limit := o.limit
	if o.MayRestart() {
		limit = min(limit, resumesBeforeRestart)
	}
	if o.complete || o.resumes >= limit {
		return false
	}
	o.resumes++
	return true
}

// MayRestart tells whether another generation may answer this request: only
// while no token can have reached the caller. Tokens of two generations in one
// answer read well and are wrong.
func (o *Sequencer) MayRestart() bool {
	return o.reached == 0 && !o.released && !o.resumed && !o.complete
}

// Restart begins another generation. It reports false, and changes nothing,
// where that is not allowed.
func (o *Sequencer) Restart(generation string) bool {
	if !o.MayRestart() {
		return false
	}
	*o = Sequencer{mode: o.mode, generation: generation, limit: o.limit}
	return true
}

// LostError is the typed end of a request whose generation is gone: it says how
// many tokens reached the caller and that no more will follow.
func (o *Sequencer) LostError(cause error) *failure.Error {
	const text = "the generation was lost after %d delivered tokens"
	e := failure.New(failure.KindTargetLost, text, o.reached)
	if cause != nil {
		e = failure.Wrap(cause, failure.KindTargetLost, text, o.reached)
	}
	e.Delivered = int(o.reached)
	return e.Ran()
}
