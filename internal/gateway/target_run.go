package gateway

import (
	"slices"
	"time"

	"filbertdeck/internal/decide/poison"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/wake"
)

const (
	// survivalTime is the time from the first event of a stream from which it counts as
	// sound: a request that crashes its target does so as soon as it runs.
	survivalTime = time.Second
	// suspectLinger is how long a request that its caller gave up is a suspect at its
	// target, which may notice late.
	suspectLinger = 500 * time.Millisecond
	// leftCheckDelay is the time after which a target is probed at which the caller of a
	// suspected request left.
	leftCheckDelay = 300 * time.Millisecond
)

// targetRun is one run of a request at a target, as a suspect should the target crash.
type targetRun struct {
	evidence *CrashEvidence
	target   directory.Lifetime
	request  poison.Request
	// firstEvent is when the first event of its stream arrived, survived is set once the
	// stream has gone on for survivalTime. Only the goroutine that relays the stream uses
	// them.
	firstEvent time.Time
	survived   bool

	// The fields below are guarded by the evidence's mutex.

	// sent is set once this host may have written the request.
	sent bool
	// refuse ends the run once its request is refused; nil for a run that goes on.
	refuse func()
	// cleared is set once the run can no longer end the target.
	cleared bool
	// over is set when the run has ended, endedAt is when.
	over    bool
	endedAt time.Duration
}

// begin records that a request is going to run at a target.
func (s *CrashEvidence) begin(target *directory.ObservedTarget, request poison.Request) *targetRun {
	r := &targetRun{evidence: s, target: target.Lifetime(), request: request}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.now(); now-s.sweptAt >= suspectLinger {
		s.sweptAt = now
		for t := range s.runs {
			s.pruneRuns(t)
		}
	}
	s.runs[r.target] = append(s.runs[r.target], r)
	return r
}

// pruneRuns removes the runs at a target that are no suspects any more.
func (s *CrashEvidence) pruneRuns(target directory.Lifetime) {
	now := s.now()
	s.runs[target] = slices.DeleteFunc(s.runs[target], func(r *targetRun) bool {
		return r.cleared || r.over && now-r.endedAt >= suspectLinger
	})
	if len(s.runs[target]) == 0 {
		delete(s.runs, target)
	}
}

// suspects returns the requests that may have ended a target, the most recently started
// first, as the detector expects them.
func (s *CrashEvidence) suspects(target directory.Lifetime) []poison.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pruneRuns(target)
	var suspects []poison.Request
	for _, r := range slices.Backward(s.runs[target]) {
		if r.sent {
			suspects = append(suspects, r.request)
		}
	}
	return suspects
}

// isSuspected reports whether there is evidence against a request.
func (s *CrashEvidence) isSuspected(request poison.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.IsSuspected(s.now(), request)
}

// endWhenRefused has refuse called once the request is known to crash targets while the run is
// in progress. It must not block.
func (r *targetRun) endWhenRefused(refuse func()) {
	r.evidence.mu.Lock()
	defer r.evidence.mu.Unlock()
	r.refuse = refuse
}

// endRefusedRuns ends the runs in progress whose requests are known to crash targets. A target
// drops what it has not begun to run. The caller holds the mutex.
func (s *CrashEvidence) endRefusedRuns() {
	for _, runs := range s.runs {
		for _, r := range runs {
			if r.refuse == nil || r.over || r.cleared || refusalOf(s.detector.Assess(s.now(), r.request)) == nil {
				continue
			}
			r.refuse()
			r.refuse = nil
			s.runsEnded.Inc(1)
		}
	}
}

// markSent records that the request may be written from now on.
func (r *targetRun) markSent() {
	r.evidence.mu.Lock()
	defer r.evidence.mu.Unlock()
	r.sent = true
}

// wasSent reports whether this host may have written the request.
func (r *targetRun) wasSent() bool {
	r.evidence.mu.Lock()
	defer r.evidence.mu.Unlock()
	return r.sent
}

// recordEvent records that an event of the run's stream has arrived.
func (r *targetRun) recordEvent() {
	switch {
	case r.firstEvent.IsZero():
		r.firstEvent = time.Now()
	case !r.survived && time.Since(r.firstEvent) >= survivalTime:
		r.survived = true
		r.clear(true)
	}
}

// finish records that the run has ended as it should.
func (r *targetRun) finish() { r.clear(true) }

// drop records that the run has ended and says nothing about the request: another host
// knows how, or the target did not run it.
func (r *targetRun) drop() { r.clear(false) }

// clear removes the run from the suspects. A completion also speaks for other runs of the
// request.
func (r *targetRun) clear(completed bool) {
	s := r.evidence
	s.mu.Lock()
	defer s.mu.Unlock()
	r.cleared = true
	s.pruneRuns(r.target)
	if completed && s.detector.AddCompletion(s.now(), r.request) {
		wake.Signal(s.changed)
	}
}

// fail records how the run has failed. It stays a suspect for a while, unless the target
// did not run it.
func (r *targetRun) fail(err error) {
	if failure.FromError(err).Executed == failure.ExecutedNo {
		r.drop()
		return
	}
	r.evidence.mu.Lock()
	defer r.evidence.mu.Unlock()
	r.over, r.endedAt = true, r.evidence.now()
}
