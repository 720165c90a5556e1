package demo

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"filbertdeck/internal/failure"
)

type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (d *demo) url(host int, path string) string {
	return "http://" + d.fleet.Hosts[host].ClientAddress + path
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
