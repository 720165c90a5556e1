package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"filbertdeck/platform"
	"filbertdeck/platform/standin"
)

// play is one run of a case. It owns all processes that it started.
type play struct {
	// trouble is false if the disruption is left out.
	trouble bool
	store   *standin.Store
	// storeAddress is where the store is served.
	storeAddress string
	dir          string
	startedAt    time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*exec.Cmd
}

// notRun ends a play that could not run.
type notRun struct{ reason string }

func run(playCase func(*play) bool, folder string) (code int) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	p := &play{trouble: os.Getenv("TROUBLE") != "0", store: standin.New(), dir: dir, startedAt: time.Now(), record: record}
	defer func() {
		reason := recover()
		p.stopAll()
		if reason != nil {
			p.logf("the case could not run: %v", reason)
			code = exitNotRun
		}
		_ = record.Close()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		}
	}()
	p.storeAddress = freeAddress()
	go func() { _ = http.ListenAndServe(p.storeAddress, p.store) }()
	p.logf("disruption: %t", p.trouble)
	if playCase(p) {
		p.logf("result: the rule was broken")
		return exitBroken
	}
	p.logf("result: the rule held")
	return exitHeld
}

func (p *play) logf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(p.startedAt).Seconds(), fmt.Sprintf(format, args...))
	_, _ = p.record.WriteString(line)
	fmt.Print(line)
}

func (p *play) fail(format string, args ...any) { panic(notRun{fmt.Sprintf(format, args...)}) }

// freeAddress returns a loopback address with a free port.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(notRun{err.Error()})
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func portOf(address string) int {
	_, text, _ := net.SplitHostPort(address)
	port, _ := strconv.Atoi(text)
	return port
}

func (p *play) start(cmd *exec.Cmd, logName string) *exec.Cmd {
	log, err := os.OpenFile(filepath.Join(p.dir, logName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.fail("%v", err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		p.fail("%s can't be started: %v", cmd.Path, err)
	}
	p.mu.Lock()
	p.processes = append(p.processes, cmd)
	p.mu.Unlock()
	return cmd
}

// kill ends a process that this play started.
func kill(cmd *exec.Cmd) {
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
}

func (p *play) stopAll() {
	for _, cmd := range p.processes {
		if cmd.ProcessState == nil {
			kill(cmd)
		}
	}
}

// host is one gateway process.
type host struct {
	callers, ready, peers string
	cmd                   *exec.Cmd
	name, settings        string
}

// newHost returns a host with free addresses.
func newHost() *host {
	return &host{callers: freeAddress(), ready: freeAddress(), peers: freeAddress()}
}

// startHosts starts gateway processes with the command of deploy/system.toml, and waits until
// they are ready.
func (p *play) startHosts(hosts ...*host) {
	var seeds []string
	for _, h := range hosts[:min(len(hosts), 3)] {
		seeds = append(seeds, h.peers)
	}
	for i, h := range hosts {
		name := fmt.Sprintf("front-z-a-%d", i+1)
		text := standin.SettingsFile(standin.ProcessSettings{
			Host: name, IP: "127.0.0.1", ListenCallers: h.callers, ListenReady: h.ready, ListenPeers: h.peers, StoreAddress: p.storeAddress, Seeds: seeds,
		})
		free := portOf(freeAddress())
		text = strings.Replace(text, "port_range=7200,7215", fmt.Sprintf("port_range=%d,%d", free, free), 1)
		settings := filepath.Join(p.dir, name+".conf")
		if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
			p.fail("%v", err)
		}
		h.name, h.settings = name, settings
		p.restart(h)
	}
	for _, h := range hosts {
		p.waitReady(h)
	}
}

// restart starts a host's process. As on the platform's machines there is one core.
func (p *play) restart(h *host) {
	cmd := exec.Command("target/filbert-gateway", "--log-format", "json")
	cmd.Env = append(os.Environ(), platform.SettingsPathVariable+"="+h.settings, "GOMAXPROCS=1")
	h.cmd = p.start(cmd, h.name+".log")
	p.logf("gateway %s started", h.name)
}

func (p *play) waitReady(h *host) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + h.ready + standin.PathReady)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	p.fail("a gateway did not become ready")
}
