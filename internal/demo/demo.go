package demo

import (
	"context"
	"fmt"
	"io"
	"time"

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
		fmt.Sprintf(account, village, weight, fleet.KeyDigest(villageKey)) +
		fmt.Sprintf(account, clinic, 1, fleet.KeyDigest(clinicKey)) +
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
