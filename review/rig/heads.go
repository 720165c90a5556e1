package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"filbertdeck/platform/standin"
)

const (
	// memoryMB is limits.memory_mb of the gateway's machine, in MB of 1,000,000 bytes.
	memoryMB = 134
	// headServers is the number of servers in trouble, headRequests that of the requests that are
	// sent to them, headInterval the time between two.
	headServers, headRequests, headInterval = 2, 150, 20 * time.Millisecond
	// headStart is the part of a head that arrives at once; a line a second follows.
	headStart = 60000
	// headDeadline is the time budget of the requests.
	headDeadline = 20 * time.Second
)

// shortLines returns short header lines of different names.
func shortLines(bytes int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789-_.!#$%&"
	var text strings.Builder
	for i := 0; text.Len() < bytes; i++ {
		name := []byte{letters[i%len(letters)], letters[i/len(letters)%len(letters)], letters[i/len(letters)/len(letters)%len(letters)]}
		text.Write(name)
		text.WriteString(":\n")
	}
	return text.String()
}

// residentBytes returns the anonymous memory of a process that is resident, without the pages of
// its program file.
func residentBytes(pid int) int {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb << 10
		}
	}
	return 0
}

// endlessHeads has the servers of a service answer with heads of short lines that don't end. The
// rule is broken if the gateway takes more memory than its machine has: the platform, played by
// this program, kills it then, and the streams of another service that it had accepted are lost.
func endlessHeads(r *rig) (bool, error) {
	head60 := shortLines(headStart)
	inTrouble := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		id := req.Header.Get(standin.HeaderRequestID)
		if !r.trouble || id == "" {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Length: 4\r\n\r\ndone", standin.HeaderRequestID, id, standin.HeaderSeal, id)
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head60)
		for {
			if _, err := io.WriteString(conn, "x:\n"); err != nil {
				return
			}
			time.Sleep(time.Second)
		}
	}
	sound, err := r.startServer("i-sound", 0)
	if err != nil {
		return false, err
	}
	config := pathConfig(1, "app", pathRoute("r-1", "/b/", "app"))
	stream := pathRoute("r-2", "/s/", "llm")
	stream["route_type"], stream["timeout_ms"] = "streaming", 39000
	config["routes"].([]any)[0].(map[string]any)["timeout_ms"] = headDeadline.Milliseconds()
	config["routes"] = append(config["routes"].([]any), stream)
	config["services"] = append(config["services"].([]any), map[string]any{"name": "llm", "health_path": "/health", "max_conns": 282})
	r.store.Put("op/config", config)
	r.store.PutServer(sound.id, "llm", sound.address, "ready")
	for i := range headServers {
		address, err := r.serveRaw(inTrouble)
		if err != nil {
			return false, err
		}
		r.store.PutServer(fmt.Sprintf("i-%d", i+1), "app", address, "ready")
	}
	g, err := r.startGateway(standin.ProcessSettings{MemoryMB: memoryMB})
	if err != nil {
		return false, err
	}
	if err := r.awaitReady(g); err != nil {
		return false, err
	}
	peak, killed := 0, false
	done := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			now := residentBytes(g.cmd.Process.Pid)
			peak = max(peak, now)
			if now > memoryMB*1_000_000 {
				r.log("%s takes %.1f MB of %d and is killed", g.name, float64(now)/1e6, memoryMB)
				killed = true
				_ = g.cmd.Process.Kill()
				return
			}
		}
	}()
	time.Sleep(500 * time.Millisecond)
	r.log("%s takes %.1f MB before the requests", g.name, float64(residentBytes(g.cmd.Process.Pid))/1e6)
	streams, calls := &answers{got: map[string]answer{}}, &answers{got: map[string]answer{}}
	for i := range headRequests {
		id := fmt.Sprintf("r-%d", i+1)
		calls.ask(r, g.front, id, head("POST", "/b/work", id, "Content-Length: 0"))
		time.Sleep(headInterval)
		if i == headRequests/2 {
			for n := range 4 {
				id := fmt.Sprintf("s-%d", n+1)
				streams.ask(r, g.front, id, head("POST", "/s/report", id, "Content-Length: 0"))
			}
		}
	}
	streams.wait.Wait()
	calls.wait.Wait()
	close(done)
	<-watched
	whole := 0
	for id, got := range streams.got {
		if got.err == nil && string(got.body) == wholeAnswer(id) {
			whole++
		}
	}
	r.log("peak %.1f MB; %d of %d sound streams are whole", float64(peak)/1e6, whole, len(streams.got))
	return killed, nil
}
