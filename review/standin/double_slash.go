package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// playDoubleSlash adds a route with the prefix / and sends requests whose path begins with two
// slashes. The server must get the path unchanged.
func playDoubleSlash(p *play) bool {
	p.putConfig(1)
	h := newHost()
	first := serverOptions{id: "i-1", address: freeAddress(), events: 1}
	p.startServer(first)
	p.store.PutServer(first.id, service, first.address, "ready")
	p.startHosts(h)
	time.Sleep(3 * time.Second)
	if p.trouble {
		p.logf("the desired state changes: version 2 has one more route, with the prefix /")
		p.putConfigWith(2, p.route("r-3", "/", "unsafe"))
		time.Sleep(3 * time.Second)
	}
	sent := map[string]string{}
	for i, target := range []string{"/b/x", "/b//x?a=1", "//reports/7?a=1", "//b/x"} {
		id := fmt.Sprintf("order-%d", i+1)
		sent[id] = target
		got := send(h.callers, "POST", target, id, nil, "{}", 10*time.Second)
		p.logf("client sends POST %s as %s and gets status %d, sealed %t, error %v", target, id, got.status, got.sealed, got.err)
	}
	text, err := os.ReadFile(filepath.Join(p.dir, first.id+".log"))
	if err != nil {
		p.fail("%v", err)
	}
	changed := 0
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(strings.NewReplacer("(", "", ")", "").Replace(line))
		if len(fields) < 4 || fields[0] != "runs" {
			continue
		}
		p.logf("server i-1 %s", line)
		if sent[fields[1]] != fields[3] {
			p.logf("the request target of %s was %s, the server got %s", fields[1], sent[fields[1]], fields[3])
			changed++
		}
	}
	return changed > 0
}
