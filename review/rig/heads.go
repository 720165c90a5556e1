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
	"sync"
	"time"

	"filbertdeck/platform/standin"
)

const (
	// memoryMB is limits.memory_mb of the gateway's machine.
	memoryMB   = 134
	bytesPerMB = 1_000_000
	// headServers is the number of servers in trouble, headRequests that of the requests that are
	// sent to them, headInterval the time between two.
	headServers, headRequests, headInterval = 2, 80, 20 * time.Millisecond
	// headStart is the part of a head that arrives at once; a line a second follows.
	headStart = 60000
	// headDeadline is the time budget of the requests.
	headDeadline = 20 * time.Second
	// bodyClients is the number of clients that send bodies of the longest allowed length.
	bodyClients, bodyBytes = 13, 4194304
)

// sendBodies has a client send bodies, one after the other, until stop is closed or its channel ends
// without an answer.
func sendBodies(r *rig, address string, client int, stop chan struct{}) {
	body := strings.Repeat("x", bodyBytes)
	for n := 1; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("u-%d-%d", client+1, n)
		got := send(address, head("POST", "/u/scan", id, fmt.Sprintf("Content-Length: %d", bodyBytes))+body, 10*time.Second)
		r.log("client got %s: %s", id, got)
		if got.err != nil {
			return
		}
	}
}

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

// memoryWatch plays the platform: it kills a process that exceeds the memory of its machine.
type memoryWatch struct {
	mu     sync.Mutex
	peak   int
	killed bool
	stop   chan struct{}
	ended  sync.WaitGroup
}

// watchMemory watches a gateway until end is called.
func watchMemory(r *rig, g *gatewayProcess) *memoryWatch {
	w := &memoryWatch{stop: make(chan struct{})}
	w.ended.Go(func() {
		for {
			select {
			case <-w.stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			if w.check(r, g, residentBytes(g.cmd.Process.Pid)) {
				return
			}
		}
	})
	return w
}

func (w *memoryWatch) check(r *rig, g *gatewayProcess, now int) (killed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peak = max(w.peak, now)
	if w.killed = now > memoryMB*bytesPerMB; w.killed {
		r.log("%s takes %.1f MB of %d and is killed", g.name, float64(now)/bytesPerMB, memoryMB)
		_ = g.cmd.Process.Kill()
	}
	return w.killed
}

// peakMB returns the peak so far.
func (w *memoryWatch) peakMB() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return float64(w.peak) / bytesPerMB
}

// end ends the watch and reports whether the process was killed.
func (w *memoryWatch) end() bool {
	close(w.stop)
	w.ended.Wait()
	return w.killed
}

// answerInTrouble answers a request with a head that doesn't end, a sound one without trouble.
func (r *rig) answerInTrouble(conn net.Conn) {
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
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+shortLines(headStart))
	for {
		if _, err := io.WriteString(conn, "x:\n"); err != nil {
			return
		}
		time.Sleep(time.Second)
	}
}

// serveFile is a sound server that reads a body and answers with its length.
func serveFile(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(standin.HeaderRequestID)
	read, err := io.Copy(io.Discard, req.Body)
	if id == "" || err != nil {
		return
	}
	time.Sleep(500 * time.Millisecond)
	w.Header().Set(standin.HeaderRequestID, id)
	w.Header().Set(standin.HeaderSeal, "seal-"+id)
	_, _ = fmt.Fprint(w, read)
}

// headConfig has a service whose servers are in trouble and two sound ones.
func headConfig() map[string]any {
	work, stream, file := pathRoute("r-1", "/b/", "app"), pathRoute("r-2", "/s/", "llm"), pathRoute("r-3", "/u/", "files")
	work["timeout_ms"] = headDeadline.Milliseconds()
	stream["route_type"], stream["timeout_ms"] = "streaming", 39000
	config := pathConfig(1, "app", work, stream, file)
	config["services"] = append(config["services"].([]any), map[string]any{"name": "llm", "health_path": "/health", "max_conns": 282},
		map[string]any{"name": "files", "health_path": "/health", "max_conns": 110})
	config["limits"].(map[string]any)["max_body_bytes"] = bodyBytes
	return config
}

// startHeads starts the servers and the gateway.
func (r *rig) startHeads() (*gatewayProcess, error) {
	r.store.Put("op/config", headConfig())
	for service, handler := range map[string]http.HandlerFunc{"llm": serveStream, "files": serveFile} {
		address, err := r.serve(handler)
		if err != nil {
			return nil, err
		}
		r.store.PutServer("i-"+service, service, address, "ready")
	}
	for i := range headServers {
		address, err := r.serveRaw(r.answerInTrouble)
		if err != nil {
			return nil, err
		}
		r.store.PutServer(fmt.Sprintf("i-%d", i+1), "app", address, "ready")
	}
	g, err := r.startGateway(standin.ProcessSettings{MemoryMB: memoryMB})
	if err != nil {
		return nil, err
	}
	return g, r.awaitReady(g)
}

// endlessHeads has the servers of a service answer with heads of short lines that don't end, while
// clients send long bodies to another one. The rule is broken if the gateway takes more memory than
// its machine has. It is killed then, and the streams of a third service that it had accepted are
// lost.
func endlessHeads(r *rig) (bool, error) {
	g, err := r.startHeads()
	if err != nil {
		return false, err
	}
	watch := watchMemory(r, g)
	stop := make(chan struct{})
	var uploads sync.WaitGroup
	for client := range bodyClients {
		uploads.Go(func() { sendBodies(r, g.front, client, stop) })
	}
	time.Sleep(5 * time.Second)
	r.log("peak %.1f MB before the other requests", watch.peakMB())
	streams, calls := &answers{got: map[string]answer{}}, &answers{got: map[string]answer{}}
	for n := range 4 {
		id := fmt.Sprintf("s-%d", n+1)
		streams.ask(r, g.front, id, head("POST", "/s/report", id, "Content-Length: 0"))
	}
	for i := range headRequests {
		id := fmt.Sprintf("r-%d", i+1)
		calls.ask(r, g.front, id, head("POST", "/b/work", id, "Content-Length: 0"))
		time.Sleep(headInterval)
	}
	streams.wait.Wait()
	calls.wait.Wait()
	close(stop)
	uploads.Wait()
	killed := watch.end()
	whole := 0
	for id, got := range streams.got {
		if got.err == nil && string(got.body) == wholeStream(id) {
			whole++
		}
	}
	r.log("peak %.1f MB; %d of %d sound streams are whole", watch.peakMB(), whole, len(streams.got))
	return killed, nil
}
