// Package delivery decides what to do with each frame that a target sends for a
// generation, so that every token reaches the caller once, in order, and from a
// single generation.
//
// Connections break and stop responding, entries resume on new connections
// while frames of the old one are still in flight, and engines that restart may
// number frames from the start again. Without this check a resumed stream
// repeats or loses tokens, and an answer on the wrong connection reaches the
// wrong caller, who gets a plausible but wrong report.
//
// The package does no I/O, reads no clock and starts no goroutines. Invariants
// of the sequence: the next offset only increases; the number of delivered
// tokens never exceeds it; the generation changes only while no token has been
// delivered; nothing is passed on after the end.
package delivery

import "filbertdeck/internal/failure"

// DefaultMaxResumes limits the successive connections that bring no new token.
// Each costs a dial of some milliseconds; four failures in a row mean that the
// engine or its numbering is at fault, not the link.
const DefaultMaxResumes = 4

// maxResumesBeforeRestart is the limit while the request may still restart on
// another target. One new connection is enough to tell a broken link from a
// stuck target; waiting for a stuck target longer would only add to the
// caller's stall.
const maxResumesBeforeRestart = 1

// Frame is the content of one event from a target.
type Frame struct {
	Generation string
	// Offset is the index of the frame's first token.
	Offset uint64
	// Tokens is the number of tokens in the frame. A frame that only reports
	// the end has none.
	Tokens uint64
	// Finish is set if the generation ends with this frame.
	Finish bool
	// Done is set for the closing event of the stream ([DONE]), which carries
	// nothing else.
	Done bool
}

// Verdict is what to do with a frame.
type Verdict int

// The verdicts.
const (
	// Pass: deliver the frame's tokens.
	Pass Verdict = iota + 1
	// Duplicate: all tokens of the frame were delivered already; drop it.
	Duplicate
	// Gap: tokens are missing, or the frame holds old and new tokens together,
	// which can't be separated. Close the connection and resume at the next
	// offset.
	Gap
	// Mismatched: the frame belongs to another generation. Close the connection,
	// count the event, and resume at the next offset.
	Mismatched
	// Complete: the generation has ended and all its tokens were delivered.
	Complete
)

// String returns the name of the verdict in metrics.
func (v Verdict) String() string {
	names := [...]string{"none", "pass", "duplicate", "gap", "crossed", "complete"}
	if v < 0 || int(v) >= len(names) {
		return "none"
	}
	return names[v]
}

// Mode determines when tokens are sent to the caller.
type Mode int

// The modes, as in the table's column "delivery".
const (
	// Stream sends tokens as they arrive.
	Stream Mode = iota
	// Buffered buffers tokens until the generation is complete.
	Buffered
)

// Sequencer checks the frames of one request. It is not safe for concurrent use.
type Sequencer struct {
	mode            Mode
	generation      string
	nextOffset      uint64
	deliveredTokens uint64
	finished        bool
	complete        bool
	released        bool
	resumed         bool
	resumes         int
	maxResumes      int
}

// New returns the state for a generation that starts now.
func New(mode Mode, generation string) Sequencer {
	return Sequencer{mode: mode, generation: generation, maxResumes: DefaultMaxResumes}
}

// Resume returns the state for a generation that another connection of the
// caller started: every token before offset has reached the caller. It never
// changes to another generation, not even at offset 0, because the entry that
// started it may have delivered more than the caller's handle says.
func Resume(mode Mode, generation string, offset uint64) Sequencer {
	return Sequencer{
		mode: mode, generation: generation, nextOffset: offset, deliveredTokens: offset,
		resumed: true, maxResumes: DefaultMaxResumes,
	}
}

// ResumeFinished is like Resume, for a caller that has received the finishing
// frame and lacks only the closing event.
func ResumeFinished(mode Mode, generation string, offset uint64) Sequencer {
	o := Resume(mode, generation, offset)
	o.finished = true
	return o
}

// NextOffset returns the index of the next token to request from the target.
func (o *Sequencer) NextOffset() uint64 { return o.nextOffset }

// DeliveredTokens returns the number of tokens that may have reached the caller.
func (o *Sequencer) DeliveredTokens() uint64 { return o.deliveredTokens }

// Generation returns the ID of the generation in progress.
func (o *Sequencer) Generation() string { return o.generation }

// Complete reports whether the entire answer has been checked.
func (o *Sequencer) Complete() bool { return o.complete }

// Finished reports whether all tokens and the generation's finish have been
// passed on. If the connection is lost after that, only the closing event is
// missing: the answer has all its tokens and may be marked complete without it.
func (o *Sequencer) Finished() bool { return o.finished }

// MarkComplete marks a finished answer as complete without its closing event, and
// reports whether the answer is complete.
func (o *Sequencer) MarkComplete() bool {
	o.complete = o.complete || o.finished
	return o.complete
}

// Check returns the verdict on a frame. In mode Stream the tokens of a passed
// frame count as delivered even if the write that follows fails, because a
// failed write may still have left the host.
func (o *Sequencer) Check(f Frame) Verdict {
	switch {
	case f.Done:
		return o.checkDone()
	case f.Generation != o.generation:
		return Mismatched
	case f.Offset > o.nextOffset:
		return Gap
	case f.Offset+f.Tokens < f.Offset:
		return Mismatched // offset overflow: not a valid frame of this generation
	case f.Offset < o.nextOffset && f.Offset+f.Tokens <= o.nextOffset:
		o.noteFinish(f)
		return Duplicate
	case f.Offset < o.nextOffset:
		return Gap
	case o.finished && f.Tokens > 0:
		return Mismatched // a generation has no tokens after its end
	}
	o.accept(f)
	return Pass
}

func (o *Sequencer) accept(f Frame) {
	o.nextOffset += f.Tokens
	if f.Tokens > 0 {
		o.resumes = 0
	}
	if o.mode == Stream {
		o.deliveredTokens = o.nextOffset
	}
	o.noteFinish(f)
}

// noteFinish records the end of the generation, but only if the finishing frame
// ends at the next offset: an older frame can't end a longer stream.
func (o *Sequencer) noteFinish(f Frame) {
	if f.Finish && f.Offset+f.Tokens == o.nextOffset {
		o.finished = true
	}
}

// checkDone accepts the closing event only after a finishing frame. Otherwise
// an answer that a target closed early would count as complete.
func (o *Sequencer) checkDone() Verdict {
	if !o.finished {
		return Gap
	}
	o.complete = true
	return Complete
}

// MarkReleased must be called right before a buffered answer is written to the
// caller.
func (o *Sequencer) MarkReleased() {
	o.released = true
	o.deliveredTokens = o.nextOffset
}

// TryResume counts another connection for the same generation, which starts at the
// next offset. It returns false if too many successive connections brought no
// token.
func (o *Sequencer) TryResume() bool {
	limit := o.maxResumes
	if o.MayRestart() {
		limit = min(limit, maxResumesBeforeRestart)
	}
	if o.complete || o.resumes >= limit {
		return false
	}
	o.resumes++
	return true
}

// MayRestart reports whether another generation may answer this request. That
// is only so while no token can have reached the caller: an answer with tokens
// of two generations looks plausible and is wrong.
func (o *Sequencer) MayRestart() bool {
	return o.deliveredTokens == 0 && !o.released && !o.resumed && !o.complete
}

// Restart changes to another generation. If that is not allowed, it returns
// false and changes nothing.
func (o *Sequencer) Restart(generation string) bool {
	if !o.MayRestart() {
		return false
	}
	*o = Sequencer{mode: o.mode, generation: generation, maxResumes: o.maxResumes}
	return true
}

// LostError returns the error for a request whose generation is gone. It says how
// many tokens reached the caller and that no more will follow.
func (o *Sequencer) LostError(cause error) *failure.Error {
	const text = "the generation was lost after %d delivered tokens"
	e := failure.New(failure.KindTargetLost, text, o.deliveredTokens)
	if cause != nil {
		e = failure.Wrap(cause, failure.KindTargetLost, text, o.deliveredTokens)
	}
	e.DeliveredTokens = int(o.deliveredTokens)
	return e.WithExecuted()
}
