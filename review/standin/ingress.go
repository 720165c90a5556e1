package main

import (
	"net/http"
	"sync"
	"time"

	"filbertdeck/platform/standin"
)

// ingress hands clients' channels to the nodes of one zone as the platform does: a node is out
// after two misses and in again after one 200; if fewer than half are in, all are used.
type ingress struct {
	hosts  []*host
	client http.Client

	mu     sync.Mutex
	misses []int
}

func newIngress(hosts []*host) *ingress {
	return &ingress{hosts: hosts, misses: make([]int, len(hosts)), client: http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// run asks each node once a second until stop is closed.
func (g *ingress) run(stop <-chan struct{}) {
	for {
		for i, h := range g.hosts {
			go g.ask(i, h)
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

func (g *ingress) ask(i int, h *host) {
	resp, err := g.client.Get("http://" + h.ready + standin.PathReady)
	ok := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_ = resp.Body.Close()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if ok {
		g.misses[i] = 0
	} else {
		g.misses[i]++
	}
}

// node returns the node for a client's new channel.
func (g *ingress) node(client int) *host {
	g.mu.Lock()
	defer g.mu.Unlock()
	var in []*host
	for i, h := range g.hosts {
		if g.misses[i] < 2 {
			in = append(in, h)
		}
	}
	if 2*len(in) < len(g.hosts) {
		in = g.hosts
	}
	return in[client%len(in)]
}
