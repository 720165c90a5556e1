package slopes

import (
	"context"
	"fmt"
	"sync"
	"time"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/control/pool"
	"filbertdeck/internal/control/sessions"
	"filbertdeck/internal/control/state"
	"filbertdeck/internal/decide/admission"
	"filbertdeck/internal/entry/admit"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/rpc"
)

const (
	poolName = "reports/dc-01/0123456789abcdef"
	// bearsAll lets every request start at once.
	bearsAll = 1 << 16
	// reportEvery is the pace of the target's reports.
	reportEvery = 200 * time.Millisecond
	// nodeRate is the requests that a node asks for a second at the target
	// size: 52,000 over 3,300 nodes.
	nodeRate = 16
)

// bench is one pool served over gRPC on loopback.
type bench struct {
	runner *pool.Runner
	wire   wire
	client *admit.Client
	close  func()
}

// Runner implements sessions.Pools.
func (b *bench) Runner(string) (*pool.Runner, uint64, bool) { return b.runner, 1, true }

// newBench serves a pool of four targets.
func newBench(ctx context.Context) (*bench, error) {
	b := &bench{}
	server := sessions.New(b)
	b.runner = pool.NewRunner(poolName, admission.Config{Seed: 1, QueueLimit: bearsAll}, server.Deliver)
	l, err := b.wire.listen()
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "no free port")
	}
	grpcServer := rpc.NewServer(rpc.Credentials{})
	filbertv1.RegisterAdmissionServer(grpcServer, &state.Service{Sessions: server})
	go func() { _ = grpcServer.Serve(l) }()
	owner := l.Addr().String()
	b.client = admit.New(&filbertv1.Hello{Entry: "10.1.0.1:8081", Incarnation: 1_800_000_000_000, DataCentre: "dc-01"},
		rpc.Credentials{}, func(string) []string { return []string{owner} })
	b.close = func() { b.client.Close(); grpcServer.Stop(); b.runner.Close() }
	go b.report(ctx)
	return b, nil
}

// report keeps the pool's targets warm.
func (b *bench) report(ctx context.Context) {
	targets := targetList(4)
	b.runner.Do(func(a *admission.Allocator, now time.Duration) {
		a.SetOwnership(now, 1, true)
		list := make([]admission.Target, len(targets))
		for i, t := range targets {
			list[i].Address = t.Address
		}
		a.SetTargets(now, list)
	})
	for ctx.Err() == nil {
		b.runner.Confirm(time.Now())
		for _, t := range targets {
			b.runner.Report(admission.Report{Target: t.Address, Incarnation: 1, MemoryTokens: 1 << 40, Bears: bearsAll})
		}
		time.Sleep(reportEvery)
	}
}

// one is a request from its ask to its settlement; run is how long it runs.
func (b *bench) one(ctx context.Context, i int, run time.Duration) error {
	lease, err := b.client.Acquire(ctx, &filbertv1.Ask{
		Pool: poolName, Account: fmt.Sprintf("account-%05d", i%8), PromptTokens: 400, MaxTokens: 2000,
		Fingerprint: uint64(i) * 0x9e3779b97f4a7c15, Prefix: []uint64{uint64(i) << 40, uint64(i) << 41, uint64(i) << 42, uint64(i) << 43},
		WaitMs: 60_000,
	})
	if err != nil {
		return err
	}
	time.Sleep(run)
	lease.Produced(230)
	lease.Settle(filbertv1.Outcome_OUTCOME_DONE, 300*time.Millisecond, run)
	return nil
}

// paced asks rate times a second for a while; each request runs so long.
func (b *bench) paced(ctx context.Context, rate int, run, over time.Duration) error {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var wg sync.WaitGroup
	var once sync.Once
	var failed error
	for i := range rate * int(over/time.Second) {
		<-ticker.C
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := b.one(ctx, i, run); err != nil {
				once.Do(func() { failed = err })
			}
		}()
	}
	wg.Wait()
	return failed
}

// Admission measures the session between an entry and an allocator: bytes at a
// node's own pace, with requests that run for a while, and processor time of
// both sides together at a pace that shows it.
func (r Report) Admission(ctx context.Context, over time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	b, err := newBench(ctx)
	if err != nil {
		return err
	}
	defer b.close()
	if err := b.paced(ctx, nodeRate, 0, time.Second); err != nil {
		return err
	}
	for _, c := range []struct {
		rate int
		run  time.Duration
	}{{1, 0}, {nodeRate, 0}, {nodeRate, 4 * time.Second}, {200, 0}, {1000, 0}} {
		payload, segments := b.wire.sample()
		cpu, begun := ownCPU(), time.Now()
		if err := b.paced(ctx, c.rate, c.run, over); err != nil {
			return err
		}
		took, used := time.Since(begun), ownCPU()-cpu
		endPayload, endSegments := b.wire.sample()
		bytes, packets := float64(endPayload-payload)/took.Seconds(), float64(endSegments-segments)/took.Seconds()
		requests := float64(c.rate) * over.Seconds() / took.Seconds()
		r.line("admission: %.1f requests/s that run %v: %.0f payload bytes/s and %.1f segments/s both ways; with headers %.0f to %.0f bytes/s, %.0f to %.0f a request; cpu %.0f us a request, both sides and load together",
			requests, c.run, bytes, packets, bytes+packets*segmentHeader, bytes+2*packets*segmentHeader,
			(bytes+packets*segmentHeader)/requests, (bytes+2*packets*segmentHeader)/requests,
			float64(used.Microseconds())/took.Seconds()/requests)
	}
	return nil
}
