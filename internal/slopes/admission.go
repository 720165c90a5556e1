package slopes

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/control/poolrunner"
	"filbertdeck/internal/control/sessions"
	"filbertdeck/internal/control/state"
	"filbertdeck/internal/decide/admission"
	"filbertdeck/internal/entry/admit"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/rpc"
)

const (
	poolName = "reports/dc-01/123"
	// bearsAll lets every request start at once.
	bearsAll = 1 << 16
	// reportEvery is the pace of the target's reports.
	reportEvery = 200 * time.Millisecond
	// nodeRate is the requests that a node asks for a second at the target
	// size: 52,000 over 3,300 nodes.
	nodeRate = 16
	// nodeRun is how long a request runs there: 230 tokens, 61 ms apart.
	nodeRun = 14 * time.Second
)

// bench is one pool served over gRPC on loopback.
type bench struct {
	runner *poolrunner.Runner
	wire   wire
	client *admit.Client
	close  func()
}

// Runner implements sessions.Pools.
func (b *bench) Runner(string) (*poolrunner.Runner, uint64, bool) { return b.runner, 1, true }

// newBench serves a pool of four targets.
func newBench(ctx context.Context) (*bench, error) {
	b := &bench{}
	server := sessions.New(b)
	b.runner = poolrunner.NewRunner(poolName, admission.Config{Seed: 1, QueueLimit: bearsAll}, server.Deliver)
	l, err := b.wire.listen()
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "no free port")
	}
	grpcServer := rpc.NewServer(rpc.Credentials{})
	filbertv1.RegisterAdmissionServer(grpcServer, &state.Service{Sessions: server})
	go func() { _ = grpcServer.Serve(l) }()
	owner := l.Addr().String()
	b.client = admit.New(&filbertv1.Hello{Entry: "10.1.0.1:8081", Incarnation: 1_800_000_000_000, DataCentre: "dc-01"},
		rpc.Credentials{}, func(string) []string { return []string{owner} }, gometrics.NewRegistry())
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
			b.runner.Report(admission.Report{Target: t.Address, Incarnation: 1, MemoryTokens: 1 << 40, Capacity: bearsAll})
		}
		time.Sleep(reportEvery)
	}
}

// one is a request from its ask to its settlement; run is how long it runs.
func (b *bench) one(ctx context.Context, i int, run time.Duration) error {
	lease, err := b.client.Acquire(ctx, &filbertv1.Ask{
		Pool: poolName, Account: accountName(i % 8), PromptTokens: 400, MaxTokens: 2000,
		Fingerprint: uint64(i) * 0x9e3779b97f4a7c15, Prefix: []uint64{uint64(i) << 40, uint64(i) << 41, uint64(i) << 42, uint64(i) << 43},
		WaitMs: 60_000,
	})
	if err != nil {
		return err
	}
	time.Sleep(run)
	lease.SetProduced(230)
	lease.Settle(filbertv1.Outcome_OUTCOME_DONE, 300*time.Millisecond, run)
	return nil
}

// paced asks rate times a second for a while; each request runs so long.
func (b *bench) paced(ctx context.Context, rate int, run, over time.Duration) error {
	ticker := time.NewTicker(time.Second / time.Duration(max(rate, 1)))
	defer ticker.Stop()
	group, ctx := errgroup.WithContext(ctx)
	for i := range rate * int(over/time.Second) {
		<-ticker.C
		group.Go(func() error { return b.one(ctx, i, run) })
	}
	return group.Wait()
}

// steady watches a pace after as many requests run as ever will, until the
// last begins.
func (b *bench) steady(ctx context.Context, out Printer, rate int, run, over time.Duration) error {
	done := make(chan error, 1)
	go func() { done <- b.paced(ctx, rate, run, run+over+time.Second) }()
	time.Sleep(run)
	payload, segments := b.wire.sample()
	cpu, begun := ownCPU(), time.Now()
	time.Sleep(over)
	used, took := ownCPU()-cpu, time.Since(begun).Seconds()
	endPayload, endSegments := b.wire.sample()
	bytes, packets := float64(endPayload-payload)/took, float64(endSegments-segments)/took
	out.line("admission: %d requests/s that run %v: %.0f payload bytes/s and %.1f segments/s both ways, with headers %.0f (all acknowledgements ride along) to %.0f bytes/s (none does); %.3f%% of a core, both sides and load together",
		rate, run, bytes, packets, bytes+packets*segmentHeader, bytes+2*packets*segmentHeader, share(used, over))
	return <-done
}

// Admission measures the session between an entry and an allocator: bytes at a
// node's own pace, with requests that run for a while, and processor time of
// both sides together at paces that show it.
func (out Printer) Admission(ctx context.Context, over time.Duration) error {
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
	}{{0, 0}, {1, 0}, {nodeRate, 0}, {nodeRate, 4 * time.Second}, {nodeRate, nodeRun}, {200, 0}, {1000, 0}} {
		if err := b.steady(ctx, out, c.rate, c.run, over); err != nil {
			return err
		}
	}
	return nil
}
