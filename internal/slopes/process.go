package slopes

import (
	"context"
	"fmt"
	"slices"
	"time"

	"filbertdeck/internal/configservice"
	"filbertdeck/internal/fleet"
)

// Processes bounds the measurements with real processes.
type Processes struct {
	BinDir string
	// Over is how long each state is watched.
	Over time.Duration
	// EditsPerSecond is the pace of edits of one row while they are measured.
	EditsPerSecond int
}

// What is left to the processes after a change before they are watched: a plan
// of pools takes seconds of processor time at the target size, and two follow
// each other when the lists are published one by one.
const (
	settle          = 4 * time.Second
	settlePerTarget = 3 * time.Millisecond
)

// A Point is one state in which the processes of hosts are watched.
type Point struct {
	Name string
	// Hosts run with two processes each; Accounts stand in the table, Polled
	// targets answer, and OtherHosts and OtherTargets are published though
	// nothing listens there.
	Hosts, Accounts, Polled, OtherHosts, OtherTargets int
}

// Points vary one size at a time; the last has the target size of everything
// that is published.
var Points = []Point{
	{"accounts", 1, 10, 4, 0, 0}, {"accounts", 1, 100, 4, 0, 0}, {"accounts", 1, 1000, 4, 0, 0}, {"accounts", 1, TargetAccounts, 4, 0, 0},
	{"targets", 1, 10, 10, 0, 0}, {"targets", 1, 10, 100, 0, 0}, {"targets", 1, 10, 1000, 0, 0},
	{"fleet", 8, 10, 4, 0, 0}, {"fleet", 32, 10, 4, 0, 0}, {"fleet", 64, 10, 4, 0, 0},
	{"published", 1, 10, 4, 330, 1000}, {"all", 1, TargetAccounts, 4, TargetHosts - 1, TargetServers - 4},
}

// Run watches the processes at each point that is named (all without a name):
// first without a change, then under edits of one row.
func (p Processes) Run(ctx context.Context, out Printer, names []string) error {
	for _, at := range Points {
		if len(names) > 0 && !slices.Contains(names, at.Name) {
			continue
		}
		if err := p.point(ctx, out, at); err != nil {
			return err
		}
	}
	return nil
}

func (p Processes) point(ctx context.Context, out Printer, at Point) error {
	hosts := make([]string, at.Hosts)
	for i := range hosts {
		hosts[i] = centre(0)
	}
	f, err := fleet.Start(ctx, fleet.Spec{
		BinDir: p.BinDir, Table: string(tablePages(1, 0)[0]), Hosts: hosts,
		Engines: hosts[:1], EngineServices: []string{service},
	})
	if err != nil {
		return err
	}
	defer f.Close()
	loads, err := serveLoads(at.Polled)
	if err != nil {
		return err
	}
	defer loads.close()
	if err := publish(f, at, loads.targets); err != nil {
		return err
	}
	time.Sleep(settle + time.Duration(at.OtherTargets)*settlePerTarget)
	idle, err := watch(f, loads, func() error { time.Sleep(p.Over); return nil })
	if err != nil {
		return err
	}
	edits := int(p.Over.Seconds()) * p.EditsPerSecond
	busy, err := watch(f, loads, func() error { return edit(f, at, edits, p.EditsPerSecond) })
	if err != nil {
		return err
	}
	out.states(at, edits, idle, busy)
	return nil
}

// states prints what a host used on average.
func (out Printer) states(at Point, edits int, idle, busy seen) {
	n, span := float64(at.Hosts), idle.over.Seconds()
	out.line("%s: %d hosts run, %d accounts, %d targets polled, %d hosts and %d targets published",
		at.Name, at.Hosts, at.Accounts, at.Polled, at.OtherHosts+at.Hosts, at.OtherTargets+at.Polled)
	out.line("  unchanged: control %.2f%% of a core, %.1f MB resident, %.1f MB heap; entry %.2f%%, %.1f MB resident",
		share(idle.control.CPU, idle.over)/n, megabytes(idle.control.ResidentBytes)/n, idle.counters["runtime.MemStats.HeapAlloc"]/n/(1<<20),
		share(idle.entry.CPU, idle.over)/n, megabytes(idle.entry.ResidentBytes)/n)
	out.line("  gossip %.0f bytes/s a host, sent and received; configuration %.1f calls/s in all; %.1f polls/s in all, %.0f payload bytes and %.1f segments a poll",
		(idle.counters["gossip.bytes_sent"]+idle.counters["gossip.bytes_received"])/n/span, idle.counters["configwatch.calls"]/span,
		idle.polls/span, idle.payload/max(idle.polls, 1), idle.segments/max(idle.polls, 1))
	above := func(busy, idle time.Duration, over float64) float64 {
		return 1000 * (busy.Seconds() - idle.Seconds()*over/span) / float64(edits) / n
	}
	over := busy.over.Seconds()
	out.line("  %d edits in %.1fs: control %.2f ms and entry %.2f ms processor time an edit and host above that (control %.1f%% of a core); %.1f and %.1f MB resident; gossip %.0f bytes/s a host",
		edits, over, above(busy.control.CPU, idle.control.CPU, over), above(busy.entry.CPU, idle.entry.CPU, over), share(busy.control.CPU, busy.over)/n,
		megabytes(busy.control.ResidentBytes)/n, megabytes(busy.entry.ResidentBytes)/n,
		(busy.counters["gossip.bytes_sent"]+busy.counters["gossip.bytes_received"])/n/over)
}

func publish(f *fleet.Fleet, at Point, polled []configservice.Target) error {
	hosts := hostList(at.OtherHosts)
	for _, h := range f.Hosts {
		hosts = append(hosts, configservice.Host{
			Name: h.Name, DataCentre: h.DataCentre, Entry: h.PeerAddress, Control: h.ControlAddress, State: configservice.StateLive,
		})
	}
	if err := f.PutValue(configservice.KeyHosts, jsonText(hostsDocument{2, hosts})); err != nil {
		return err
	}
	targets := append(targetList(at.OtherTargets), polled...)
	if err := f.PutValue(configservice.KeyTargets, jsonText(targetsDocument{2, targets})); err != nil {
		return err
	}
	for i, page := range tablePages(at.Accounts, 0) {
		if err := f.PutValue(fmt.Sprintf("table/%04d", i+1), string(page)); err != nil {
			return err
		}
	}
	return nil
}

// edit changes one row count times at a steady pace.
func edit(f *fleet.Fleet, at Point, count, rate int) error {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i := range count {
		<-ticker.C
		if err := f.PutValue("table/0001", string(tablePages(at.Accounts, i+1)[0])); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	return nil
}
