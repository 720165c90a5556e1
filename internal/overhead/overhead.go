// Package overhead measures the overhead of an entry and a control process: the
// latency that they add to a request, the processor time per request and per
// token, the memory per open stream, and the resource use of an idle control
// process. Each comparison calls the target directly and through the entry in the
// same run.
package overhead

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/fleet"
	"filbertdeck/internal/usage"
)

// Config configures the measurement.
type Config struct {
	BinDir string
	// Requests is the number of requests in each latency comparison.
	Requests int
	// Streams is the number of streams in the relay measurement, followed by the
	// number of tokens per stream.
	Streams, TokensPerStream int
	// OpenStreams is the number of concurrent streams in the memory measurement.
	OpenStreams int
	// HeapProfilePath, if set, is the file to which the entry's heap profile is written while
	// the streams are open.
	HeapProfilePath string
	// IdleDuration is the duration of the measurement of an idle control process.
	IdleDuration time.Duration
}

const apiKey = "overhead-key"

const tableTemplate = "kind,name,weight,max_running,tokens_per_second,priority,key_sha256,services,type,delivery,max_tokens,max_wait_ms,queue_limit\n" +
	"account,bench,1,,,,%s,,,,,,\n" +
	"service,reports,,,,,,,generation,stream,100000,60000,20000\n" +
	"service,sites,,,,,,,lookup,,,5000,500\n"

// measurement is a run of all measurements on one fleet.
type measurement struct {
	Config
	out    io.Writer
	fleet  *fleet.Fleet
	client *http.Client
}

// Run starts a fleet, runs all measurements and prints a line for each to out.
func Run(ctx context.Context, cfg Config, out io.Writer) error {
	f, err := fleet.Start(ctx, fleet.Spec{
		BinDir: cfg.BinDir, Table: fmt.Sprintf(tableTemplate, fleet.KeyDigest(apiKey)),
		Hosts: []string{"a"}, Engines: []string{"a"}, Apps: []string{"a"},
		EngineServices: []string{"reports"}, AppServices: []string{"sites"},
		EngineArgs: []string{
			"--base-step", "2ms", "--per-sequence", "1us", "--per-prompt-token", "1us",
			"--memory-tokens", "100000000", "--max-batch", "20000", "--full-bears", "20000",
		},
	})
	if err != nil {
		return err
	}
	defer f.Close()
	m := &measurement{Config: cfg, out: out, fleet: f, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 1024, MaxConnsPerHost: 0,
	}}}
	steps := []func(context.Context) error{m.measureIdle, m.measureLookups, m.measureFirstTokens, m.measureRelay, m.measureOpenStreams}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (m *measurement) printLine(format string, args ...any) { fmt.Fprintf(m.out, format+"\n", args...) }

func (m *measurement) entryUsage() (usage.Usage, error) {
	return usage.ForProcess(m.fleet.Hosts[0].EntryProcess.PID())
}
func (m *measurement) controlUsage() (usage.Usage, error) {
	return usage.ForProcess(m.fleet.Hosts[0].ControlProcess.PID())
}

// measureIdle measures the resource use of the control process without load.
func (m *measurement) measureIdle(ctx context.Context) error {
	before, err := m.controlUsage()
	if err != nil {
		return err
	}
	select {
	case <-time.After(m.IdleDuration):
	case <-ctx.Done():
		return ctx.Err()
	}
	after, err := m.controlUsage()
	if err != nil {
		return err
	}
	corePercent := float64(after.CPU-before.CPU) / float64(m.IdleDuration) * 100
	m.printLine("idle control process: %.2f%% of a core over %v, %.1f MB resident", corePercent, m.IdleDuration, megabytes(after.ResidentBytes))
	return nil
}

func megabytes(bytes int64) float64 { return float64(bytes) / (1 << 20) }

// timeCalls makes count sequential calls and returns their latencies in
// microseconds.
func timeCalls(count int, call func() error) (*hdrhistogram.Histogram, error) {
	latencies := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for range count {
		started := time.Now()
		if err := call(); err != nil {
			return nil, err
		}
		_ = latencies.RecordValue(time.Since(started).Microseconds())
	}
	return latencies, nil
}

func (m *measurement) get(url string) error {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "request can't be created")
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := m.client.Do(req)
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "request failed")
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return failure.New(failure.KindInternal, "status %d", resp.StatusCode)
	}
	return nil
}

func (m *measurement) measureLookups(context.Context) error {
	direct := "http://" + m.fleet.Apps[0].Address + "/x"
	throughEntry := "http://" + m.fleet.Hosts[0].ClientAddress + "/v1/services/sites/x"
	return m.compareLatency("lookup", func() error { return m.get(direct) }, func() error { return m.get(throughEntry) })
}

func (m *measurement) measureFirstTokens(ctx context.Context) error {
	direct := "http://" + m.fleet.Engines[0].Address + "/v1/completions"
	throughEntry := "http://" + m.fleet.Hosts[0].ClientAddress + "/v1/completions"
	oneToken := func(url string) func() error {
		return func() error { _, err := m.readStream(ctx, url, 1, nil); return err }
	}
	return m.compareLatency("generation of one token", oneToken(direct), oneToken(throughEntry))
}

func (m *measurement) compareLatency(name string, direct, throughEntry func() error) error {
	if _, err := timeCalls(m.Requests/10, throughEntry); err != nil {
		return err
	}
	directLatencies, err := timeCalls(m.Requests, direct)
	if err != nil {
		return err
	}
	before, err := m.entryUsage()
	if err != nil {
		return err
	}
	entryLatencies, err := timeCalls(m.Requests, throughEntry)
	if err != nil {
		return err
	}
	after, err := m.entryUsage()
	if err != nil {
		return err
	}
	cpuPerRequest := (after.CPU - before.CPU) / time.Duration(m.Requests)
	m.printLine("%s: direct p50 %d us, p99 %d us; through the entry p50 %d us, p99 %d us; entry processor time %v per request (%d requests, one at a time)",
		name, directLatencies.ValueAtQuantile(50), directLatencies.ValueAtQuantile(99), entryLatencies.ValueAtQuantile(50), entryLatencies.ValueAtQuantile(99), cpuPerRequest, m.Requests)
	return nil
}

// readStream requests a generation and counts its events. It calls onFirstEvent,
// if set, after the first event.
func (m *measurement) readStream(ctx context.Context, url string, tokens int, onFirstEvent func()) (int, error) {
	body, _ := json.Marshal(map[string]any{
		"model": "reports", "prompt": fmt.Sprintf("x [tokens=%d]", tokens), "max_tokens": tokens, "stream": true,
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, failure.Wrap(err, failure.KindInternal, "request can't be created")
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := m.client.Do(req)
	if err != nil {
		return 0, failure.Wrap(err, failure.KindInternal, "request failed")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		message, _ := io.ReadAll(resp.Body)
		return 0, failure.New(failure.KindInternal, "status %d: %s", resp.StatusCode, message)
	}
	return readEvents(resp.Body, onFirstEvent)
}

func readEvents(body io.Reader, onFirstEvent func()) (events int, err error) {
	reader := bufio.NewReaderSize(body, 2<<10)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return events, failure.Wrap(err, failure.KindTargetLost, "the stream ended early")
		}
		switch {
		case strings.HasPrefix(line, "data: [DONE]"):
			return events, nil
		case strings.HasPrefix(line, "event: error"):
			return events, failure.New(failure.KindTargetFailed, "the stream failed")
		case strings.HasPrefix(line, "data:"):
			events++
			if events == 1 && onFirstEvent != nil {
				onFirstEvent()
			}
		}
	}
}

// runStreams runs count concurrent streams and returns the sum of their events.
func (m *measurement) runStreams(ctx context.Context, count, tokens int, onFirstEvent func()) (int, error) {
	url := "http://" + m.fleet.Hosts[0].ClientAddress + "/v1/completions"
	var mu sync.Mutex
	var wg sync.WaitGroup
	var total int
	var firstErr error
	for range count {
		wg.Add(1)
		go func() {
			defer wg.Done()
			n, err := m.readStream(ctx, url, tokens, onFirstEvent)
			mu.Lock()
			defer mu.Unlock()
			total += n
			if err != nil && firstErr == nil {
				firstErr = err
			}
		}()
	}
	wg.Wait()
	return total, firstErr
}

func (m *measurement) measureRelay(ctx context.Context) error {
	before, err := m.entryUsage()
	if err != nil {
		return err
	}
	started := time.Now()
	events, err := m.runStreams(ctx, m.Streams, m.TokensPerStream, nil)
	if err != nil {
		return err
	}
	elapsed := time.Since(started)
	after, err := m.entryUsage()
	if err != nil {
		return err
	}
	cpu := after.CPU - before.CPU
	m.printLine("relay: %d streams of %d tokens in %v (%.0f events/s); entry processor time %.2f us per event: %.0f events/s per core",
		m.Streams, m.TokensPerStream, elapsed.Round(time.Millisecond), float64(events)/elapsed.Seconds(),
		float64(cpu.Microseconds())/float64(events), float64(events)/cpu.Seconds())
	return nil
}

// measureOpenStreams measures the entry's memory while many streams are open.
func (m *measurement) measureOpenStreams(ctx context.Context) error {
	before, err := m.entryUsage()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var streaming sync.WaitGroup
	streaming.Add(m.OpenStreams)
	done := make(chan error, 1)
	go func() {
		// The number of tokens is large enough for the streams to outlast the
		// measurement; they are cancelled at its end.
		_, err := m.runStreams(ctx, m.OpenStreams, 90_000, func() { streaming.Done() })
		done <- err
	}()
	allStreaming := make(chan struct{})
	go func() { streaming.Wait(); close(allStreaming) }()
	select {
	case <-allStreaming:
	case err := <-done:
		return err
	case <-time.After(openTimeout):
		return failure.New(failure.KindDeadline, "%d streams did not start within %v", m.OpenStreams, openTimeout)
	}
	after, err := m.entryUsage()
	if err != nil {
		return err
	}
	if err := m.saveHeapProfile(); err != nil {
		return err
	}
	if err := m.printRuntimeMemory(); err != nil {
		return err
	}
	cancel()
	<-done
	kilobytesPerStream := float64(after.ResidentBytes-before.ResidentBytes) / float64(m.OpenStreams) / 1024
	m.printLine("open streams: %d at once; entry memory %.1f MB before, %.1f MB with them: %.1f KB per stream", m.OpenStreams, megabytes(before.ResidentBytes), megabytes(after.ResidentBytes), kilobytesPerStream)
	return nil
}

// printRuntimeMemory prints the entry's memory use as reported by the Go runtime.
func (m *measurement) printRuntimeMemory() error {
	var metrics map[string]struct {
		Value float64 `json:"value"`
	}
	if err := m.fleet.GetJSON("http://"+m.fleet.Hosts[0].EntryAdminAddress+"/metrics", &metrics); err != nil {
		return err
	}
	value := func(name string) float64 { return metrics["runtime."+name].Value }
	m.printLine("entry's runtime: %.1f MB heap in use, %.1f MB stacks, %.0f goroutines",
		value("MemStats.HeapInuse")/(1<<20), value("MemStats.StackInuse")/(1<<20), value("NumGoroutine"))
	return nil
}

// saveHeapProfile writes the entry's heap profile to a file, which shows the
// allocations of a stream.
func (m *measurement) saveHeapProfile() error {
	if m.HeapProfilePath == "" {
		return nil
	}
	resp, err := m.client.Get("http://" + m.fleet.Hosts[0].EntryAdminAddress + "/debug/pprof/heap?gc=1")
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "heap profile can't be requested")
	}
	defer func() { _ = resp.Body.Close() }()
	profile, err := io.ReadAll(resp.Body)
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "heap profile can't be read")
	}
	if err := os.WriteFile(m.HeapProfilePath, profile, 0o600); err != nil {
		return failure.Wrap(err, failure.KindSettingInvalid, "--heap")
	}
	return nil
}

// openTimeout limits the time until all streams have started.
const openTimeout = 90 * time.Second
