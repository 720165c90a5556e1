// Command rig plays the script cases of the second review: it starts the gateway as processes
// of its own, with stand-ins of the store, servers and clients beside them on loopback.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"filbertdeck/internal/fleet"
	"filbertdeck/platform"
	"filbertdeck/platform/standin"
)

// Exit codes of a case.
const (
	ruleHeld      = 0
	ruleBroken    = 1
	couldNotRun   = 2
	gatewayBinary = "target/filbert-gateway"
	apiKey        = "key-1"
	routeHost     = "a.example"
)

// rig is one run of a case.
type rig struct {
	// trouble is false in the run without the disruption.
	trouble bool
	dir     string
	store   *standin.Store
	// storeAddress is where the store is served.
	storeAddress string

	mu       sync.Mutex
	out      *os.File
	started  time.Time
	gateways []*gatewayProcess
}

// newRig serves an empty store and opens the record in the folder of the case.
func newRig(folder string) (*rig, error) {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r := &rig{trouble: os.Getenv("TROUBLE") != "0", dir: dir, store: standin.New(), out: out, started: time.Now()}
	r.storeAddress, err = r.serve(r.store)
	r.log("trouble %t", r.trouble)
	return r, err
}

// log writes a line to the record.
func (r *rig) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%7.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// serve serves a handler on a free loopback address.
func (r *rig) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// serveRaw passes each connection to a free loopback address to a function.
func (r *rig) serveRaw(handle func(net.Conn)) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
	return l.Addr().String(), nil
}

// gatewayProcess is one process of the gateway.
type gatewayProcess struct {
	name, front, ready, peers, metrics string
	cmd                                *exec.Cmd
	exited                             chan struct{}
}

// startGateway starts a gateway process, with the processes before it as seeds.
func (r *rig) startGateway(values standin.ProcessSettings) (*gatewayProcess, error) {
	g := &gatewayProcess{name: fmt.Sprintf("front-%d", len(r.gateways)+1), exited: make(chan struct{})}
	for _, address := range []*string{&g.front, &g.ready, &g.peers, &g.metrics} {
		var err error
		if *address, err = fleet.FreeLoopbackAddress(); err != nil {
			return nil, err
		}
	}
	if values.StoreAddress == "" {
		values.StoreAddress = r.storeAddress
	}
	values.Host, values.IP, values.ListenCallers, values.ListenReady, values.ListenPeers = g.name, "127.0.0.1", g.front, g.ready, g.peers
	values.Seeds = []string{g.peers}
	for _, other := range r.gateways {
		values.Seeds = append(values.Seeds, other.peers)
	}
	settings := filepath.Join(r.dir, g.name+".conf")
	if err := os.WriteFile(settings, []byte(standin.SettingsFile(values)), 0o600); err != nil {
		return nil, err
	}
	logFile, err := os.Create(filepath.Join(r.dir, g.name+".log"))
	if err != nil {
		return nil, err
	}
	g.cmd = exec.Command(gatewayBinary, "--log-format", "json", "--metrics-listen", g.metrics)
	g.cmd.Env = append(os.Environ(), platform.SettingsPathVariable+"="+settings)
	g.cmd.Stdout, g.cmd.Stderr = logFile, logFile
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		err := g.cmd.Wait()
		r.log("%s ended: %v", g.name, err)
		close(g.exited)
	}()
	r.gateways = append(r.gateways, g)
	return g, nil
}

// awaitReady waits until a gateway answers its readiness check with 200.
func (r *rig) awaitReady(g *gatewayProcess) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + g.ready + standin.PathReady)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", g.name)
}

// close ends all processes of the run.
func (r *rig) close() {
	for _, g := range r.gateways {
		_ = g.cmd.Process.Kill()
		<-g.exited
	}
	_ = os.RemoveAll(r.dir)
	_ = r.out.Close()
}

// answer is what a client got to one request.
type answer struct {
	status int
	header http.Header
	body   []byte
	// err is set if the answer is not complete.
	err error
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, request id %q, seal %q, %d bytes of body, error %v", a.status, a.header.Get(standin.HeaderRequestID), a.header.Get(standin.HeaderSeal), len(a.body), a.err)
}

// send writes the bytes of a request on a connection of its own and reads the answer.
func send(address, request string, timeout time.Duration) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(conn, request); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(conn))
}

func readAnswer(from *bufio.Reader) answer {
	resp, err := http.ReadResponse(from, nil)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, body, err}
}

// head returns the first lines of a proper request.
func head(method, path, id string, more ...string) string {
	lines := append([]string{
		method + " " + path + " HTTP/1.1", "Host: " + routeHost, standin.HeaderRequestID + ": " + id,
		standin.HeaderDeadline + ": 20000", "Authorization: Bearer " + apiKey,
	}, more...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(couldNotRun)
	}
	play, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(couldNotRun)
	}
	r, err := newRig(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNotRun)
	}
	broken, err := play(r)
	switch {
	case err != nil:
		r.log("could not run: %v", err)
	case broken:
		r.log("RULE BROKEN")
	default:
		r.log("rule held")
	}
	r.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNotRun)
	case broken:
		os.Exit(ruleBroken)
	}
	os.Exit(ruleHeld)
}
