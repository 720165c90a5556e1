package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// graceTime is bounds.grace_s, countedAfter the time from which a request sent after a
	// SIGTERM is not excused by a server that is still at work.
	graceTime    = 8 * time.Second
	countedAfter = 3 * time.Second
	// rollGap is the time between two SIGTERMs.
	rollGap = time.Second
)

// putPlainConfig writes a desired state with an unsafe and a streaming route to a plain service.
func (p *play) putPlainConfig(version int) {
	order, report := p.route("r-1", "/b/", "unsafe"), p.route("r-2", "/s/", "streaming")
	order["timeout_ms"], order["latency_target_ms"] = 2500, 150
	p.store.Put("op/config", map[string]any{
		"version": version, "routes": []any{order, report},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 110, "warmup_s": 0, "warmup_per_s": 0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "clinic", "api_keys": []string{"key-1"}}},
	})
}

// sentRequest is a request and what became of it.
type sentRequest struct {
	id   string
	node *host
	at   time.Time
	got  answer
}

// playLateAccept stops two of three nodes of a zone, one after the other. No request that a
// stopping node has passed on may end without an answer.
func playLateAccept(p *play) bool {
	p.putPlainConfig(1)
	hosts := []*host{newHost(), newHost(), newHost()}
	// Orders take 1.6 s of the 2.5 s that their clients wait, streams 4 s.
	orders := []serverOptions{}
	for i := range 3 {
		o := serverOptions{id: fmt.Sprintf("i-%d", i+1), address: freeAddress(), events: 40, gap: 100 * time.Millisecond, plainTime: 1600 * time.Millisecond}
		p.startServer(o)
		p.store.PutServer(o.id, service, o.address, "ready")
		orders = append(orders, o)
	}
	p.startHosts(hosts...)
	balancer, stop := newIngress(hosts), make(chan struct{})
	go balancer.run(stop)
	defer close(stop)
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	var sent []sentRequest
	var clients sync.WaitGroup
	client := func(i int) {
		defer clients.Done()
		r := sentRequest{node: balancer.node(i), at: time.Now()}
		if i%10 == 0 {
			r.id = fmt.Sprintf("stream-%d", i)
			r.got = send(r.node.callers, "POST", "/s/x", r.id, nil, "{}", 39*time.Second)
		} else {
			r.id = fmt.Sprintf("order-%d", i)
			r.got = send(r.node.callers, "POST", "/b/x", r.id, nil, "{}", 2500*time.Millisecond)
		}
		mu.Lock()
		defer mu.Unlock()
		sent = append(sent, r)
	}
	stoppedAt := map[*host]time.Time{}
	begin, stopped := time.Now(), 0
	for i := 0; time.Since(begin) < 13*time.Second; i++ {
		if p.trouble && stopped < 2 && time.Since(begin) >= 2*time.Second+time.Duration(stopped)*rollGap {
			h := hosts[stopped]
			p.logf("SIGTERM to %s", h.name)
			stoppedAt[h] = time.Now()
			_ = h.cmd.Process.Signal(syscall.SIGTERM)
			time.AfterFunc(graceTime, func() { p.killAndRestart(h) })
			stopped++
		}
		clients.Add(1)
		go client(i)
		time.Sleep(time.Second / 26)
	}
	clients.Wait()
	time.Sleep(time.Second)
	ran := map[string]bool{}
	for _, o := range orders {
		for id := range p.ranRequests(o.id) {
			ran[id] = true
		}
	}
	counts := map[string]int{}
	lost := 0
	for _, r := range sent {
		what := fmt.Sprint(r.got.status)
		if !r.got.complete {
			what = "no complete answer"
		}
		counts[what]++
		if r.got.complete {
			continue
		}
		at, stops := stoppedAt[r.node]
		late := r.at.Sub(at)
		p.logf("%s at %s: no complete answer (status %d, error %v), ran at a server %t, sent %.3f s after the SIGTERM", r.id, r.node.name, r.got.status, r.got.err, ran[r.id], late.Seconds())
		if stops && late > countedAfter && late < graceTime+time.Second && ran[r.id] {
			lost++
		}
	}
	p.logf("%d requests sent, %d ran, answers %v; %d were passed on by a stopping node and ended without an answer", len(sent), len(ran), counts, lost)
	if !p.trouble && counts["200"] != len(sent) {
		p.fail("without the disruption not all requests were served")
	}
	return lost > 0
}

// killAndRestart ends a process at the end of its grace and starts it again.
func (p *play) killAndRestart(h *host) {
	kill(h.cmd)
	p.logf("%s is started again", h.name)
	p.restart(h)
}
