// Package storeoutage notices early that the store has stopped answering, and
// spreads the questions that hosts ask targets meanwhile.
//
// Load pattern: engines are reclaimed with one and a half seconds' notice every
// few seconds, and the notice is published in the store. The store may fall
// silent in the same instant.
//
// What happens without it: hosts learn of the silence by the age of what they
// know, after a second or more. They ask engines only then, and generations
// whose copies take longer than what is left of the notice are cut.
//
// How it works: readers of the store keep a call waiting there. An answer that
// is later than usual by a few mean deviations makes the store suspect, and the
// readers tell the other hosts. A suspicion costs a few questions; any answer
// to a later call ends it.
//
// It is not safe for concurrent use; times are on the steady clock.
package storeoutage

import "time"

const (
	// Weights of a new sample in the mean and in the mean deviation, and the
	// deviations that make an answer late, as for retransmission timeouts
	// (RFC 6298).
	meanWeight      = 0.125
	deviationWeight = 0.25
	lateDeviations  = 4
	// startPatience holds until an answer was timed.
	startPatience = 150 * time.Millisecond
	// leastPatience covers a lost packet's fast retransmission and a pause of
	// this process.
	leastPatience = 50 * time.Millisecond
	// sameSilence is the difference up to which two hosts speak of one silence:
	// each adds the time that a message was on its way.
	sameSilence = 300 * time.Millisecond
)

// Detector follows the answers of the store to one host's calls and what other
// hosts say of theirs.
type Detector struct {
	mean, deviation time.Duration
	timed           bool
	// due is when the last overdue answer should have come; ever is set when
	// there was one.
	due  time.Duration
	ever bool
}

// RecordAnswer takes the time that an answer took beyond the wait that was asked
// for.
func (d *Detector) RecordAnswer(took time.Duration) {
	took = max(took, 0)
	if !d.timed {
		d.mean, d.deviation, d.timed = took, took/2, true
		return
	}
	d.deviation += time.Duration(deviationWeight * float64((took-d.mean).Abs()-d.deviation))
	d.mean += time.Duration(meanWeight * float64(took-d.mean))
}

// AnswerTimeout is the time beyond the wait after which an answer is overdue.
func (d *Detector) AnswerTimeout() time.Duration {
	if !d.timed {
		return startPatience
	}
	return max(d.mean+lateDeviations*d.deviation, leastPatience)
}

// RecordOverdue notes that an answer that was due at a time has not come, here or at
// another host. It tells whether that is a silence not known of before.
func (d *Detector) RecordOverdue(due time.Duration) bool {
	if d.ever && due < d.due+sameSilence {
		return false
	}
	d.due, d.ever = due, true
	return true
}

// LastOverdue gives when the last overdue answer should have come; false when all came
// in time.
func (d *Detector) LastOverdue() (time.Duration, bool) { return d.due, d.ever }

// IsSuspect tells whether the store may be silent, given the start of the last
// call that it is known to have answered, at any host.
func (d *Detector) IsSuspect(answered time.Duration) bool { return d.ever && answered < d.due }

// laterAskers is the number of hosts that ask a target in each round but the
// first, on the mean.
const laterAskers = 2

// ShouldAsk tells whether a host asks a target in a round, where so many hosts have
// something running there. All ask in the first round: with turns drawn at
// random a third of the targets would not be asked, and the notice may already
// run. draw is in [0, 1).
func ShouldAsk(first bool, hosts int, draw float64) bool {
	return first || draw*float64(hosts) < laterAskers
}
