package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"filbertdeck/internal/accounting"
	"filbertdeck/internal/burn"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/fleet"
)

// The demo's deployment: two data centres, three hosts, four engines, one
// plain stand-in.
var spec = fleet.Spec{
	Hosts:          []string{"north", "north", "south"},
	Engines:        []string{"north", "north", "south", "south"},
	Apps:           []string{"north"},
	EngineServices: []string{"reports", "summaries"},
	AppServices:    []string{"sites", "orders"},
	EngineArgs:     []string{"--base-step", "4ms", "--per-sequence", "50us"},
}

// The demo's client accounts and their keys.
const (
	villageKey = "demo-key-village"
	clinicKey  = "demo-key-clinic"
	village    = "village-school"
	clinic     = "district-clinic"
)

// tableText gives the operators' table; weight is the village's.
func tableText(weight int) string {
	header := "kind,name,weight,max_running,tokens_per_second,priority,key_sha256,services,type,delivery,max_tokens,max_wait_ms,queue_limit\n"
	account := "account,%s,%d,,,,%s,,,,,,\n"
	return header +
		fmt.Sprintf(account, village, weight, fleet.Digest(villageKey)) +
		fmt.Sprintf(account, clinic, 1, fleet.Digest(clinicKey)) +
		"service,reports,,,,,,,generation,stream,20000,30000,200\n" +
		"service,summaries,,,,,,,generation,whole,4000,30000,200\n" +
		"service,sites,,,,,,,lookup,,,5000,500\n" +
		"service,orders,,,,,,,once,,,5000,500\n"
}

// demo is one run.
type demo struct {
	out     io.Writer
	fleet   *fleet.Fleet
	village *client
	clinic  *client
}

// Run starts the deployment, shows each step and ends every process. binDir
// holds the programs.
func Run(ctx context.Context, binDir string, out io.Writer) error {
	s := spec
	s.BinDir, s.Table = binDir, tableText(1)
	begun := time.Now()
	f, err := fleet.Start(ctx, s)
	if err != nil {
		return err
	}
	defer f.Close()
	d := &demo{out: out, fleet: f, village: newClient(villageKey), clinic: newClient(clinicKey)}
	d.say("started %d hosts, %d engines, 1 plain service, 1 configuration service in %v",
		len(f.Hosts), len(f.Engines), time.Since(begun).Round(time.Millisecond))
	return d.steps(ctx)
}

func (d *demo) say(format string, args ...any) { fmt.Fprintf(d.out, format+"\n", args...) }

func (d *demo) steps(ctx context.Context) error {
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"a long report, streamed", d.report},
		{"a summary, whole", d.summary},
		{"a site lookup", d.lookup},
		{"a work order, sent twice through two entries", d.order},
		{"an edit of the table", d.edit},
		{"a data centre taken out and brought back", d.drain},
		{"what each account got", d.accounts},
		{"what the monitor sees", d.monitor},
	}
	for i, step := range steps {
		d.say("\n%d. %s", i+1, step.name)
		if err := step.run(ctx); err != nil {
			return failure.Wrap(err, failure.KindOf(err), "step %q failed", step.name)
		}
	}
	return nil
}

type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (d *demo) url(host int, path string) string {
	return "http://" + d.fleet.Hosts[host].Callers + path
}

func (d *demo) report(ctx context.Context) error {
	const length = 600
	body := completion{Model: "reports", Prompt: "Diagnose dish 7: no carrier since dawn. [tokens=600]", MaxTokens: 2000, Stream: true}
	s, err := d.village.stream(ctx, d.url(0, "/v1/completions"), body, nil)
	if err != nil {
		return err
	}
	if s.tokens != length {
		return failure.New(failure.KindInternal, "%d of %d tokens came", s.tokens, length)
	}
	d.say("   %d tokens, each once and in order, from generation %s; the first after %v",
		s.tokens, s.generation, s.firstAfter.Round(time.Millisecond))
	d.say("   it begins: %.60s...", s.text.String())
	return nil
}

func (d *demo) summary(ctx context.Context) error {
	body := completion{Model: "summaries", Prompt: "Summarise the lease of the hilltop site. [tokens=120]", MaxTokens: 400}
	r, err := d.clinic.call(ctx, http.MethodPost, d.url(1, "/v1/completions"), nil, body)
	if err != nil {
		return err
	}
	var answer struct {
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(r.body, &answer); err != nil || answer.Usage.CompletionTokens != 120 {
		return failure.New(failure.KindInternal, "the summary is not whole: status %d, %s", r.status, r.body)
	}
	d.say("   %d tokens in one answer", answer.Usage.CompletionTokens)
	return nil
}

func (d *demo) lookup(ctx context.Context) error {
	begun := time.Now()
	r, err := d.village.call(ctx, http.MethodGet, d.url(2, "/v1/services/sites/v2/site?id=7"), nil, nil)
	if err != nil {
		return err
	}
	if r.status != http.StatusOK {
		return failure.New(failure.KindInternal, "status %d: %s", r.status, r.body)
	}
	d.say("   status %d in %v: %s", r.status, time.Since(begun).Round(100*time.Microsecond), strings.TrimSpace(string(r.body)))
	return nil
}

func (d *demo) order(ctx context.Context) error {
	minted, err := d.village.call(ctx, http.MethodPost, d.url(0, "/v1/idempotency-keys"), nil, nil)
	if err != nil {
		return err
	}
	var key struct {
		Key string `json:"key"`
	}
	if err := json.Unmarshal(minted.body, &key); err != nil || key.Key == "" {
		return failure.New(failure.KindInternal, "no key was minted: %s", minted.body)
	}
	header := http.Header{"Idempotency-Key": {key.Key}}
	order := map[string]string{"crew": "2", "site": "7"}
	for _, host := range []int{0, 2} {
		r, err := d.village.call(ctx, http.MethodPost, d.url(host, "/v1/services/orders/book"), header, order)
		if err != nil {
			return err
		}
		d.say("   through %s: status %d, replayed %q", d.fleet.Hosts[host].Name, r.status, r.header.Get("Filbert-Replayed"))
		if r.status != http.StatusOK {
			return failure.New(failure.KindInternal, "the order was not booked: %s", r.body)
		}
	}
	return d.ranOnce()
}

func (d *demo) ranOnce() error {
	var executions struct {
		Total int            `json:"total"`
		ByKey map[string]int `json:"by_key"`
	}
	if err := d.fleet.GetJSON("http://"+d.fleet.Apps[0].Address+"/admin/executions", &executions); err != nil {
		return err
	}
	for _, n := range executions.ByKey {
		if n != 1 {
			return failure.New(failure.KindInternal, "an order ran %d times", n)
		}
	}
	if len(executions.ByKey) != 1 {
		return failure.New(failure.KindInternal, "%d orders were booked", len(executions.ByKey))
	}
	d.say("   the plain service ran it once")
	return nil
}

// inForceLimit bounds the wait for an edit; the aim is two seconds.
const inForceLimit = 10 * time.Second

func (d *demo) edit(ctx context.Context) error {
	begun := time.Now()
	if err := d.fleet.Put("table/0001", tableText(3)); err != nil {
		return err
	}
	for _, h := range d.fleet.Hosts {
		took, err := d.waitState(ctx, h, begun, func(s entryState) bool { return s.Weights[village] == 3 })
		if err != nil {
			return err
		}
		d.say("   in force at %s after %v", h.Name, took.Round(time.Millisecond))
	}
	return nil
}

// entryState is what an entry says of its view.
type entryState struct {
	Weights map[string]float64 `json:"weights"`
	Drained []string           `json:"drained"`
	Pools   []string           `json:"pools"`
}

func (d *demo) waitState(ctx context.Context, h *fleet.Host, begun time.Time, ok func(entryState) bool) (time.Duration, error) {
	for time.Since(begun) < inForceLimit && ctx.Err() == nil {
		var s entryState
		if err := d.fleet.GetJSON("http://"+h.EntryAdmin+"/state", &s); err == nil && ok(s) {
			return time.Since(begun), nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return 0, failure.New(failure.KindDeadline, "%s did not take it within %v", h.Name, inForceLimit)
}

func (d *demo) drain(ctx context.Context) error {
	long := make(chan error, 1)
	started := make(chan struct{})
	go func() {
		body := completion{Model: "reports", Prompt: "Survey the south. [tokens=900]", MaxTokens: 2000, Stream: true}
		first := true
		s, err := d.clinic.stream(ctx, d.url(2, "/v1/completions"), body, func(int) {
			if first {
				close(started)
				first = false
			}
		})
		if err == nil && s.tokens != 900 {
			err = failure.New(failure.KindInternal, "%d of 900 tokens came", s.tokens)
		}
		long <- err
	}()
	select {
	case <-started:
	case err := <-long:
		return err
	}
	if err := d.takeOut(ctx); err != nil {
		return err
	}
	if err := <-long; err != nil {
		return err
	}
	d.say("   the report that ran there meanwhile arrived whole")
	return d.bringBack(ctx)
}

func (d *demo) takeOut(ctx context.Context) error {
	begun := time.Now()
	if err := d.fleet.Put("drain", "south\n"); err != nil {
		return err
	}
	for _, h := range d.fleet.Hosts {
		if _, err := d.waitState(ctx, h, begun, func(s entryState) bool { return len(s.Drained) == 1 && !anySouth(s.Pools) }); err != nil {
			return err
		}
	}
	d.say("   south takes no new work after %v", time.Since(begun).Round(time.Millisecond))
	before, err := d.started("south")
	if err != nil {
		return err
	}
	for range 6 {
		body := completion{Model: "summaries", Prompt: "While south is out. [tokens=20]", MaxTokens: 50}
		r, err := d.village.call(ctx, http.MethodPost, d.url(2, "/v1/completions"), nil, body)
		if err != nil || r.status != http.StatusOK {
			return failure.New(failure.KindInternal, "a summary failed while south was out: %s", r.body)
		}
	}
	after, err := d.started("south")
	if err != nil {
		return err
	}
	if after != before {
		return failure.New(failure.KindInternal, "%d generations began in south while it was out", after-before)
	}
	d.say("   6 summaries were served meanwhile, none in south")
	return nil
}

func anySouth(pools []string) bool {
	for _, p := range pools {
		if strings.Contains(p, "/south/") {
			return true
		}
	}
	return false
}

// started counts the generations that the engines of a data centre began.
func (d *demo) started(centre string) (int, error) {
	total := 0
	for _, e := range d.fleet.Engines {
		if e.DataCentre != centre {
			continue
		}
		var records []json.RawMessage
		if err := d.fleet.GetJSON("http://"+e.Address+"/admin/records", &records); err != nil {
			return 0, err
		}
		total += len(records)
	}
	return total, nil
}

func (d *demo) bringBack(ctx context.Context) error {
	begun := time.Now()
	if err := d.fleet.Put("drain", ""); err != nil {
		return err
	}
	for _, h := range d.fleet.Hosts {
		if _, err := d.waitState(ctx, h, begun, func(s entryState) bool { return len(s.Drained) == 0 && anySouth(s.Pools) }); err != nil {
			return err
		}
	}
	d.say("   south is back after %v", time.Since(begun).Round(time.Millisecond))
	return nil
}

func (d *demo) accounts(context.Context) error {
	d.say("   %-16s %-10s %8s %8s %8s %8s %8s", "account", "service", "received", "refused", "ran", "unknown", "tokens")
	totals := map[string]*accounting.Line{}
	var order []string
	for _, h := range d.fleet.Hosts {
		var s accounting.Snapshot
		if err := d.fleet.GetJSON("http://"+h.EntryAdmin+"/accounting", &s); err != nil {
			return err
		}
		if s.Unbalanced != 0 {
			return failure.New(failure.KindInternal, "the accounting of %s does not balance", h.Name)
		}
		for _, l := range s.Lines {
			key := l.Account + " " + l.Service
			if totals[key] == nil {
				totals[key] = &accounting.Line{Account: l.Account, Service: l.Service}
				order = append(order, key)
			}
			t := totals[key]
			t.Received += l.Received
			t.Refused += l.Refused
			t.Ran += l.Ran
			t.Unknown += l.Unknown
			t.OutputTokens += l.OutputTokens
		}
	}
	for _, key := range order {
		t := totals[key]
		d.say("   %-16s %-10s %8d %8d %8d %8d %8d", t.Account, t.Service, t.Received, t.Refused, t.Ran, t.Unknown, t.OutputTokens)
	}
	d.say("   received = refused + ran + unknown on every host")
	return nil
}

// monitorLag is how long the counters of an entry take to its control process.
const monitorLag = 1200 * time.Millisecond

func (d *demo) monitor(ctx context.Context) error {
	time.Sleep(monitorLag)
	c := &burn.Collector{Key: fleet.MonitorKey, Scheme: "http", Client: d.village.http}
	for _, h := range d.fleet.Hosts {
		c.Controls = append(c.Controls, h.ControlAdmin)
	}
	r := burn.Build([]burn.Sample{c.Collect(ctx)}, nil)
	for _, p := range r.Promises {
		d.say("   %-75s %s", p.Text, p.Verdict)
	}
	if !r.Complete() || r.Breach() {
		return failure.New(failure.KindInternal, "the report shows a breach, or a host could not be read")
	}
	return nil
}
