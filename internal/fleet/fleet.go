package fleet

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/tlsfiles"
)

// Spec describes a deployment.
type Spec struct {
	// BinDir is the directory of the compiled programs.
	BinDir string
	// Hosts, Engines and Apps hold one entry per process: the name of its data
	// centre.
	Hosts   []string
	Engines []string
	Apps    []string
	// EngineArgs are additional command line arguments of the engine stand-ins.
	EngineArgs []string
	// Table is the operators' table in CSV.
	Table string
	// EngineServices and AppServices name the services that every engine and
	// every plain service stand-in serves.
	EngineServices, AppServices []string
	// EntryArgs and ControlArgs are additional command line arguments of the
	// entry and control processes.
	EntryArgs, ControlArgs []string
	// TLS names the certificate files of the hosts; nil means plain text.
	TLS *tlsfiles.Files
}

// Target is a stand-in process for a target or for the platform.
type Target struct {
	Name, DataCentre, Address string
	Process                   *Process
	args                      []string
}

// Fleet is a running deployment.
type Fleet struct {
	spec        Spec
	tempDir     string
	keyRingPath string
	Platform    *Target
	Engines     []*Target
	Apps        []*Target
	Hosts       []*Host

	mu         sync.Mutex
	processes  []*Process
	revision   uint64
	httpClient *http.Client
}

// MonitorKey and OperatorKey are the keys for the administration interface of
// every deployment that this package starts.
const (
	MonitorKey  = "demo-monitor-key"
	OperatorKey = "demo-operator-key"
)

// KeyDigest returns the hex-encoded SHA-256 digest under which the table lists an
// API key.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Start starts the deployment and waits until every entry reports ready.
func Start(ctx context.Context, spec Spec) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "filbert-fleet-")
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "cannot create a directory for the key ring")
	}
	f := &Fleet{spec: spec, tempDir: dir, httpClient: &http.Client{Timeout: 5 * time.Second}}
	if err := f.startAll(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startAll(ctx context.Context) error {
	if err := f.loadCA(); err != nil {
		return err
	}
	if err := f.writeKeyRing(); err != nil {
		return err
	}
	if err := f.startTargets(); err != nil {
		return err
	}
	if err := f.allocateHosts(); err != nil {
		return err
	}
	if err := f.PublishAll(); err != nil {
		return err
	}
	for _, h := range f.Hosts {
		if err := f.StartHost(h); err != nil {
			return err
		}
	}
	return f.WaitReady(ctx)
}

// writeKeyRing writes the key ring file that all entries share.
func (f *Fleet) writeKeyRing() error {
	key := make([]byte, 32)
	_, _ = rand.Read(key)
	f.keyRingPath = filepath.Join(f.tempDir, "ring")
	text := "1:" + base64.StdEncoding.EncodeToString(key) + "\n"
	if err := os.WriteFile(f.keyRingPath, []byte(text), 0o600); err != nil {
		return failure.Wrap(err, failure.KindInternal, "cannot write the key ring")
	}
	return nil
}

func (f *Fleet) track(p *Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, p)
}

func (f *Fleet) startTargets() error {
	var err error
	if f.Platform, err = f.startTarget("platform", "", "platform"); err != nil {
		return err
	}
	for i, dataCentre := range f.spec.Engines {
		args := append([]string{"engine", "--seed", strconv.Itoa(i + 1)}, f.spec.EngineArgs...)
		t, err := f.startTarget("engine-"+strconv.Itoa(i+1), dataCentre, args...)
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, t)
	}
	for i, dataCentre := range f.spec.Apps {
		t, err := f.startTarget("app-"+strconv.Itoa(i+1), dataCentre, "app")
		if err != nil {
			return err
		}
		f.Apps = append(f.Apps, t)
	}
	return nil
}

func (f *Fleet) startTarget(name, dataCentre string, args ...string) (*Target, error) {
	p, address, err := startStandin(f.spec.BinDir, name, args...)
	if err != nil {
		return nil, err
	}
	f.track(p)
	return &Target{Name: name, DataCentre: dataCentre, Address: address, Process: p, args: args}, nil
}

// RestartTarget restarts a stand-in that has exited, on its previous address.
func (f *Fleet) RestartTarget(t *Target) error {
	p, _, err := startStandin(f.spec.BinDir, t.Name, append(append([]string{}, t.args...), "--listen", t.Address)...)
	if err != nil {
		return err
	}
	f.track(p)
	t.Process = p
	return nil
}

// scheme returns the URL scheme of the caller and administration interfaces.
func (f *Fleet) scheme() string {
	if f.spec.TLS != nil {
		return "https"
	}
	return "http"
}

// loadCA makes the HTTP client trust the deployment's certificate authority.
func (f *Fleet) loadCA() error {
	if f.spec.TLS == nil {
		return nil
	}
	pem, err := os.ReadFile(f.spec.TLS.CA)
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "cannot read the CA certificate")
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(pem)
	f.httpClient.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}}
	return nil
}

// HTTPClient returns a client that trusts the deployment's certificates.
func (f *Fleet) HTTPClient() *http.Client { return f.httpClient }

// stopTimeout bounds the graceful stop of each process in Close.
const stopTimeout = 10 * time.Second

// Close stops all processes of the deployment at once, gracefully within
// stopTimeout and with SIGKILL after that, and removes the temporary files.
func (f *Fleet) Close() {
	f.mu.Lock()
	processes := f.processes
	f.processes = nil
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, p := range processes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.Stop(stopTimeout)
		}()
	}
	wg.Wait()
	_ = os.RemoveAll(f.tempDir)
}
