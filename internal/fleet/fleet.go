package fleet

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/platform"
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

// Host is one entry host.
type Host struct {
	Name, DataCentre             string
	Callers, Peer, EntryAdmin    string
	Control, ControlAdmin        string
	Entry, ControlProcess        *Process
	entryCommand, controlCommand []string
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

// Digest gives the form in which the table holds a key.
func Digest(key string) string {
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

func (f *Fleet) planHosts() error {
	for i, centre := range f.spec.Hosts {
		h := &Host{Name: "host-" + strconv.Itoa(i+1), DataCentre: centre}
		for _, address := range []*string{&h.Callers, &h.Peer, &h.EntryAdmin, &h.Control, &h.ControlAdmin} {
			free, err := freeAddress()
			if err != nil {
				return err
			}
			*address = free
		}
		f.Hosts = append(f.Hosts, h)
	}
	for _, h := range f.Hosts {
		f.planCommands(h)
	}
	return nil
}

func (f *Fleet) planCommands(h *Host) {
	common := append(f.transportArgs(), "--host", h.Name, "--data-centre", h.DataCentre, "--stop-notice", "200ms")
	h.controlCommand = append(append(append([]string{}, common...),
		"--listen", h.Control, "--admin-listen", h.ControlAdmin, "--platform", f.Platform.Address,
		"--operator-key-sha256", Digest(OperatorKey), "--monitor-key-sha256", Digest(MonitorKey)), f.spec.ControlArgs...)
	h.entryCommand = append(append([]string{}, common...),
		"--listen", h.Callers, "--peer-listen", h.Peer, "--admin-listen", h.EntryAdmin, "--key-ring", f.ring,
		"--control", h.Control)
	for _, other := range f.Hosts {
		if other != h && other.DataCentre == h.DataCentre {
			h.entryCommand = append(h.entryCommand, "--control", other.Control)
		}
	}
	h.entryCommand = append(h.entryCommand, f.spec.EntryArgs...)
}

func (f *Fleet) transportArgs() []string {
	if t := f.spec.TLS; t != nil {
		return []string{"--tls-cert", t.Cert, "--tls-key", t.Key, "--tls-ca", t.CA}
	}
	return []string{"--plain-text"}
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

// StartHost starts both processes of a host, again if they ended.
func (f *Fleet) StartHost(h *Host) error {
	if err := f.StartControl(h); err != nil {
		return err
	}
	return f.StartEntry(h)
}

// StartControl starts the host's control process.
func (f *Fleet) StartControl(h *Host) error {
	p, err := serving(f.spec.BinDir, "filbert-control", h.Name+"-control", h.controlCommand...)
	if err != nil {
		return err
	}
	f.keep(p)
	h.ControlProcess = p
	return nil
}

// StartEntry starts the host's entry process.
func (f *Fleet) StartEntry(h *Host) error {
	p, err := serving(f.spec.BinDir, "filbert-entry", h.Name+"-entry", h.entryCommand...)
	if err != nil {
		return err
	}
	f.keep(p)
	h.Entry = p
	return nil
}

// readyEvery is how often a process that starts is asked for its readiness.
const readyEvery = 20 * time.Millisecond

// WaitReady waits until every entry that runs is ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, h := range f.Hosts {
		if err := f.waitEntry(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) waitEntry(ctx context.Context, h *Host) error {
	for {
		resp, err := f.http.Get(f.scheme() + "://" + h.Callers + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusNoContent {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return failure.New(failure.KindNotReady, "%s is not ready in time\nentry: %s\ncontrol: %s", h.Name, h.Entry.Log(), h.ControlProcess.Log())
		case <-h.Entry.Done():
			return failure.New(failure.KindInternal, "entry of %s ended: %s", h.Name, h.Entry.Log())
		case <-time.After(readyEvery):
		}
	}
}

// Publish writes the documents of the platform that describe the deployment.
func (f *Fleet) Publish() error {
	if err := f.Put("table/0001", f.spec.Table); err != nil {
		return err
	}
	if err := f.PublishHosts(nil); err != nil {
		return err
	}
	return f.PublishTargets(nil)
}

type hostsDocument struct {
	Revision uint64          `json:"revision"`
	Hosts    []platform.Host `json:"hosts"`
}

type targetsDocument struct {
	Revision uint64            `json:"revision"`
	Targets  []platform.Target `json:"targets"`
}

// PublishHosts writes the host list; hosts in leaving are marked so.
func (f *Fleet) PublishHosts(leaving map[string]bool) error {
	f.edits++
	doc := hostsDocument{Revision: f.edits}
	for _, h := range f.Hosts {
		doc.Hosts = append(doc.Hosts, platform.Host{
			Name: h.Name, DataCentre: h.DataCentre, Entry: h.Peer, Control: h.Control, State: stateOf(leaving[h.Name]),
		})
	}
	return f.putJSON(platform.KeyHosts, doc)
}

// PublishTargets writes the target list; targets in leaving are marked so.
func (f *Fleet) PublishTargets(leaving map[string]bool) error {
	f.edits++
	doc := targetsDocument{Revision: f.edits}
	add := func(targets []*Target, services []string) {
		for _, t := range targets {
			for _, s := range services {
				doc.Targets = append(doc.Targets, platform.Target{
					Service: s, Address: t.Address, DataCentre: t.DataCentre, State: stateOf(leaving[t.Name]),
				})
			}
		}
	}
	add(f.Engines, f.spec.EngineServices)
	add(f.Apps, f.spec.AppServices)
	return f.putJSON(platform.KeyTargets, doc)
}

func stateOf(leaving bool) platform.State {
	if leaving {
		return platform.StateLeaving
	}
	return platform.StateLive
}

func (f *Fleet) putJSON(key string, doc any) error {
	body, err := json.Marshal(doc)
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "document %s cannot be written", key)
	}
	return f.Put(key, string(body))
}

// Put writes a value of the platform stand-in, as an operator would.
func (f *Fleet) Put(key, value string) error {
	return f.send(http.MethodPut, "http://"+f.Platform.Address+"/admin/values/"+key, []byte(value))
}

// Fault sets a fault of a stand-in.
func (f *Fleet) Fault(t *Target, body string) error {
	return f.send(http.MethodPost, "http://"+t.Address+"/admin/fault", []byte(body))
}

// PlatformMode sets the mode of the platform stand-in.
func (f *Fleet) PlatformMode(body string) error {
	return f.send(http.MethodPost, "http://"+f.Platform.Address+"/admin/mode", []byte(body))
}

func (f *Fleet) send(method, url string, body []byte) error {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "request to a stand-in")
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "request to a stand-in")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return failure.New(failure.KindInternal, "the stand-in answered %d to %s %s", resp.StatusCode, method, url)
	}
	return nil
}

// GetJSON reads a document of one of the deployment's HTTP interfaces.
func (f *Fleet) GetJSON(url string, into any) error {
	resp, err := f.http.Get(url)
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "reading %s", url)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return failure.Wrap(err, failure.KindInternal, "reading %s", url)
	}
	return nil
}

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
