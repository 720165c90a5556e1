package loadgen

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/fleet"
	"filbertdeck/internal/settings"
	"filbertdeck/internal/standin/app"
	"filbertdeck/internal/standin/model"
)

// TrialSettings are those of filbert-load trial: a run against a deployment of
// real processes on the loopback, started for it and ended with it.
type TrialSettings struct {
	RunSettings
	BinDir     string   `arg:"--bin-dir,env:FILBERT_LOAD_BIN_DIR" check:"text" default:"bin" help:"folder of the programs"`
	Hosts      int      `arg:"--hosts,env:FILBERT_LOAD_HOSTS" check:"1..32" default:"3" help:"entry hosts, over the data centres in turn"`
	Engines    int      `arg:"--engines,env:FILBERT_LOAD_ENGINES" check:"1..64" default:"4" help:"engines"`
	Apps       int      `arg:"--apps,env:FILBERT_LOAD_APPS" check:"1..16" default:"2" help:"plain services"`
	Centres    int      `arg:"--data-centres,env:FILBERT_LOAD_DATA_CENTRES" check:"1..8" default:"2" help:"data centres"`
	Accounts   int      `arg:"--accounts,env:FILBERT_LOAD_ACCOUNTS" check:"1..1000" default:"5" help:"client accounts, all of one weight"`
	EngineArgs string   `arg:"--engine-args,env:FILBERT_LOAD_ENGINE_ARGS" help:"options of the engine stand-ins, in one string"`
	Faults     []string `arg:"--fault,separate,env:FILBERT_LOAD_FAULT" help:"TIME@NAME@ACTION, repeat it: a stand-in's fault as JSON, a mode of the platform as JSON, or kill or start of a target or of a host's control or entry"`
	Direct     bool     `arg:"--direct,env:FILBERT_LOAD_DIRECT" help:"first make the same load on the stand-ins without the system, and print the comparison (A direct, B through the system)"`
}

// disturbance is one fault to bring about at a time of the run.
type disturbance struct {
	at           time.Duration
	name, action string
}

func (s *TrialSettings) disturbances() ([]disturbance, error) {
	var list []disturbance
	for _, text := range s.Faults {
		parts := strings.SplitN(text, "@", 3)
		at, err := time.ParseDuration(parts[0])
		if len(parts) != 3 || err != nil {
			return nil, invalid("--fault (FILBERT_LOAD_FAULT)", text, "TIME@NAME@ACTION, as 5s@engine-1@kill")
		}
		list = append(list, disturbance{at: at, name: parts[1], action: parts[2]})
	}
	slices.SortStableFunc(list, func(a, b disturbance) int { return cmp.Compare(a.at, b.at) })
	return list, nil
}

// spec describes the deployment that the settings ask for.
func (s *TrialSettings) spec(p Profile) fleet.Spec {
	spec := fleet.Spec{
		BinDir: s.BinDir, Hosts: s.spread(s.Hosts), Engines: s.spread(s.Engines), Apps: s.spread(s.Apps),
		EngineArgs: strings.Fields(s.EngineArgs), Table: s.table(p),
	}
	for _, k := range distinct(p.Kinds) {
		if k.Type == TypeStream || k.Type == TypeWhole {
			spec.EngineServices = append(spec.EngineServices, k.Service)
		} else {
			spec.AppServices = append(spec.AppServices, k.Service)
		}
	}
	return spec
}

// distinct leaves one kind of each service, a streaming one if there is any: a
// service that delivers whole answers refuses to stream.
func distinct(kinds []Kind) []Kind {
	streamsFirst := slices.SortedStableFunc(slices.Values(kinds), func(a, b Kind) int {
		return cmp.Compare(rank(a), rank(b))
	})
	var out []Kind
	for _, k := range streamsFirst {
		if !slices.ContainsFunc(out, func(o Kind) bool { return o.Service == k.Service }) {
			out = append(out, k)
		}
	}
	return out
}

func rank(k Kind) int {
	if k.Type == TypeStream {
		return 0
	}
	return 1
}

// spread names the data centres of n hosts or targets.
func (s *TrialSettings) spread(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = "dc-" + strconv.Itoa(i%s.Centres+1)
	}
	return out
}

func accountName(i int) string { return "account-" + strconv.Itoa(i+1) }

func accountKey(i int) string { return "trial-key-" + strconv.Itoa(i+1) }

// The services' bounds in a trial: callers wait half a minute at most.
const (
	tableHeader = "kind,name,weight,max_running,tokens_per_second,priority,key_sha256,services,type,delivery,max_tokens,max_wait_ms,queue_limit\n"
	trialWaitMS = 30_000
	trialQueue  = 10_000
)

// table gives the operators' table of the trial.
func (s *TrialSettings) table(p Profile) string {
	var t strings.Builder
	t.WriteString(tableHeader)
	for i := range s.Accounts {
		fmt.Fprintf(&t, "account,%s,1,,,,%s,,,,,,\n", accountName(i), fleet.KeyDigest(accountKey(i)))
	}
	for _, k := range distinct(p.Kinds) {
		kind, delivery, tokens := "generation", "stream", strconv.Itoa(k.Output.Max)
		switch k.Type {
		case TypeWhole:
			delivery = "whole"
		case TypeLookup:
			kind, delivery, tokens = "lookup", "", ""
		case TypeOnce:
			kind, delivery, tokens = "once", "", ""
		}
		fmt.Fprintf(&t, "service,%s,,,,,,,%s,%s,%s,%d,%d\n", k.Service, kind, delivery, tokens, trialWaitMS, trialQueue)
	}
	return t.String()
}

// prepare checks the settings before anything starts.
func (s *TrialSettings) prepare() (Config, []disturbance, error) {
	if len(s.Entries)+len(s.DirectEngines)+len(s.DirectApps)+len(s.APIKeys) > 0 {
		return Config{}, nil, invalid("--entry, --direct-engine, --direct-app, --api-key", "given", "none in a trial, which makes its own")
	}
	faults, err := s.disturbances()
	if err != nil {
		return Config{}, nil, err
	}
	s.Entries = []string{"127.0.0.1:0"}
	for i := range s.Accounts {
		s.APIKeys = append(s.APIKeys, accountName(i)+"="+accountKey(i))
	}
	cfg, err := s.config()
	return cfg, faults, err
}

// trial makes a load on a deployment of its own.
func trial(args []string, out, errOut io.Writer) (int, error) {
	s := &TrialSettings{}
	if err := settings.Parse(program+" trial", usage, s, args, out); err != nil {
		return 0, err
	}
	cfg, faults, err := s.prepare()
	if err != nil {
		return 0, err
	}
	cfg.Progress = errOut
	ctx, stop := untilTold()
	defer stop()
	var direct *Result
	if s.Direct {
		if direct, err = s.deployed(ctx, cfg, true, nil, errOut); err != nil {
			return 0, err
		}
	}
	result, err := s.deployed(ctx, cfg, false, faults, errOut)
	if err != nil {
		return 0, err
	}
	if direct != nil {
		if err := Compare(errOut, direct, result); err != nil {
			return 0, err
		}
	}
	return finish(s.Out, out, errOut, result)
}

// deployed starts a deployment of its own for one run, and ends it. A direct
// run leaves its entries aside.
func (s *TrialSettings) deployed(ctx context.Context, cfg Config, direct bool, faults []disturbance, log io.Writer) (*Result, error) {
	f, err := fleet.Start(ctx, s.spec(cfg.Profile))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	cfg.Target.Entries = addresses(f.Hosts, func(h *fleet.Host) string { return h.ClientAddress })
	if direct {
		cfg = directly(cfg, f)
	}
	result := disturbed(ctx, cfg, f, faults, log)
	result.Targets = count(f)
	return result, nil
}

func addresses[T any](list []T, address func(T) string) []string {
	out := make([]string, len(list))
	for i, x := range list {
		out[i] = address(x)
	}
	return out
}

// directly gives the run that leaves the system out.
func directly(cfg Config, f *fleet.Fleet) Config {
	address := func(t *fleet.Target) string { return t.Address }
	cfg.Target.Entries = nil
	cfg.Target.DirectEngines = addresses(f.Engines, address)
	cfg.Target.DirectApps = addresses(f.Apps, address)
	return cfg
}

// disturbed makes the run and, meanwhile, its faults, one after the other.
func disturbed(ctx context.Context, cfg Config, f *fleet.Fleet, faults []disturbance, log io.Writer) *Result {
	ended, end := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer end()
	start := time.Now()
	wg.Go(func() {
		for _, d := range faults {
			select {
			case <-time.After(time.Until(start.Add(d.at))):
			case <-ended.Done():
				return
			}
			_, _ = fmt.Fprintf(log, "%6.1fs fault %s %s: %s\n", time.Since(start).Seconds(), d.name, d.action, told(bring(f, d)))
		}
	})
	return Run(ctx, cfg)
}

// count asks the stand-ins what they did.
func count(f *fleet.Fleet) *TargetCounts {
	c := &TargetCounts{ByEngine: map[string]model.Stats{}}
	for _, t := range f.Engines {
		var stats model.Stats
		c.reached(f.GetJSON("http://"+t.Address+"/admin/stats", &stats))
		c.Engines = c.Engines.Plus(stats)
		c.ByEngine[t.Name] = stats
	}
	for _, t := range f.Apps {
		var ran app.Executions
		c.reached(f.GetJSON("http://"+t.Address+"/admin/executions", &ran))
		c.Calls += ran.Total
		for _, n := range ran.ByKey {
			if n > 1 {
				c.RanTwice++
			}
		}
	}
	return c
}

func (c *TargetCounts) reached(err error) {
	if err != nil {
		c.Unreachable++
	}
}

func told(err error) string {
	if err != nil {
		return err.Error()
	}
	return "done"
}

// bring brings a fault about.
func bring(f *fleet.Fleet, d disturbance) error {
	if d.name == "platform" {
		return f.SetPlatformMode(d.action)
	}
	for _, t := range append(append([]*fleet.Target{}, f.Engines...), f.Apps...) {
		if t.Name == d.name {
			return disturbTarget(f, t, d.action)
		}
	}
	for _, h := range f.Hosts {
		switch d.name {
		case h.Name + "-entry":
			return disturbProcess(h.EntryProcess, d.action, func() error { return f.StartEntry(h) })
		case h.Name + "-control":
			return disturbProcess(h.ControlProcess, d.action, func() error { return f.StartControl(h) })
		}
	}
	return failure.New(failure.KindNotFound, "no target or process is named %q", d.name)
}

func disturbTarget(f *fleet.Fleet, t *fleet.Target, action string) error {
	if strings.HasPrefix(action, "{") {
		return f.SetFault(t, action)
	}
	return disturbProcess(t.Process, action, func() error { return f.RestartTarget(t) })
}

// signals are the actions that are one signal to a process.
var signals = map[string]os.Signal{
	"kill": syscall.SIGKILL, "stop": syscall.SIGTERM, "pause": syscall.SIGSTOP, "resume": syscall.SIGCONT,
}

func disturbProcess(p *fleet.Process, action string, start func() error) error {
	if action == "start" {
		return start()
	}
	s, known := signals[action]
	if !known {
		return failure.New(failure.KindBadRequest, "action %q is none of kill, stop, pause, resume, start", action)
	}
	p.Signal(s)
	return nil
}
