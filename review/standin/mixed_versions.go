package main

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"filbertdeck/platform/standin"
)

// storeDownTime is how long the store is down, restartTime how long a crashed server is.
const (
	storeDownTime = 4500 * time.Millisecond
	restartTime   = time.Second
	// mixedAllowed is how many streams may hold events of two versions by ORDER.
	mixedAllowed = 2
)

var versionPattern = regexp.MustCompile(`of version (\S+)`)

// versionsIn returns the versions that wrote the events of a stream, in their order.
func versionsIn(body string) []string {
	var out []string
	for _, match := range versionPattern.FindAllStringSubmatch(body, -1) {
		out = append(out, match[1])
	}
	return slices.Compact(out)
}

// playMixedVersions has a server crash and start again with other software while the store is
// down, and the other server crash after that. No stream may hold events of both versions.
func playMixedVersions(p *play) bool {
	p.putConfig(1)
	hosts := []*host{newHost(), newHost()}
	server := func(id, address, version string) serverOptions {
		return serverOptions{id: id, address: address, events: 50, gap: 100 * time.Millisecond, version: version}
	}
	one, two := server("i-1", freeAddress(), "v1"), server("i-2", freeAddress(), "v1")
	born := time.Now().UnixMilli()
	first, second := p.startServer(one), p.startServer(two)
	p.store.PutServerVersion(one.id, service, one.address, "ready", "v1", born)
	p.store.PutServerVersion(two.id, service, two.address, "ready", "v1", born)
	p.startHosts(hosts...)
	time.Sleep(3 * time.Second)
	if p.trouble {
		p.logf("the store is down for %s", storeDownTime)
		p.store.SetMode(standin.Unresponsive)
		time.AfterFunc(storeDownTime, func() {
			// The server's entry is written as soon as the store takes it.
			p.store.SetMode(standin.Serving)
			p.store.PutServerVersion(two.id, service, two.address, "ready", "v2", born+6000)
			p.logf("the store is back and has the new entry of i-2")
		})
		time.Sleep(300 * time.Millisecond)
		p.logf("server i-2 crashes")
		kill(second)
		time.Sleep(restartTime)
		two.version = "v2"
		p.startServer(two)
		p.logf("server i-2 is back under its id with version v2")
	}
	const count = 12
	answers := make(chan answer, count)
	for i := range count {
		id := fmt.Sprintf("stream-%d", i+1)
		go func() {
			p.logf("client sends POST /s/x as %s", id)
			got := send(hosts[i%len(hosts)].callers, "POST", "/s/x", id, map[string]string{"X-Filbertdeck-Model": "m", "X-Filbertdeck-Token-Usage": "100,240"}, "{}", 30*time.Second)
			p.logf("client got for %s: status %d, sealed %t, looks complete %t, %d events, versions %v, error %v", id, got.status, got.sealed, got.complete, strings.Count(got.body, "id:"), versionsIn(got.body), got.err)
			answers <- got
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	if p.trouble {
		p.logf("server i-1 crashes")
		kill(first)
	}
	mixed, whole := 0, 0
	for range count {
		got := <-answers
		if len(versionsIn(got.body)) > 1 {
			mixed++
		}
		if got.complete && got.status == 200 && strings.Count(got.body, "id:") == one.events {
			whole++
		}
	}
	p.logRuns(one.id)
	p.logRuns(two.id)
	p.logf("%d of %d streams whole, %d hold events of two versions", whole, count, mixed)
	if !p.trouble && whole != count {
		p.fail("without the disruption not all streams were whole")
	}
	return mixed > mixedAllowed
}
