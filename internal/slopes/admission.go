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
	// unlimitedCapacity is large enough for every request to start at once.
	unlimitedCapacity = 1 << 16
	// reportInterval is the interval between reports of a target.
	reportInterval = 200 * time.Millisecond
	// hostRequestRate is the number of requests per second and host at full
	// scale: 52,000 over 3,300 hosts.
	hostRequestRate = 16
	// hostRequestDuration is the duration of a request at full scale: 230 tokens,
	// 61 ms apart.
	hostRequestDuration = 14 * time.Second
)

// admissionBench serves one pool over gRPC on loopback.
type admissionBench struct {
	runner  *poolrunner.Runner
	traffic trafficCounter
	client  *admit.Client
	close   func()
}

// Runner implements sessions.Pools.
func (b *admissionBench) Runner(string) (*poolrunner.Runner, uint64, bool) { return b.runner, 1, true }

// newAdmissionBench starts serving a pool of four targets.
func newAdmissionBench(ctx context.Context) (*admissionBench, error) {
	b := &admissionBench{}
	server := sessions.New(b)
	b.runner = poolrunner.NewRunner(poolName, admission.Config{Seed: 1, QueueLimit: unlimitedCapacity}, server.Deliver)
	listener, err := b.traffic.listen()
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "can't listen on a free port")
	}
	grpcServer := rpc.NewServer(rpc.Credentials{})
	filbertv1.RegisterAdmissionServer(grpcServer, &state.Service{Sessions: server})
	go func() { _ = grpcServer.Serve(listener) }()
	owner := listener.Addr().String()
	b.client = admit.New(&filbertv1.Hello{Entry: "10.1.0.1:8081", Incarnation: 1_800_000_000_000, DataCentre: "dc-01"},
		rpc.Credentials{}, func(string) []string { return []string{owner} }, gometrics.NewRegistry())
	b.close = func() { b.client.Close(); grpcServer.Stop(); b.runner.Close() }
	go b.sendReports(ctx)
	return b, nil
}

// sendReports confirms the pool's ownership and reports the load of its targets
// until ctx is done, so that the allocator keeps granting requests.
func (b *admissionBench) sendReports(ctx context.Context) {
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
			b.runner.Report(admission.Report{Target: t.Address, Incarnation: 1, KVCapacityTokens: 1 << 40, Capacity: unlimitedCapacity})
		}
		time.Sleep(reportInterval)
	}
}

// runRequest acquires a lease, holds it for the given duration and settles it.
func (b *admissionBench) runRequest(ctx context.Context, i int, duration time.Duration) error {
	lease, err := b.client.Acquire(ctx, &filbertv1.Ask{
		Pool: poolName, Account: accountName(i % 8), PromptTokens: 400, MaxTokens: 2000,
		Fingerprint: uint64(i) * 0x9e3779b97f4a7c15, Prefix: []uint64{uint64(i) << 40, uint64(i) << 41, uint64(i) << 42, uint64(i) << 43},
		WaitMs: 60_000,
	})
	if err != nil {
		return err
	}
	time.Sleep(duration)
	lease.SetProduced(230)
	lease.Settle(filbertv1.Outcome_OUTCOME_DONE, 300*time.Millisecond, duration)
	return nil
}

// runAtRate starts rate requests per second during period; each of them runs for
// requestDuration.
func (b *admissionBench) runAtRate(ctx context.Context, rate int, requestDuration, period time.Duration) error {
	ticker := time.NewTicker(time.Second / time.Duration(max(rate, 1)))
	defer ticker.Stop()
	group, ctx := errgroup.WithContext(ctx)
	for i := range rate * int(period/time.Second) {
		<-ticker.C
		group.Go(func() error { return b.runRequest(ctx, i, requestDuration) })
	}
	return group.Wait()
}

// measureRate measures a request rate in its steady state: it begins once the
// number of running requests has reached its maximum and ends before the last
// request starts.
func (b *admissionBench) measureRate(ctx context.Context, printer Printer, rate int, requestDuration, period time.Duration) error {
	done := make(chan error, 1)
	go func() { done <- b.runAtRate(ctx, rate, requestDuration, requestDuration+period+time.Second) }()
	time.Sleep(requestDuration)
	payloadBefore, segmentsBefore := b.traffic.sample()
	cpuBefore, started := processCPU(), time.Now()
	time.Sleep(period)
	cpuUsed, elapsedSeconds := processCPU()-cpuBefore, time.Since(started).Seconds()
	payloadAfter, segmentsAfter := b.traffic.sample()
	bytesPerSecond, segmentsPerSecond := float64(payloadAfter-payloadBefore)/elapsedSeconds, float64(segmentsAfter-segmentsBefore)/elapsedSeconds
	printer.printLine("admission: %d requests/s that run %v: %.0f payload bytes/s and %.1f segments/s both ways, with headers %.0f (all acknowledgements piggybacked) to %.0f bytes/s (none piggybacked); %.3f%% of a core, client, server and load generator together",
		rate, requestDuration, bytesPerSecond, segmentsPerSecond, bytesPerSecond+segmentsPerSecond*segmentHeaderBytes, bytesPerSecond+2*segmentsPerSecond*segmentHeaderBytes, percentOfCore(cpuUsed, period))
	return <-done
}

// MeasureAdmission measures the session between an entry and an allocator: the bytes at
// the request rate of one host, with requests of realistic duration, and the
// processor time of both sides together at rates high enough to measure it.
func (printer Printer) MeasureAdmission(ctx context.Context, period time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	b, err := newAdmissionBench(ctx)
	if err != nil {
		return err
	}
	defer b.close()
	if err := b.runAtRate(ctx, hostRequestRate, 0, time.Second); err != nil {
		return err
	}
	for _, c := range []struct {
		rate            int
		requestDuration time.Duration
	}{{0, 0}, {1, 0}, {hostRequestRate, 0}, {hostRequestRate, 4 * time.Second}, {hostRequestRate, hostRequestDuration}, {200, 0}, {1000, 0}} {
		if err := b.measureRate(ctx, printer, c.rate, c.requestDuration, period); err != nil {
			return err
		}
	}
	return nil
}
