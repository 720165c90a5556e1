package fleet

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"filbertdeck/internal/failure"
)

// Host is one entry host.
type Host struct {
	Name, DataCentre                              string
	ClientAddress, PeerAddress, EntryAdminAddress string
	ControlAddress, ControlAdminAddress           string
	EntryProcess, ControlProcess                  *Process
	entryCommand, controlCommand                  []string
}

func (f *Fleet) planHosts() error {
	for i, centre := range f.spec.Hosts {
		h := &Host{Name: "host-" + strconv.Itoa(i+1), DataCentre: centre}
		for _, address := range []*string{&h.ClientAddress, &h.PeerAddress, &h.EntryAdminAddress, &h.ControlAddress, &h.ControlAdminAddress} {
			free, err := FreeAddress()
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
		"--listen", h.ControlAddress, "--admin-listen", h.ControlAdminAddress, "--platform", f.Platform.Address,
		"--operator-key-sha256", KeyDigest(OperatorKey), "--monitor-key-sha256", KeyDigest(MonitorKey)), f.spec.ControlArgs...)
	h.entryCommand = append(append([]string{}, common...),
		"--listen", h.ClientAddress, "--peer-listen", h.PeerAddress, "--admin-listen", h.EntryAdminAddress, "--key-ring", f.ring,
		"--control", h.ControlAddress)
	for _, other := range f.Hosts {
		if other != h && other.DataCentre == h.DataCentre {
			h.entryCommand = append(h.entryCommand, "--control", other.ControlAddress)
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
	h.EntryProcess = p
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
		resp, err := f.http.Get(f.scheme() + "://" + h.ClientAddress + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusNoContent {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return failure.New(failure.KindNotReady, "%s is not ready in time\nentry: %s\ncontrol: %s", h.Name, h.EntryProcess.Log(), h.ControlProcess.Log())
		case <-h.EntryProcess.Done():
			return failure.New(failure.KindInternal, "entry of %s ended: %s", h.Name, h.EntryProcess.Log())
		case <-time.After(readyEvery):
		}
	}
}
