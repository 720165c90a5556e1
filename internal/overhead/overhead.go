// Package overhead measures what an entry and a control process cost: the time
// that they add to a request, the processor time of a request and of a token,
// the memory of an open stream, and what an idle control process uses. Every
// comparison is made in one run, against the target called directly.
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

// Config bounds the measurement.
type Config struct {
	BinDir string
	// Requests is the number of requests of the latency comparison.
	Requests int
	// Streams and Tokens are those of the token measurement.
	Streams, Tokens int
	// Open is the number of streams held open at once.
	Open int
	// Heap, if set, is the file for the entry's heap profile while the streams
	// are open.
	Heap string
	// Idle is how long an idle control process is watched.
	Idle time.Duration
}

const key = "overhead-key"

const tableText = "kind,name,weight,max_running,tokens_per_second,priority,key_sha256,services,type,delivery,max_tokens,max_wait_ms,queue_limit\n" +
	"account,bench,1,,,,%s,,,,,,\n" +
	"service,reports,,,,,,,generation,stream,100000,60000,20000\n" +
	"service,sites,,,,,,,lookup,,,5000,500\n"

// run is one measurement.
type run struct {
	Config
	out    io.Writer
	fleet  *fleet.Fleet
	client *http.Client
}

// Run measures and prints a table.
func Run(ctx context.Context, cfg Config, out io.Writer) error {
	f, err := fleet.Start(ctx, fleet.Spec{
		BinDir: cfg.BinDir, Table: fmt.Sprintf(tableText, fleet.KeyDigest(key)),
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
	r := &run{Config: cfg, out: out, fleet: f, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 1024, MaxConnsPerHost: 0,
	}}}
	steps := []func(context.Context) error{r.idle, r.lookups, r.firstTokens, r.tokens, r.open}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) say(format string, args ...any) { fmt.Fprintf(r.out, format+"\n", args...) }

func (r *run) entryUsage() (usage.Usage, error) {
	return usage.ForProcess(r.fleet.Hosts[0].EntryProcess.PID())
}
func (r *run) controlUsage() (usage.Usage, error) {
	return usage.ForProcess(r.fleet.Hosts[0].ControlProcess.PID())
}

// idle watches the control process while nothing happens.
func (r *run) idle(ctx context.Context) error {
	before, err := r.controlUsage()
	if err != nil {
		return err
	}
	select {
	case <-time.After(r.Idle):
	case <-ctx.Done():
		return ctx.Err()
	}
	after, err := r.controlUsage()
	if err != nil {
		return err
	}
	share := float64(after.CPU-before.CPU) / float64(r.Idle) * 100
	r.say("idle control process: %.2f%% of a core over %v, %.1f MB resident", share, r.Idle, mb(after.ResidentBytes))
	return nil
}

func mb(bytes int64) float64 { return float64(bytes) / (1 << 20) }

// timed measures count calls one after the other.
func timed(count int, call func() error) (*hdrhistogram.Histogram, error) {
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for range count {
		begun := time.Now()
		if err := call(); err != nil {
			return nil, err
		}
		_ = h.RecordValue(time.Since(begun).Microseconds())
	}
	return h, nil
}

func (r *run) get(url string) error {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "request")
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := r.client.Do(req)
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "request")
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return failure.New(failure.KindInternal, "status %d", resp.StatusCode)
	}
	return nil
}

func (r *run) lookups(context.Context) error {
	direct := "http://" + r.fleet.Apps[0].Address + "/x"
	through := "http://" + r.fleet.Hosts[0].ClientAddress + "/v1/services/sites/x"
	return r.compare("lookup", func() error { return r.get(direct) }, func() error { return r.get(through) })
}

func (r *run) firstTokens(ctx context.Context) error {
	direct := "http://" + r.fleet.Engines[0].Address + "/v1/completions"
	through := "http://" + r.fleet.Hosts[0].ClientAddress + "/v1/completions"
	one := func(url string) func() error {
		return func() error { _, err := r.stream(ctx, url, 1, nil); return err }
	}
	return r.compare("generation of one token", one(direct), one(through))
}

func (r *run) compare(what string, direct, through func() error) error {
	if _, err := timed(r.Requests/10, through); err != nil {
		return err
	}
	d, err := timed(r.Requests, direct)
	if err != nil {
		return err
	}
	before, err := r.entryUsage()
	if err != nil {
		return err
	}
	t, err := timed(r.Requests, through)
	if err != nil {
		return err
	}
	after, err := r.entryUsage()
	if err != nil {
		return err
	}
	cpu := (after.CPU - before.CPU) / time.Duration(r.Requests)
	r.say("%s: direct p50 %d us, p99 %d us; through the entry p50 %d us, p99 %d us; entry processor time %v a request (%d requests, one at a time)",
		what, d.ValueAtQuantile(50), d.ValueAtQuantile(99), t.ValueAtQuantile(50), t.ValueAtQuantile(99), cpu, r.Requests)
	return nil
}

// stream reads a generation and counts its events. hold, if given, is called
// after the first event.
func (r *run) stream(ctx context.Context, url string, tokens int, hold func()) (int, error) {
	body, _ := json.Marshal(map[string]any{
		"model": "reports", "prompt": fmt.Sprintf("x [tokens=%d]", tokens), "max_tokens": tokens, "stream": true,
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, failure.Wrap(err, failure.KindInternal, "request")
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, failure.Wrap(err, failure.KindInternal, "request")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return 0, failure.New(failure.KindInternal, "status %d: %s", resp.StatusCode, text)
	}
	return readEvents(resp.Body, hold)
}

func readEvents(body io.Reader, hold func()) (events int, err error) {
	lines := bufio.NewReaderSize(body, 2<<10)
	for {
		line, err := lines.ReadString('\n')
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
			if events == 1 && hold != nil {
				hold()
			}
		}
	}
}

// together runs count streams at once and adds up their events.
func (r *run) together(ctx context.Context, count, tokens int, hold func()) (int, error) {
	url := "http://" + r.fleet.Hosts[0].ClientAddress + "/v1/completions"
	var mu sync.Mutex
	var wg sync.WaitGroup
	var total int
	var failed error
	for range count {
		wg.Add(1)
		go func() {
			defer wg.Done()
			n, err := r.stream(ctx, url, tokens, hold)
			mu.Lock()
			defer mu.Unlock()
			total += n
			if err != nil && failed == nil {
				failed = err
			}
		}()
	}
	wg.Wait()
	return total, failed
}

func (r *run) tokens(ctx context.Context) error {
	before, err := r.entryUsage()
	if err != nil {
		return err
	}
	begun := time.Now()
	events, err := r.together(ctx, r.Streams, r.Tokens, nil)
	if err != nil {
		return err
	}
	took := time.Since(begun)
	after, err := r.entryUsage()
	if err != nil {
		return err
	}
	cpu := after.CPU - before.CPU
	r.say("relay: %d streams of %d tokens in %v (%.0f events/s); entry processor time %.2f us an event: %.0f events/s on a core",
		r.Streams, r.Tokens, took.Round(time.Millisecond), float64(events)/took.Seconds(),
		float64(cpu.Microseconds())/float64(events), float64(events)/cpu.Seconds())
	return nil
}

// open holds many streams open and reads the entry's memory meanwhile.
func (r *run) open(ctx context.Context) error {
	before, err := r.entryUsage()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var begun sync.WaitGroup
	begun.Add(r.Open)
	done := make(chan error, 1)
	go func() {
		// Long enough to outlast the measurement; cancelled at its end.
		_, err := r.together(ctx, r.Open, 90_000, func() { begun.Done() })
		done <- err
	}()
	all := make(chan struct{})
	go func() { begun.Wait(); close(all) }()
	select {
	case <-all:
	case err := <-done:
		return err
	case <-time.After(openLimit):
		return failure.New(failure.KindDeadline, "%d streams did not begin within %v", r.Open, openLimit)
	}
	after, err := r.entryUsage()
	if err != nil {
		return err
	}
	if err := r.saveHeap(); err != nil {
		return err
	}
	if err := r.goFigures(); err != nil {
		return err
	}
	cancel()
	<-done
	each := float64(after.ResidentBytes-before.ResidentBytes) / float64(r.Open) / 1024
	r.say("open streams: %d at once; entry memory %.1f MB before, %.1f MB with them: %.1f KB a stream", r.Open, mb(before.ResidentBytes), mb(after.ResidentBytes), each)
	return nil
}

// goFigures says how Go's runtime divides the entry's memory.
func (r *run) goFigures() error {
	var all map[string]struct {
		Value float64 `json:"value"`
	}
	if err := r.fleet.GetJSON("http://"+r.fleet.Hosts[0].EntryAdminAddress+"/metrics", &all); err != nil {
		return err
	}
	of := func(name string) float64 { return all["runtime."+name].Value }
	r.say("entry's runtime: %.1f MB heap in use, %.1f MB stacks, %.0f goroutines",
		of("MemStats.HeapInuse")/(1<<20), of("MemStats.StackInuse")/(1<<20), of("NumGoroutine"))
	return nil
}

// saveHeap keeps the entry's heap profile, to see what a stream holds.
func (r *run) saveHeap() error {
	if r.Heap == "" {
		return nil
	}
	resp, err := r.client.Get("http://" + r.fleet.Hosts[0].EntryAdminAddress + "/debug/pprof/heap?gc=1")
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "heap profile")
	}
	defer func() { _ = resp.Body.Close() }()
	profile, err := io.ReadAll(resp.Body)
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "heap profile")
	}
	if err := os.WriteFile(r.Heap, profile, 0o600); err != nil {
		return failure.Wrap(err, failure.KindSettingInvalid, "--heap")
	}
	return nil
}

// openLimit bounds the time until all streams have begun.
const openLimit = 90 * time.Second
