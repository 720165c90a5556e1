package demo

import (
	"context"
	"time"

	"filbertdeck/internal/accounting"
	"filbertdeck/internal/burnreport"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/fleet"
)

func (d *demo) accounts(context.Context) error {
	d.say("   %-16s %-10s %8s %8s %8s %8s %8s", "account", "service", "received", "refused", "ran", "unknown", "tokens")
	totals := map[string]*accounting.Row{}
	var order []string
	for _, h := range d.fleet.Hosts {
		var s accounting.Snapshot
		if err := d.fleet.GetJSON("http://"+h.EntryAdminAddress+"/accounting", &s); err != nil {
			return err
		}
		if s.Unbalanced != 0 {
			return failure.New(failure.KindInternal, "the accounting of %s does not balance", h.Name)
		}
		for _, l := range s.Rows {
			key := l.Account + " " + l.Service
			if totals[key] == nil {
				totals[key] = &accounting.Row{Account: l.Account, Service: l.Service}
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
	c := &burnreport.Collector{AdminKey: fleet.MonitorKey, Scheme: "http", Client: d.village.http}
	for _, h := range d.fleet.Hosts {
		c.ControlAddresses = append(c.ControlAddresses, h.ControlAdminAddress)
	}
	r := burnreport.Build([]burnreport.Sample{c.Collect(ctx)}, nil)
	for _, p := range r.Promises {
		d.say("   %-75s %s", p.Text, p.Verdict)
	}
	if !r.Complete() || r.HasBreach() {
		return failure.New(failure.KindInternal, "the report shows a breach, or a host could not be read")
	}
	return nil
}
