package slopes

import (
	"context"
	"fmt"
	"slices"
	"time"

	"filbertdeck/internal/configservice"
	"filbertdeck/internal/fleet"
)

// ProcessMeasurement configures the measurements with real processes.
type ProcessMeasurement struct {
	BinDir string
	// MeasurementDuration is the duration of each measurement.
	MeasurementDuration time.Duration
	// EditsPerSecond is the rate at which one row is edited during the second
	// measurement of a point.
	EditsPerSecond int
}

// The time for processes to settle after a change, before the measurement. A plan
// of pools takes seconds of processor time at full scale, and two plans follow
// each other because the host and target lists are published one by one.
const (
	settleTime          = 4 * time.Second
	settleTimePerTarget = 3 * time.Millisecond
)

// Point is one deployment size at which processes are measured.
type Point struct {
	Name string
	// Hosts is the number of running hosts, with two processes each; Accounts is
	// the number of accounts in the table; PolledTargets is the number of targets
	// that respond. UnreachableHosts and UnreachableTargets are published, but
	// nothing listens on their addresses.
	Hosts, Accounts, PolledTargets, UnreachableHosts, UnreachableTargets int
}

// Points are the measured sizes. They vary one size at a time; in the last one
// everything that is published has its full-scale size.
var Points = []Point{
	{"accounts", 1, 10, 4, 0, 0}, {"accounts", 1, 100, 4, 0, 0}, {"accounts", 1, 1000, 4, 0, 0}, {"accounts", 1, FullScaleAccounts, 4, 0, 0},
	{"targets", 1, 10, 10, 0, 0}, {"targets", 1, 10, 100, 0, 0}, {"targets", 1, 10, 1000, 0, 0},
	{"fleet", 8, 10, 4, 0, 0}, {"fleet", 32, 10, 4, 0, 0}, {"fleet", 64, 10, 4, 0, 0},
	{"published", 1, 10, 4, 330, 1000}, {"all", 1, FullScaleAccounts, 4, FullScaleHosts - 1, FullScaleTargets - 4},
}

// Run measures the processes at the named points, or at all points if names is
// empty: first without changes, then while one row is edited.
func (p ProcessMeasurement) Run(ctx context.Context, printer Printer, names []string) error {
	for _, point := range Points {
		if len(names) > 0 && !slices.Contains(names, point.Name) {
			continue
		}
		if err := p.measurePoint(ctx, printer, point); err != nil {
			return err
		}
	}
	return nil
}

func (p ProcessMeasurement) measurePoint(ctx context.Context, printer Printer, point Point) error {
	hosts := make([]string, point.Hosts)
	for i := range hosts {
		hosts[i] = dataCentreName(0)
	}
	f, err := fleet.Start(ctx, fleet.Spec{
		BinDir: p.BinDir, Table: string(tablePages(1, 0)[0]), Hosts: hosts,
		Engines: hosts[:1], EngineServices: []string{serviceName},
	})
	if err != nil {
		return err
	}
	defer f.Close()
	targets, err := startFakeTargets(point.PolledTargets)
	if err != nil {
		return err
	}
	defer targets.close()
	if err := publish(f, point, targets.targets); err != nil {
		return err
	}
	time.Sleep(settleTime + time.Duration(point.UnreachableTargets)*settleTimePerTarget)
	idle, err := measureUse(f, targets, func() error { time.Sleep(p.MeasurementDuration); return nil })
	if err != nil {
		return err
	}
	edits := int(p.MeasurementDuration.Seconds()) * p.EditsPerSecond
	busy, err := measureUse(f, targets, func() error { return applyEdits(f, point, edits, p.EditsPerSecond) })
	if err != nil {
		return err
	}
	printer.printPoint(point, edits, idle, busy)
	return nil
}

// printPoint prints the average resource use of a host.
func (printer Printer) printPoint(point Point, edits int, idle, busy resourceUse) {
	hosts, idleSeconds := float64(point.Hosts), idle.duration.Seconds()
	printer.printLine("%s: %d hosts run, %d accounts, %d targets polled, %d hosts and %d targets published",
		point.Name, point.Hosts, point.Accounts, point.PolledTargets, point.UnreachableHosts+point.Hosts, point.UnreachableTargets+point.PolledTargets)
	printer.printLine("  unchanged: control %.2f%% of a core, %.1f MB resident, %.1f MB heap; entry %.2f%%, %.1f MB resident",
		percentOfCore(idle.control.CPU, idle.duration)/hosts, megabytes(idle.control.ResidentBytes)/hosts, idle.counters["runtime.MemStats.HeapAlloc"]/hosts/(1<<20),
		percentOfCore(idle.entry.CPU, idle.duration)/hosts, megabytes(idle.entry.ResidentBytes)/hosts)
	printer.printLine("  gossip %.0f bytes/s a host, sent and received; configuration %.1f calls/s in all; %.1f polls/s in all, %.0f payload bytes and %.1f segments a poll",
		(idle.counters["gossip.bytes_sent"]+idle.counters["gossip.bytes_received"])/hosts/idleSeconds, idle.counters["configwatch.calls"]/idleSeconds,
		idle.polls/idleSeconds, idle.payload/max(idle.polls, 1), idle.segments/max(idle.polls, 1))
	extraMillis := func(busy, idle time.Duration, seconds float64) float64 {
		return 1000 * (busy.Seconds() - idle.Seconds()*seconds/idleSeconds) / float64(edits) / hosts
	}
	busySeconds := busy.duration.Seconds()
	printer.printLine("  %d edits in %.1fs: control %.2f ms and entry %.2f ms processor time per edit and host above that (control %.1f%% of a core); %.1f and %.1f MB resident; gossip %.0f bytes/s a host",
		edits, busySeconds, extraMillis(busy.control.CPU, idle.control.CPU, busySeconds), extraMillis(busy.entry.CPU, idle.entry.CPU, busySeconds), percentOfCore(busy.control.CPU, busy.duration)/hosts,
		megabytes(busy.control.ResidentBytes)/hosts, megabytes(busy.entry.ResidentBytes)/hosts,
		(busy.counters["gossip.bytes_sent"]+busy.counters["gossip.bytes_received"])/hosts/busySeconds)
}

func publish(f *fleet.Fleet, point Point, polled []configservice.Target) error {
	hosts := hostList(point.UnreachableHosts)
	for _, h := range f.Hosts {
		hosts = append(hosts, configservice.Host{
			Name: h.Name, DataCentre: h.DataCentre, Entry: h.PeerAddress, Control: h.ControlAddress, State: configservice.StateLive,
		})
	}
	if err := f.PutValue(configservice.KeyHosts, toJSON(hostsDocument{2, hosts})); err != nil {
		return err
	}
	targets := append(targetList(point.UnreachableTargets), polled...)
	if err := f.PutValue(configservice.KeyTargets, toJSON(targetsDocument{2, targets})); err != nil {
		return err
	}
	for i, page := range tablePages(point.Accounts, 0) {
		if err := f.PutValue(fmt.Sprintf("table/%04d", i+1), string(page)); err != nil {
			return err
		}
	}
	return nil
}

// applyEdits changes one row count times at a steady rate per second.
func applyEdits(f *fleet.Fleet, point Point, count, rate int) error {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i := range count {
		<-ticker.C
		if err := f.PutValue("table/0001", string(tablePages(point.Accounts, i+1)[0])); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	return nil
}
