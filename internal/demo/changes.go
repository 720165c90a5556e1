package demo

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/fleet"
)

// propagationTimeout bounds the wait for an edit to take effect on a host. The
// objective is 2 s.
const propagationTimeout = 10 * time.Second

func (d *demo) editTable(ctx context.Context) error {
	start := time.Now()
	if err := d.fleet.PutValue("table/0001", tableText(3)); err != nil {
		return err
	}
	for _, h := range d.fleet.Hosts {
		took, err := d.waitState(ctx, h, start, func(s entryState) bool { return s.Weights[villageAccount] == 3 })
		if err != nil {
			return err
		}
		d.printf("   in force at %s after %v", h.Name, took.Round(time.Millisecond))
	}
	return nil
}

// entryState is the part of an entry's /state document that the demo reads.
type entryState struct {
	Weights map[string]float64 `json:"weights"`
	Drained []string           `json:"drained"`
	Pools   []string           `json:"pools"`
}

func (d *demo) waitState(ctx context.Context, h *fleet.Host, start time.Time, reached func(entryState) bool) (time.Duration, error) {
	for time.Since(start) < propagationTimeout && ctx.Err() == nil {
		var s entryState
		if err := d.fleet.GetJSON("http://"+h.EntryAdminAddress+"/state", &s); err == nil && reached(s) {
			return time.Since(start), nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return 0, failure.New(failure.KindDeadline, "%s did not apply the change within %v", h.Name, propagationTimeout)
}

func (d *demo) drainWhileServing(ctx context.Context) error {
	streamDone := make(chan error, 1)
	started := make(chan struct{})
	go func() {
		body := completionRequest{Model: "reports", Prompt: "Survey the south. [tokens=900]", MaxTokens: 2000, Stream: true}
		first := true
		s, err := d.clinic.stream(ctx, d.hostURL(2, "/v1/completions"), body, func(int) {
			if first {
				close(started)
				first = false
			}
		})
		if err == nil && s.tokens != 900 {
			err = failure.New(failure.KindInternal, "received %d of 900 tokens", s.tokens)
		}
		streamDone <- err
	}()
	select {
	case <-started:
	case err := <-streamDone:
		return err
	}
	if err := d.drainSouth(ctx); err != nil {
		return err
	}
	if err := <-streamDone; err != nil {
		return err
	}
	d.printf("   the report that was running there was delivered in full")
	return d.undrainSouth(ctx)
}

func (d *demo) drainSouth(ctx context.Context) error {
	start := time.Now()
	if err := d.fleet.PutValue("drain", "south\n"); err != nil {
		return err
	}
	for _, h := range d.fleet.Hosts {
		if _, err := d.waitState(ctx, h, start, func(s entryState) bool { return len(s.Drained) == 1 && !hasSouthPool(s.Pools) }); err != nil {
			return err
		}
	}
	d.printf("   south takes no new work after %v", time.Since(start).Round(time.Millisecond))
	before, err := d.startedGenerations("south")
	if err != nil {
		return err
	}
	for range 6 {
		body := completionRequest{Model: "summaries", Prompt: "While south is out. [tokens=20]", MaxTokens: 50}
		r, err := d.village.call(ctx, http.MethodPost, d.hostURL(2, "/v1/completions"), nil, body)
		if err != nil || r.status != http.StatusOK {
			return failure.New(failure.KindInternal, "a summary failed while south was drained: %s", r.body)
		}
	}
	after, err := d.startedGenerations("south")
	if err != nil {
		return err
	}
	if after != before {
		return failure.New(failure.KindInternal, "%d generations started in south while it was drained", after-before)
	}
	d.printf("   6 summaries were served meanwhile, none in south")
	return nil
}

func hasSouthPool(pools []string) bool {
	for _, p := range pools {
		if strings.Contains(p, "/south/") {
			return true
		}
	}
	return false
}

// startedGenerations counts the generations that the engines of a data centre
// have started, from the engines' own records.
func (d *demo) startedGenerations(dataCentre string) (int, error) {
	total := 0
	for _, e := range d.fleet.Engines {
		if e.DataCentre != dataCentre {
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

func (d *demo) undrainSouth(ctx context.Context) error {
	start := time.Now()
	if err := d.fleet.PutValue("drain", ""); err != nil {
		return err
	}
	for _, h := range d.fleet.Hosts {
		if _, err := d.waitState(ctx, h, start, func(s entryState) bool { return len(s.Drained) == 0 && hasSouthPool(s.Pools) }); err != nil {
			return err
		}
	}
	d.printf("   south is in use again after %v", time.Since(start).Round(time.Millisecond))
	return nil
}
