package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertdeck/internal/decide/poison"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/wake"
)

// Figures of the evidence against requests that crash targets.
const (
	// crashLook is how long after a broken connection the target is looked
	// for: its process is gone by then, and not back before some seconds.
	crashLook = 60 * time.Millisecond
	// crashDial bounds the look; a target that doesn't answer may be cut off,
	// which proves nothing.
	crashDial = 300 * time.Millisecond
	// exportCrashes bounds the crashes in one message to another host.
	exportCrashes = 32
	// guiltyRetry is told to the caller of a request that crashes targets. It
	// did not run and would not: coming back soon makes no sense.
	guiltyRetry = 10 * time.Second
)

// CrashEvidence keeps the evidence against requests that crash the targets that run
// them, of this host and of others. It is safe for concurrent use.
type CrashEvidence struct {
	now func() time.Duration

	mu       sync.Mutex
	detector *poison.Detector
	running  map[string][]uint64
	looking  map[uint64]bool
	// news is signalled when there is evidence to tell other hosts.
	news chan struct{}
}

// NewCrashEvidence returns a Suspects without evidence.
func NewCrashEvidence(now func() time.Duration) *CrashEvidence {
	return &CrashEvidence{
		now: now, detector: poison.New(poison.Config{}), running: map[string][]uint64{}, looking: map[uint64]bool{},
		news: make(chan struct{}, 1),
	}
}

// Changed is received from when there is evidence to tell other hosts.
func (s *CrashEvidence) Changed() <-chan struct{} { return s.news }

// fingerprint names a request over its attempts: the same caller, path and
// body come again under another id.
func fingerprint(x *exchange) uint64 {
	d := xxhash.New()
	for _, part := range []string{accountName(x.account), x.Method, x.Host, x.URI} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(x.Body)
	return d.Sum64()
}

// guilty tells whether a request is known to crash targets.
func (s *CrashEvidence) guilty(f uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.Assess(s.now(), f).Verdict == poison.Blocked
}

// begin notes that a request runs at a target; end says whether it finished
// there.
func (s *CrashEvidence) begin(target *directory.ObservedTarget, f uint64) (end func(finished bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[target.ID] = append(s.running[target.ID], f)
	return func(finished bool) { s.end(target.ID, f, finished) }
}

func (s *CrashEvidence) end(target string, f uint64, finished bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.running[target]
	if i := slices.Index(list, f); i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	s.running[target] = list
	if len(list) == 0 {
		delete(s.running, target)
	}
	if finished {
		s.detector.AddCompletion(s.now(), f)
	}
}

// broke notes that a target broke a request's connection. Whether it crashed
// shows when nobody listens at its address any more; a broken answer alone
// says nothing.
func (s *CrashEvidence) broke(target *directory.ObservedTarget, dial func(ctx context.Context, address string) error) {
	id := poison.CrashID(target.ID, uint64(target.StartedUnixMilli))
	s.mu.Lock()
	suspects := slices.Clone(s.running[target.ID])
	looked := s.looking[id]
	s.looking[id] = true
	s.mu.Unlock()
	if looked {
		return
	}
	time.AfterFunc(crashLook, func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashDial)
		defer cancel()
		err := dial(ctx, target.Address)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.looking, id)
		if failure.KindOf(err) == failure.KindTargetFailed {
			// Latest start first, as the evidence weighs them.
			slices.Reverse(suspects)
			s.detector.AddCrash(s.now(), id, suspects)
			wake.Signal(s.news)
		}
	})
}

// Export gives the evidence for other hosts.
func (s *CrashEvidence) Export() []poison.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.Export(s.now(), exportCrashes)
}

// Merge takes the evidence of another host.
func (s *CrashEvidence) Merge(crashes []poison.Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.detector.Merge(s.now(), crashes) {
		wake.Signal(s.news)
	}
}
