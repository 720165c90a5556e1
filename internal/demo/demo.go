package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/fleet"
)

// deploymentSpec describes the demo's deployment: two data centres, three
// hosts, four engines and one plain service.
var deploymentSpec = fleet.Spec{
	Hosts:          []string{"north", "north", "south"},
	Engines:        []string{"north", "north", "south", "south"},
	Apps:           []string{"north"},
	EngineServices: []string{"reports", "summaries"},
	AppServices:    []string{"sites", "orders"},
	EngineArgs:     []string{"--base-step", "4ms", "--per-sequence", "50us"},
}

// The client accounts of the demo and their API keys.
const (
	villageKey     = "demo-key-village"
	clinicKey      = "demo-key-clinic"
	villageAccount = "village-school"
	clinicAccount  = "district-clinic"
)

// tableText returns the operators' table; weight is that of villageAccount.
func tableText(weight int) string {
	header := "kind,name,weight,max_running,tokens_per_second,priority,key_sha256,services,type,delivery,max_tokens,max_wait_ms,queue_limit\n"
	account := "account,%s,%d,,,,%s,,,,,,\n"
	return header +
		fmt.Sprintf(account, villageAccount, weight, fleet.KeyDigest(villageKey)) +
		fmt.Sprintf(account, clinicAccount, 1, fleet.KeyDigest(clinicKey)) +
		"service,reports,,,,,,,generation,stream,20000,30000,200\n" +
		"service,summaries,,,,,,,generation,whole,4000,30000,200\n" +
		"service,sites,,,,,,,lookup,,,5000,500\n" +
		"service,orders,,,,,,,once,,,5000,500\n"
}

// demo is the state of one run: the deployment and a client per account.
type demo struct {
	out     io.Writer
	fleet   *fleet.Fleet
	village *client
	clinic  *client
}

// Run starts the deployment from the programs in binDir, runs and prints each
// step, and stops every process.
func Run(ctx context.Context, binDir string, out io.Writer) error {
	s := deploymentSpec
	s.BinDir, s.Table = binDir, tableText(1)
	start := time.Now()
	f, err := fleet.Start(ctx, s)
	if err != nil {
		return err
	}
	defer f.Close()
	d := &demo{out: out, fleet: f, village: newClient(villageKey), clinic: newClient(clinicKey)}
	d.printf("started %d hosts, %d engines, 1 plain service, 1 configuration service in %v",
		len(f.Hosts), len(f.Engines), time.Since(start).Round(time.Millisecond))
	return d.runSteps(ctx)
}

func (d *demo) printf(format string, args ...any) { fmt.Fprintf(d.out, format+"\n", args...) }

func (d *demo) runSteps(ctx context.Context) error {
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"a long report, streamed", d.streamReport},
		{"a summary, in one response", d.fetchSummary},
		{"a site lookup", d.lookUpSite},
		{"a work order, sent twice through two entries", d.bookOrderTwice},
		{"an edit of the table", d.editTable},
		{"a data centre drained and restored", d.drainWhileServing},
		{"the accounting per client account", d.printAccounting},
		{"the objectives as the monitor reports them", d.printObjectives},
	}
	for i, step := range steps {
		d.printf("\n%d. %s", i+1, step.name)
		if err := step.run(ctx); err != nil {
			return failure.Wrap(err, failure.KindOf(err), "step %q failed", step.name)
		}
	}
	return nil
}
