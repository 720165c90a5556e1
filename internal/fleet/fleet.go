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
	// BinDir holds the programs.
	BinDir string
	// Hosts, Engines and Apps name the data centre of each.
	Hosts   []string
	Engines []string
	Apps    []string
	// EngineArgs are further options of the engine stand-ins.
	EngineArgs []string
	// Table is the operators' table, CSV.
	Table string
	// EngineServices and AppServices name the services that all engines and
	// all plain stand-ins serve.
	EngineServices, AppServices []string
	// EntryArgs and ControlArgs are further options of entries and controls.
	EntryArgs, ControlArgs []string
	// TLS names the files of the hosts' identity; nil means plain text.
	TLS *tlsfiles.Files
}

// Target is one stand-in of a target.
type Target struct {
	Name, DataCentre, Address string
	Process                   *Process
	args                      []string
}

// Fleet is a deployment that runs.
type Fleet struct {
	spec     Spec
	dir      string
	ring     string
	Platform *Target
	Engines  []*Target
	Apps     []*Target
	Hosts    []*Host

	mu    sync.Mutex
	all   []*Process
	edits uint64
	http  *http.Client
}

// MonitorKey and OperatorKey open the administration interface of a
// deployment that this package started.
const (
	MonitorKey  = "demo-monitor-key"
	OperatorKey = "demo-operator-key"
)

// KeyDigest gives the form in which the table holds a key.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Start starts the deployment and waits until every entry is ready.
func Start(ctx context.Context, spec Spec) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "filbert-fleet-")
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "no place for the key ring")
	}
	f := &Fleet{spec: spec, dir: dir, http: &http.Client{Timeout: 5 * time.Second}}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.trust(); err != nil {
		return err
	}
	if err := f.writeRing(); err != nil {
		return err
	}
	if err := f.startTargets(); err != nil {
		return err
	}
	if err := f.planHosts(); err != nil {
		return err
	}
	if err := f.Publish(); err != nil {
		return err
	}
	for _, h := range f.Hosts {
		if err := f.StartHost(h); err != nil {
			return err
		}
	}
	return f.WaitReady(ctx)
}

// writeRing makes the key ring that the entries share.
func (f *Fleet) writeRing() error {
	key := make([]byte, 32)
	_, _ = rand.Read(key)
	f.ring = filepath.Join(f.dir, "ring")
	text := "1:" + base64.StdEncoding.EncodeToString(key) + "\n"
	if err := os.WriteFile(f.ring, []byte(text), 0o600); err != nil {
		return failure.Wrap(err, failure.KindInternal, "the key ring cannot be written")
	}
	return nil
}

func (f *Fleet) keep(p *Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all = append(f.all, p)
}

func (f *Fleet) startTargets() error {
	var err error
	if f.Platform, err = f.target("platform", "", "platform"); err != nil {
		return err
	}
	for i, centre := range f.spec.Engines {
		args := append([]string{"engine", "--seed", strconv.Itoa(i + 1)}, f.spec.EngineArgs...)
		t, err := f.target("engine-"+strconv.Itoa(i+1), centre, args...)
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, t)
	}
	for i, centre := range f.spec.Apps {
		t, err := f.target("app-"+strconv.Itoa(i+1), centre, "app")
		if err != nil {
			return err
		}
		f.Apps = append(f.Apps, t)
	}
	return nil
}

func (f *Fleet) target(name, centre string, args ...string) (*Target, error) {
	p, address, err := standin(f.spec.BinDir, name, args...)
	if err != nil {
		return nil, err
	}
	f.keep(p)
	return &Target{Name: name, DataCentre: centre, Address: address, Process: p, args: args}, nil
}

// RestartTarget starts a stand-in that has ended again, at its old address.
func (f *Fleet) RestartTarget(t *Target) error {
	p, _, err := standin(f.spec.BinDir, t.Name, append(append([]string{}, t.args...), "--listen", t.Address)...)
	if err != nil {
		return err
	}
	f.keep(p)
	t.Process = p
	return nil
}

// scheme is that of callers and of the administration.
func (f *Fleet) scheme() string {
	if f.spec.TLS != nil {
		return "https"
	}
	return "http"
}

// trust makes the client of this package trust the deployment's authority.
func (f *Fleet) trust() error {
	if f.spec.TLS == nil {
		return nil
	}
	pem, err := os.ReadFile(f.spec.TLS.CA)
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "the authority cannot be read")
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(pem)
	f.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}}
	return nil
}

// HTTP is a client that reaches the deployment's interfaces.
func (f *Fleet) HTTP() *http.Client { return f.http }

// stopLimit is how long processes may take to stop in order at the end.
const stopLimit = 10 * time.Second

// Close ends every process that was started, the entries in order.
func (f *Fleet) Close() {
	f.mu.Lock()
	all := f.all
	f.all = nil
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, p := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.Stop(stopLimit)
		}()
	}
	wg.Wait()
	_ = os.RemoveAll(f.dir)
}
