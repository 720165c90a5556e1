// Package storeoutage detects early that the store has stopped answering, and
// limits the requests that hosts send to targets meanwhile.
//
// Engines are reclaimed every few seconds with one and a half seconds' notice,
// and the notice is published in the store. The store may stop answering at the
// same moment. If hosts detected that only by the age of their data, after a
// second or more, they would ask the engines only then, and generations whose
// copies take longer than the rest of the notice would be cut off.
//
// Readers of the store keep a call waiting there. An answer that is later than
// usual by a few mean deviations makes the store suspect, and the readers tell
// the other hosts. A suspicion costs a few requests to targets; any answer to a
// later call ends it.
//
// The package is not safe for concurrent use; times are on the monotonic clock.
package storeoutage

import "time"

const (
	// meanGain and deviationGain are the weights of a new sample in the mean and
	// in the mean deviation, deviationMultiplier the number of deviations after
	// which an answer is late, as for retransmission timeouts (RFC 6298).
	meanGain            = 0.125
	deviationGain       = 0.25
	deviationMultiplier = 4
	// initialTimeout applies until an answer has been measured.
	initialTimeout = 150 * time.Millisecond
	// minTimeout covers a lost packet's fast retransmission and a pause of this
	// process.
	minTimeout = 50 * time.Millisecond
	// sameOutageTolerance is the difference of due times up to which two hosts
	// report the same outage: each report adds the time that its message took.
	sameOutageTolerance = 300 * time.Millisecond
)

// Detector tracks the store's answers to one host's calls, and other hosts'
// reports of theirs.
type Detector struct {
	mean, deviation time.Duration
	measured        bool
	// overdueSince is when the last overdue answer should have come; hasOverdue
	// is set when there was one.
	overdueSince time.Duration
	hasOverdue   bool
}

// RecordAnswer records the delay of an answer beyond the requested wait.
func (d *Detector) RecordAnswer(delay time.Duration) {
	delay = max(delay, 0)
	if !d.measured {
		d.mean, d.deviation, d.measured = delay, delay/2, true
		return
	}
	d.deviation += time.Duration(deviationGain * float64((delay-d.mean).Abs()-d.deviation))
	d.mean += time.Duration(meanGain * float64(delay-d.mean))
}

// AnswerTimeout returns the time beyond the requested wait after which an answer is
// overdue.
func (d *Detector) AnswerTimeout() time.Duration {
	if !d.measured {
		return initialTimeout
	}
	return max(d.mean+deviationMultiplier*d.deviation, minTimeout)
}

// RecordOverdue records that an answer that was due at a time has not come, here or
// at another host. It reports whether that is an outage that was not known
// before.
func (d *Detector) RecordOverdue(due time.Duration) bool {
	if d.hasOverdue && due < d.overdueSince+sameOutageTolerance {
		return false
	}
	d.overdueSince, d.hasOverdue = due, true
	return true
}

// LastOverdue returns when the last overdue answer should have come, and false if none
// was ever overdue.
func (d *Detector) LastOverdue() (time.Duration, bool) { return d.overdueSince, d.hasOverdue }

// IsSuspect reports whether the store may have stopped answering, given when
// the latest call that it is known to have answered, from any host, was started.
func (d *Detector) IsSuspect(lastAnsweredCallStart time.Duration) bool {
	return d.hasOverdue && lastAnsweredCallStart < d.overdueSince
}

// askersPerLaterRound is the mean number of hosts that ask a target in each
// round but the first.
const askersPerLaterRound = 2

// ShouldAsk reports whether a host asks a target in a round. activeHosts is the
// number of hosts that have requests running at the target, sample a random
// number in [0, 1).
// All hosts ask in the first round: with a random choice there, a third of the
// targets would not be asked, and their notice period may already have begun.
func ShouldAsk(firstRound bool, activeHosts int, sample float64) bool {
	return firstRound || sample*float64(activeHosts) < askersPerLaterRound
}
