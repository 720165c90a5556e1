package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"filbertdeck/platform/standin"
)

const (
	// cutServers is the number of servers, of which one leaves or crashes.
	cutServers = 9
	// cutRequests is the number of requests that are in progress then.
	cutRequests = 36
)

// cutZones are the zones of the servers. The first one is evacuated.
var cutZones = []string{"z-a", "z-b", "z-c"}

// startCut starts a gateway with servers of a plain service, and sends requests of each kind of
// route. Their answers have neither a length nor chunks. It returns the server that is to leave or
// crash, once all are at work.
func startCut(r *rig, afterTerm time.Duration) (*serverProcess, *answers, error) {
	r.store.PutPlainConfig(1, "app", apiKey)
	var servers []*serverProcess
	for i := range cutServers {
		s, err := r.startServer(fmt.Sprintf("i-%d", i+1), afterTerm)
		if err != nil {
			return nil, nil, err
		}
		servers = append(servers, s)
		r.store.PutServerIn(cutZones[i%len(cutZones)], s.id, "app", s.address, "ready")
	}
	g, err := r.startGateway(standin.ProcessSettings{})
	if err != nil {
		return nil, nil, err
	}
	if err := r.awaitReady(g); err != nil {
		return nil, nil, err
	}
	a := &answers{got: map[string]answer{}}
	for i := range cutRequests {
		id := fmt.Sprintf("r-%d", i+1)
		a.ask(r, g.front, id, head("POST", []string{"/b/work", "/q/look", "/s/stream"}[i%3], id, "Content-Length: 0"))
	}
	time.Sleep(time.Second)
	return servers[0], a, nil
}

// judgeCut reports whether a client got a success that looks complete and is not the server's whole
// answer.
func (a *answers) judgeCut(r *rig) (broken bool) {
	whole := 0
	for id, got := range a.got {
		want := wholeAnswer(id)
		switch {
		case got.err != nil || got.status != http.StatusOK:
		case string(got.body) == want:
			whole++
		default:
			r.log("%s: a success that looks complete has %d bytes of the server's %d", id, len(got.body), len(want))
			broken = true
		}
	}
	r.log("%d of %d answers are whole", whole, len(a.got))
	return broken
}

// leavingServer has a server leave as planned while it still makes answers.
func leavingServer(r *rig) (bool, error) {
	leaves, a, err := startCut(r, 2500*time.Millisecond)
	if err != nil {
		return false, err
	}
	if r.trouble {
		r.log("%s reports draining, serves for 2.5 s more and exits", leaves.id)
		r.store.PutServerIn(cutZones[0], leaves.id, "app", leaves.address, "draining")
		if err := leaves.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	a.wait.Wait()
	return a.judgeCut(r), nil
}

// evacuatedCrash has a server crash while its zone is evacuated. With EVACUATE=0 the server crashes
// without that.
func evacuatedCrash(r *rig) (bool, error) {
	crashes, a, err := startCut(r, 0)
	if err != nil {
		return false, err
	}
	if r.trouble && os.Getenv("EVACUATE") != "0" {
		r.log("%s is evacuated", cutZones[0])
		r.store.DrainZone(cutZones[0])
	}
	time.Sleep(2 * time.Second)
	if r.trouble {
		r.log("%s crashes", crashes.id)
		if err := crashes.cmd.Process.Kill(); err != nil {
			return false, err
		}
	}
	a.wait.Wait()
	return a.judgeCut(r), nil
}
