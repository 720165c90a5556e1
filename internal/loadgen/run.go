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
	Arrivals Arrivals
	Target   Target
	// Warmup is the first part of the run, which is not measured.
	Warmup time.Duration
	// MaxInProgress bounds the calls in progress; calls beyond are not sent,
	// and counted.
	MaxInProgress int
	// Progress receives a line every ProgressEvery.
	Progress      io.Writer
	ProgressEvery time.Duration
}

// book holds the recorders of one part of a run.
type book struct {
	kinds    map[string]*recorder
	accounts []*recorder
}

func newBook(cfg Config) *book {
	b := &book{kinds: map[string]*recorder{}}
	for _, k := range cfg.Profile.Kinds {
		b.kinds[k.Name] = newRecorder()
	}
	for range cfg.Target.Accounts {
		b.accounts = append(b.accounts, newRecorder())
	}
	return b
}

// each gives a call's recorders.
func (b *book) each(call Call, do func(*recorder)) {
	do(b.kinds[call.Kind.Name])
	do(b.accounts[call.Account])
}

// total sums the kinds.
func (b *book) total() Counts {
	var t Counts
	for _, r := range b.kinds {
		c := r.snapshot()
		t.Sent += c.Sent
		t.Whole += c.Whole
		t.Refused += c.Refused
		t.Violated += c.Violated
		t.WithoutTime += c.WithoutTime
		t.Tokens += c.Tokens
		t.Again += c.Again
	}
	return t
}

// runner is one run in progress.
type runner struct {
	cfg          Config
	caller       *caller
	start        time.Time
	warm, main   *book
	inProgress   atomic.Int64
	unsent       atomic.Int64
	delayMu      sync.Mutex
	startDelay   *hdrhistogram.Histogram
	calls, lines sync.WaitGroup
}

// Run makes the load and waits for the last answer. When ctx ends, no more
// calls start and those in progress end as lost.
func Run(ctx context.Context, cfg Config) *Result {
	r := &runner{cfg: cfg, start: time.Now(), warm: newBook(cfg), main: newBook(cfg), startDelay: newHistogram()}
	client := newClient(cfg.Target)
	defer client.close()
	r.caller = &caller{client: client, bound: cfg.Profile.StallBound, seed: cfg.Arrivals.Seed, gap: r.gap}
	stop := make(chan struct{})
	r.lines.Go(func() { r.report(stop) })
	r.dispatch(ctx)
	r.calls.Wait()
	close(stop)
	r.lines.Wait()
	return r.result()
}

func (r *runner) book(call Call) *book {
	if call.At < r.cfg.Warmup {
		return r.warm
	}
	return r.main
}

func (r *runner) gap(call Call, d time.Duration) {
	r.book(call).each(call, func(rec *recorder) { rec.gap(d) })
}

// dispatch starts each call at its time.
func (r *runner) dispatch(ctx context.Context) {
	s := newSchedule(r.cfg.Arrivals, r.cfg.Profile, len(r.cfg.Target.Accounts))
	for call, ok := s.next(); ok; call, ok = s.next() {
		select {
		case <-time.After(time.Until(r.start.Add(call.At))):
		case <-ctx.Done():
			return
		}
		if r.inProgress.Load() >= int64(r.cfg.MaxInProgress) {
			r.unsent.Add(1)
			continue
		}
		r.inProgress.Add(1)
		r.calls.Go(func() { r.call(ctx, call) })
	}
}

func (r *runner) call(ctx context.Context, call Call) {
	defer r.inProgress.Add(-1)
	intended := r.start.Add(call.At)
	r.delayed(time.Since(intended))
	b := r.book(call)
	b.each(call, (*recorder).sent)
	out := r.caller.do(ctx, call)
	end := time.Now()
	b.each(call, func(rec *recorder) { rec.ended(call, out, intended, end) })
}

func (r *runner) delayed(d time.Duration) {
	r.delayMu.Lock()
	defer r.delayMu.Unlock()
	record(r.startDelay, d)
}

// report writes a line of progress now and then.
func (r *runner) report(stop <-chan struct{}) {
	tick := time.NewTicker(r.cfg.ProgressEvery)
	defer tick.Stop()
	last := 0
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		t, w := r.main.total(), r.warm.total()
		tokens := t.Tokens + w.Tokens
		_, _ = fmt.Fprintf(r.cfg.Progress,
			"%6.1fs sent %d whole %d refused %d violated %d again %d in progress %d unsent %d tokens/s ended %.0f\n",
			time.Since(r.start).Seconds(), t.Sent+w.Sent, t.Whole+w.Whole, t.Refused+w.Refused, t.Violated+w.Violated,
			t.Again+w.Again, r.inProgress.Load(), r.unsent.Load(),
			float64(tokens-last)/r.cfg.ProgressEvery.Seconds())
		last = tokens
	}
}

func (r *runner) result() *Result {
	a := r.cfg.Arrivals
	out := &Result{
		Profile: r.cfg.Profile.Name, Seed: a.Seed, Rate: a.Rate, Seconds: (a.Duration - r.cfg.Warmup).Seconds(),
		StallBoundMS: float64(r.cfg.Profile.StallBound) / float64(time.Millisecond),
		Unsent:       int(r.unsent.Load()), WarmupViolations: r.warm.total().Violated,
		StartDelay: summarize(r.startDelay), Total: r.main.total(),
		Kinds: map[string]*Group{}, Accounts: map[string]*Group{},
	}
	for name, rec := range r.main.kinds {
		out.Kinds[name] = rec.group()
	}
	for i, rec := range r.main.accounts {
		out.Accounts[r.cfg.Target.Accounts[i]] = rec.group()
	}
	return out
}
