package main

import (
	"fmt"
	"time"
)

// service is the service of the model servers in the cases.
const service = "llm"

// route returns a route to the service of the cases.
func (p *play) route(name, prefix, kind string) map[string]any {
	return map[string]any{
		"name": name, "host": "a.example", "prefix": prefix, "route_type": kind, "timeout_ms": 39000, "latency_target_ms": 1800,
		"gap_target_ms": 1000, "priority": 1, "service": service, "max_attempts": 1, "public": false, "sticky": true, "resumable": false,
	}
}

// putConfig writes a desired state with a streaming and an unsafe route to a service of model
// servers.
func (p *play) putConfig(version int) { p.putConfigWith(version) }

// putConfigWith is putConfig with further routes.
func (p *play) putConfigWith(version int, further ...any) {
	p.store.Put("op/config", map[string]any{
		"version": version, "routes": append([]any{p.route("r-1", "/s/", "streaming"), p.route("r-2", "/b/", "unsafe")}, further...),
		"services": []any{map[string]any{
			"name": service, "health_path": "/health", "max_conns": 282, "warmup_s": 0, "warmup_per_s": 0,
			"engine": map[string]any{"slots": 24, "kv_capacity_tokens": 34289, "kv_token_bytes": 18432, "link_mbps": 2700.0, "moves": true, "backups": true, "stride": 4, "handle_s": 5.0, "pin_ms": 4000, "hold_ms": 2000},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "clinic", "api_keys": []string{"key-1"}}},
	})
}

// playCutAnswer takes a server away two seconds after its notice, while it writes a stream and
// a plain answer that have neither a length nor chunks. Neither may look complete at the
// clients.
func playCutAnswer(p *play) bool {
	const events = 60
	const gap = 100 * time.Millisecond
	p.putConfig(1)
	h := newHost()
	first := serverOptions{id: "i-1", address: freeAddress(), events: events, gap: gap, unframed: true}
	server := p.startServer(first)
	p.store.PutServer(first.id, service, first.address, "ready")
	p.startHosts(h)
	time.Sleep(3 * time.Second)

	streams, plain := []string{"stream-1", "stream-2"}, []string{"plain-1", "plain-2"}
	answers := make(chan string, 4)
	broken := false
	check := func(id string, stream bool) string {
		target := "/b/x"
		header := map[string]string{}
		if stream {
			target = "/s/x"
			header = map[string]string{"X-Filbertdeck-Model": "m", "X-Filbertdeck-Token-Usage": "100,240"}
		}
		p.logf("client sends POST %s as %s", target, id)
		got := send(h.callers, "POST", target, id, header, "{}", 30*time.Second)
		whole := first.wholeBody(id, stream)
		p.logf("client got for %s: status %d, sealed %t, looks complete %t, %d of %d bytes, error %v", id, got.status, got.sealed, got.complete, len(got.body), len(whole), got.err)
		switch {
		case got.complete && got.status/100 == 2 && got.body != whole:
			return "broken"
		case got.complete && got.status/100 == 2:
			return "whole"
		}
		return "failed"
	}
	for _, id := range streams {
		go func() { answers <- check(id, true) }()
	}
	for _, id := range plain {
		go func() { answers <- check(id, false) }()
	}
	time.Sleep(time.Second)
	// Another server serves from now on. The model servers are crowded: no copy of a run finds
	// room.
	second := serverOptions{id: "i-2", address: freeAddress(), events: events, gap: gap, unframed: true}
	p.startServer(second)
	p.store.PutServer(second.id, service, second.address, "ready")
	if p.trouble {
		p.logf("server i-1 is to be taken away: its entry says draining")
		p.store.PutServer(first.id, service, first.address, "draining")
		time.Sleep(2 * time.Second)
		p.logf("server i-1 is gone (its process is killed)")
		kill(server)
	}
	counts := map[string]int{}
	for range len(streams) + len(plain) {
		result := <-answers
		counts[result]++
		broken = broken || result == "broken"
	}
	p.logRuns(first.id)
	p.logRuns(second.id)
	p.logf("answers: %s", fmt.Sprint(counts))
	if !p.trouble && counts["whole"] != len(streams)+len(plain) {
		p.fail("without the disruption not all answers were whole")
	}
	return broken
}
