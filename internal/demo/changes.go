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

// inForceLimit bounds the wait for an edit; the aim is two seconds.
const inForceLimit = 10 * time.Second

func (d *demo) edit(ctx context.Context) error {
	begun := time.Now()
	if err := d.fleet.PutValue("table/0001", tableText(3)); err != nil {
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
		if err := d.fleet.GetJSON("http://"+h.EntryAdminAddress+"/state", &s); err == nil && ok(s) {
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
	if err := d.fleet.PutValue("drain", "south\n"); err != nil {
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
	if err := d.fleet.PutValue("drain", ""); err != nil {
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
