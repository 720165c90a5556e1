package loadgen

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Config describes one run.
type Config struct {
	Profile  Profile
	Arrivals ArrivalConfig
	Client   ClientConfig
	// Warmup is the length of the first part of the run, which is not measured.
	Warmup time.Duration
	// MaxInProgress limits the calls in progress. Calls above the limit are
	// counted but not sent.
	MaxInProgress int
	// ProgressOutput receives one line per ProgressInterval.
	ProgressOutput   io.Writer
	ProgressInterval time.Duration
}

// recorderSet holds the recorders of one phase of a run, by kind and by account.
type recorderSet struct {
	kinds    map[string]*recorder
	accounts []*recorder
}

func newRecorderSet(cfg Config) *recorderSet {
	set := &recorderSet{kinds: map[string]*recorder{}}
	for _, k := range cfg.Profile.Kinds {
		set.kinds[k.Name] = newRecorder()
	}
	for range cfg.Client.Accounts {
		set.accounts = append(set.accounts, newRecorder())
	}
	return set
}

// forCall applies f to the recorders of the call's kind and account.
func (s *recorderSet) forCall(call Call, f func(*recorder)) {
	f(s.kinds[call.Kind.Name])
	f(s.accounts[call.AccountIndex])
}

// total sums the counts of all kinds.
func (s *recorderSet) total() Counts {
	var total Counts
	for _, r := range s.kinds {
		counts := r.snapshot()
		total.Sent += counts.Sent
		total.Whole += counts.Whole
		total.Refused += counts.Refused
		total.Violated += counts.Violated
		total.RefusedWithoutRetryAfter += counts.RefusedWithoutRetryAfter
		total.Tokens += counts.Tokens
		total.Retries += counts.Retries
	}
	return total
}

// runner is the state of a run in progress.
type runner struct {
	cfg                      Config
	caller                   *caller
	start                    time.Time
	warmup, measured         *recorderSet
	inProgress               atomic.Int64
	unsent                   atomic.Int64
	startDelayMu             sync.Mutex
	startDelay               *hdrhistogram.Histogram
	callGroup, progressGroup sync.WaitGroup
}

// Run generates the load and waits for the last answer. When ctx is cancelled,
// no more calls start and those in progress end as lost connections.
func Run(ctx context.Context, cfg Config) *Result {
	r := &runner{cfg: cfg, start: time.Now(), warmup: newRecorderSet(cfg), measured: newRecorderSet(cfg), startDelay: newHistogram()}
	client := newClient(cfg.Client)
	defer client.close()
	r.caller = &caller{client: client, stallThreshold: cfg.Profile.StallThreshold, seed: cfg.Arrivals.Seed, onTokenGap: r.recordTokenGap}
	stop := make(chan struct{})
	r.progressGroup.Go(func() { r.reportProgress(stop) })
	r.dispatch(ctx)
	r.callGroup.Wait()
	close(stop)
	r.progressGroup.Wait()
	return r.result()
}

func (r *runner) recordersFor(call Call) *recorderSet {
	if call.IntendedStart < r.cfg.Warmup {
		return r.warmup
	}
	return r.measured
}

func (r *runner) recordTokenGap(call Call, d time.Duration) {
	r.recordersFor(call).forCall(call, func(rec *recorder) { rec.recordTokenGap(d) })
}

// dispatch starts each call at its intended time.
func (r *runner) dispatch(ctx context.Context) {
	schedule := newSchedule(r.cfg.Arrivals, r.cfg.Profile, len(r.cfg.Client.Accounts))
	for call, ok := schedule.next(); ok; call, ok = schedule.next() {
		select {
		case <-time.After(time.Until(r.start.Add(call.IntendedStart))):
		case <-ctx.Done():
			return
		}
		if r.inProgress.Load() >= int64(r.cfg.MaxInProgress) {
			r.unsent.Add(1)
			continue
		}
		r.inProgress.Add(1)
		r.callGroup.Go(func() { r.runCall(ctx, call) })
	}
}

func (r *runner) runCall(ctx context.Context, call Call) {
	defer r.inProgress.Add(-1)
	intended := r.start.Add(call.IntendedStart)
	r.recordStartDelay(time.Since(intended))
	recorders := r.recordersFor(call)
	recorders.forCall(call, (*recorder).recordSent)
	result := r.caller.makeCall(ctx, call)
	end := time.Now()
	recorders.forCall(call, func(rec *recorder) { rec.recordOutcome(call, result, intended, end) })
}

func (r *runner) recordStartDelay(d time.Duration) {
	r.startDelayMu.Lock()
	defer r.startDelayMu.Unlock()
	record(r.startDelay, d)
}

// reportProgress writes a progress line at every interval until stop is closed.
func (r *runner) reportProgress(stop <-chan struct{}) {
	ticker := time.NewTicker(r.cfg.ProgressInterval)
	defer ticker.Stop()
	lastTokens := 0
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		measured, warmup := r.measured.total(), r.warmup.total()
		tokens := measured.Tokens + warmup.Tokens
		_, _ = fmt.Fprintf(r.cfg.ProgressOutput,
			"%6.1fs sent %d whole %d refused %d violated %d again %d in progress %d unsent %d tokens/s ended %.0f\n",
			time.Since(r.start).Seconds(), measured.Sent+warmup.Sent, measured.Whole+warmup.Whole,
			measured.Refused+warmup.Refused, measured.Violated+warmup.Violated, measured.Retries+warmup.Retries, r.inProgress.Load(), r.unsent.Load(),
			float64(tokens-lastTokens)/r.cfg.ProgressInterval.Seconds())
		lastTokens = tokens
	}
}

func (r *runner) result() *Result {
	arrivals := r.cfg.Arrivals
	result := &Result{
		Profile: r.cfg.Profile.Name, Seed: arrivals.Seed, Rate: arrivals.Rate, Seconds: (arrivals.Duration - r.cfg.Warmup).Seconds(),
		StallThresholdMS: float64(r.cfg.Profile.StallThreshold) / float64(time.Millisecond),
		Unsent:           int(r.unsent.Load()), WarmupViolations: r.warmup.total().Violated,
		StartDelay: summarize(r.startDelay), Total: r.measured.total(),
		Kinds: map[string]*Group{}, Accounts: map[string]*Group{},
	}
	for name, rec := range r.measured.kinds {
		result.Kinds[name] = rec.buildGroup()
	}
	for i, rec := range r.measured.accounts {
		result.Accounts[r.cfg.Client.Accounts[i]] = rec.buildGroup()
	}
	return result
}
