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

// TrialSettings are the settings of filbert-load trial, a run against a
// deployment of real processes on the loopback interface. The deployment is
// started for the run and stopped after it.
type TrialSettings struct {
	RunSettings
	BinDir        string   `arg:"--bin-dir,env:FILBERT_LOAD_BIN_DIR" check:"text" default:"bin" help:"folder of the programs"`
	Hosts         int      `arg:"--hosts,env:FILBERT_LOAD_HOSTS" check:"1..32" default:"3" help:"entry hosts, over the data centres in turn"`
	Engines       int      `arg:"--engines,env:FILBERT_LOAD_ENGINES" check:"1..64" default:"4" help:"engines"`
	Apps          int      `arg:"--apps,env:FILBERT_LOAD_APPS" check:"1..16" default:"2" help:"plain services"`
	DataCentres   int      `arg:"--data-centres,env:FILBERT_LOAD_DATA_CENTRES" check:"1..8" default:"2" help:"data centres"`
	Accounts      int      `arg:"--accounts,env:FILBERT_LOAD_ACCOUNTS" check:"1..1000" default:"5" help:"client accounts, all of one weight"`
	EngineArgs    string   `arg:"--engine-args,env:FILBERT_LOAD_ENGINE_ARGS" help:"options of the engine stand-ins, in one string"`
	Faults        []string `arg:"--fault,separate,env:FILBERT_LOAD_FAULT" help:"TIME@NAME@ACTION, repeat it: a stand-in's fault as JSON, a mode of the platform as JSON, or kill or start of a target or of a host's control or entry"`
	CompareDirect bool     `arg:"--direct,env:FILBERT_LOAD_DIRECT" help:"first make the same load on the stand-ins without the system, and print the comparison (A direct, B through the system)"`
}

// scheduledFault is a fault to inject at a given time of the run.
type scheduledFault struct {
	at           time.Duration
	name, action string
}

func (s *TrialSettings) parseFaults() ([]scheduledFault, error) {
	var faults []scheduledFault
	for _, text := range s.Faults {
		parts := strings.SplitN(text, "@", 3)
		at, err := time.ParseDuration(parts[0])
		if len(parts) != 3 || err != nil {
			return nil, invalidSetting("--fault (FILBERT_LOAD_FAULT)", text, "TIME@NAME@ACTION, as 5s@engine-1@kill")
		}
		faults = append(faults, scheduledFault{at: at, name: parts[1], action: parts[2]})
	}
	slices.SortStableFunc(faults, func(a, b scheduledFault) int { return cmp.Compare(a.at, b.at) })
	return faults, nil
}

// fleetSpec returns the specification of the deployment to start.
func (s *TrialSettings) fleetSpec(profile Profile) fleet.Spec {
	spec := fleet.Spec{
		BinDir: s.BinDir, Hosts: s.assignDataCentres(s.Hosts), Engines: s.assignDataCentres(s.Engines), Apps: s.assignDataCentres(s.Apps),
		EngineArgs: strings.Fields(s.EngineArgs), Table: s.operatorTable(profile),
	}
	for _, k := range oneKindPerService(profile.Kinds) {
		if k.Type == CallTypeStream || k.Type == CallTypeWhole {
			spec.EngineServices = append(spec.EngineServices, k.Service)
		} else {
			spec.AppServices = append(spec.AppServices, k.Service)
		}
	}
	return spec
}

// oneKindPerService keeps one kind of call for each service. It prefers a
// streaming kind, because a service configured for whole answers refuses
// streams.
func oneKindPerService(kinds []CallKind) []CallKind {
	streamsFirst := slices.SortedStableFunc(slices.Values(kinds), func(a, b CallKind) int {
		return cmp.Compare(streamRank(a), streamRank(b))
	})
	var result []CallKind
	for _, k := range streamsFirst {
		if !slices.ContainsFunc(result, func(kept CallKind) bool { return kept.Service == k.Service }) {
			result = append(result, k)
		}
	}
	return result
}

func streamRank(k CallKind) int {
	if k.Type == CallTypeStream {
		return 0
	}
	return 1
}

// assignDataCentres assigns n hosts or targets to the data centres in turn and
// returns the data centre names.
func (s *TrialSettings) assignDataCentres(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = "dc-" + strconv.Itoa(i%s.DataCentres+1)
	}
	return names
}

func accountName(i int) string { return "account-" + strconv.Itoa(i+1) }

func accountAPIKey(i int) string { return "trial-key-" + strconv.Itoa(i+1) }

// Limits of the services in a trial. Callers wait at most half a minute for
// admission.
const (
	tableHeader     = "kind,name,weight,max_running,tokens_per_second,priority,key_sha256,services,type,delivery,max_tokens,max_wait_ms,queue_limit\n"
	trialMaxWaitMS  = 30_000
	trialQueueLimit = 10_000
)

// operatorTable returns the operators' table of the trial as CSV.
func (s *TrialSettings) operatorTable(profile Profile) string {
	var table strings.Builder
	table.WriteString(tableHeader)
	for i := range s.Accounts {
		fmt.Fprintf(&table, "account,%s,1,,,,%s,,,,,,\n", accountName(i), fleet.KeyDigest(accountAPIKey(i)))
	}
	for _, k := range oneKindPerService(profile.Kinds) {
		serviceType, delivery, maxTokens := "generation", "stream", strconv.Itoa(k.Output.Max)
		switch k.Type {
		case CallTypeWhole:
			delivery = "whole"
		case CallTypeLookup:
			serviceType, delivery, maxTokens = "lookup", "", ""
		case CallTypeOnce:
			serviceType, delivery, maxTokens = "once", "", ""
		}
		fmt.Fprintf(&table, "service,%s,,,,,,,%s,%s,%s,%d,%d\n", k.Service, serviceType, delivery, maxTokens, trialMaxWaitMS, trialQueueLimit)
	}
	return table.String()
}

// prepare validates the settings before any process starts and returns the
// configuration of the run.
func (s *TrialSettings) prepare() (Config, []scheduledFault, error) {
	if len(s.Entries)+len(s.DirectEngines)+len(s.DirectApps)+len(s.APIKeys) > 0 {
		return Config{}, nil, invalidSetting("--entry, --direct-engine, --direct-app, --api-key", "given", "none in a trial, which makes its own")
	}
	faults, err := s.parseFaults()
	if err != nil {
		return Config{}, nil, err
	}
	s.Entries = []string{"127.0.0.1:0"}
	for i := range s.Accounts {
		s.APIKeys = append(s.APIKeys, accountName(i)+"="+accountAPIKey(i))
	}
	cfg, err := s.config()
	return cfg, faults, err
}

// runTrial generates load on a temporary deployment.
func runTrial(args []string, out, errOut io.Writer) (int, error) {
	s := &TrialSettings{}
	if err := settings.Parse(program+" trial", usage, s, args, out); err != nil {
		return 0, err
	}
	cfg, faults, err := s.prepare()
	if err != nil {
		return 0, err
	}
	cfg.ProgressOutput = errOut
	ctx, stop := signalContext()
	defer stop()
	var direct *Result
	if s.CompareDirect {
		if direct, err = s.runOnFleet(ctx, cfg, true, nil, errOut); err != nil {
			return 0, err
		}
	}
	result, err := s.runOnFleet(ctx, cfg, false, faults, errOut)
	if err != nil {
		return 0, err
	}
	if direct != nil {
		if err := WriteComparison(errOut, direct, result); err != nil {
			return 0, err
		}
	}
	return writeResult(s.OutputFile, out, errOut, result)
}

// runOnFleet starts a deployment for one run and stops it afterwards. A direct
// run bypasses the entries.
func (s *TrialSettings) runOnFleet(ctx context.Context, cfg Config, direct bool, faults []scheduledFault, log io.Writer) (*Result, error) {
	f, err := fleet.Start(ctx, s.fleetSpec(cfg.Profile))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	cfg.Client.Entries = addresses(f.Hosts, func(h *fleet.Host) string { return h.ClientAddress })
	if direct {
		cfg = directConfig(cfg, f)
	}
	result := runWithFaults(ctx, cfg, f, faults, log)
	result.Targets = collectTargetCounts(f)
	return result, nil
}

func addresses[T any](list []T, address func(T) string) []string {
	result := make([]string, len(list))
	for i, element := range list {
		result[i] = address(element)
	}
	return result
}

// directConfig returns the configuration of a run that calls the stand-ins
// directly.
func directConfig(cfg Config, f *fleet.Fleet) Config {
	address := func(t *fleet.Target) string { return t.Address }
	cfg.Client.Entries = nil
	cfg.Client.DirectEngines = addresses(f.Engines, address)
	cfg.Client.DirectApps = addresses(f.Apps, address)
	return cfg
}

// runWithFaults performs the run and injects the scheduled faults during it, one
// after the other.
func runWithFaults(ctx context.Context, cfg Config, f *fleet.Fleet, faults []scheduledFault, log io.Writer) *Result {
	faultsCtx, cancelFaults := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancelFaults()
	start := time.Now()
	wg.Go(func() {
		for _, fault := range faults {
			select {
			case <-time.After(time.Until(start.Add(fault.at))):
			case <-faultsCtx.Done():
				return
			}
			_, _ = fmt.Fprintf(log, "%6.1fs fault %s %s: %s\n", time.Since(start).Seconds(), fault.name, fault.action, faultResult(injectFault(f, fault)))
		}
	})
	return Run(ctx, cfg)
}

// collectTargetCounts reads the counters of the stand-ins.
func collectTargetCounts(f *fleet.Fleet) *TargetCounts {
	counts := &TargetCounts{ByEngine: map[string]model.Stats{}}
	for _, t := range f.Engines {
		var stats model.Stats
		counts.countUnreachable(f.GetJSON("http://"+t.Address+"/admin/stats", &stats))
		counts.Engines = counts.Engines.Plus(stats)
		counts.ByEngine[t.Name] = stats
	}
	for _, t := range f.Apps {
		var executions app.Executions
		counts.countUnreachable(f.GetJSON("http://"+t.Address+"/admin/executions", &executions))
		counts.Calls += executions.Total
		for _, n := range executions.ByKey {
			if n > 1 {
				counts.RanTwice++
			}
		}
	}
	return counts
}

func (c *TargetCounts) countUnreachable(err error) {
	if err != nil {
		c.Unreachable++
	}
}

func faultResult(err error) string {
	if err != nil {
		return err.Error()
	}
	return "done"
}

// injectFault applies a fault to the platform, a target or a process.
func injectFault(f *fleet.Fleet, fault scheduledFault) error {
	if fault.name == "platform" {
		return f.SetPlatformMode(fault.action)
	}
	for _, t := range append(append([]*fleet.Target{}, f.Engines...), f.Apps...) {
		if t.Name == fault.name {
			return injectTargetFault(f, t, fault.action)
		}
	}
	for _, h := range f.Hosts {
		switch fault.name {
		case h.Name + "-entry":
			return applyProcessAction(h.EntryProcess, fault.action, func() error { return f.StartEntry(h) })
		case h.Name + "-control":
			return applyProcessAction(h.ControlProcess, fault.action, func() error { return f.StartControl(h) })
		}
	}
	return failure.New(failure.KindNotFound, "no target or process is named %q", fault.name)
}

func injectTargetFault(f *fleet.Fleet, t *fleet.Target, action string) error {
	if strings.HasPrefix(action, "{") {
		return f.SetFault(t, action)
	}
	return applyProcessAction(t.Process, action, func() error { return f.RestartTarget(t) })
}

// processSignals maps actions to the signals that they send to a process.
var processSignals = map[string]os.Signal{
	"kill": syscall.SIGKILL, "stop": syscall.SIGTERM, "pause": syscall.SIGSTOP, "resume": syscall.SIGCONT,
}

func applyProcessAction(p *fleet.Process, action string, start func() error) error {
	if action == "start" {
		return start()
	}
	signal, ok := processSignals[action]
	if !ok {
		return failure.New(failure.KindBadRequest, "action %q is none of kill, stop, pause, resume, start", action)
	}
	p.Signal(signal)
	return nil
}
