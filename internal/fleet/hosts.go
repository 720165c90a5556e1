package fleet

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"filbertdeck/internal/failure"
)

// Host is one host of the deployment with its entry and its control process.
type Host struct {
	Name, DataCentre                              string
	ClientAddress, PeerAddress, EntryAdminAddress string
	ControlAddress, ControlAdminAddress           string
	EntryProcess, ControlProcess                  *Process
	entryArgs, controlArgs                        []string
}

func (f *Fleet) allocateHosts() error {
	for i, dataCentre := range f.spec.Hosts {
		h := &Host{Name: "host-" + strconv.Itoa(i+1), DataCentre: dataCentre}
		for _, address := range []*string{&h.ClientAddress, &h.PeerAddress, &h.EntryAdminAddress, &h.ControlAddress, &h.ControlAdminAddress} {
			freeAddress, err := FreeLoopbackAddress()
			if err != nil {
				return err
			}
			*address = freeAddress
		}
		f.Hosts = append(f.Hosts, h)
	}
	for _, h := range f.Hosts {
		f.buildArgs(h)
	}
	return nil
}

func (f *Fleet) buildArgs(h *Host) {
	commonArgs := append(f.transportArgs(), "--host", h.Name, "--data-centre", h.DataCentre, "--stop-notice", "200ms")
	h.controlArgs = append(append(append([]string{}, commonArgs...),
		"--listen", h.ControlAddress, "--admin-listen", h.ControlAdminAddress, "--platform", f.Platform.Address,
		"--operator-key-sha256", KeyDigest(OperatorKey), "--monitor-key-sha256", KeyDigest(MonitorKey)), f.spec.ControlArgs...)
	h.entryArgs = append(append([]string{}, commonArgs...),
		"--listen", h.ClientAddress, "--peer-listen", h.PeerAddress, "--admin-listen", h.EntryAdminAddress, "--key-ring", f.keyRingPath,
		"--control", h.ControlAddress)
	for _, other := range f.Hosts {
		if other != h && other.DataCentre == h.DataCentre {
			h.entryArgs = append(h.entryArgs, "--control", other.ControlAddress)
		}
	}
	h.entryArgs = append(h.entryArgs, f.spec.EntryArgs...)
}

func (f *Fleet) transportArgs() []string {
	if files := f.spec.TLS; files != nil {
		return []string{"--tls-cert", files.Cert, "--tls-key", files.Key, "--tls-ca", files.CA}
	}
	return []string{"--plain-text"}
}

// StartHost starts both processes of a host. It also restarts a host whose
// processes have exited.
func (f *Fleet) StartHost(h *Host) error {
	if err := f.StartControl(h); err != nil {
		return err
	}
	return f.StartEntry(h)
}

// StartControl starts the host's control process.
func (f *Fleet) StartControl(h *Host) error {
	p, err := startProcess(f.spec.BinDir, "filbert-control", h.Name+"-control", h.controlArgs...)
	if err != nil {
		return err
	}
	f.track(p)
	h.ControlProcess = p
	return nil
}

// StartEntry starts the host's entry process.
func (f *Fleet) StartEntry(h *Host) error {
	p, err := startProcess(f.spec.BinDir, "filbert-entry", h.Name+"-entry", h.entryArgs...)
	if err != nil {
		return err
	}
	f.track(p)
	h.EntryProcess = p
	return nil
}

// readyPollInterval is the interval between readiness checks of a starting
// entry.
const readyPollInterval = 20 * time.Millisecond

// WaitReady waits until every entry reports ready. It fails when an entry exits
// or ctx ends first.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, h := range f.Hosts {
		if err := f.waitEntryReady(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) waitEntryReady(ctx context.Context, h *Host) error {
	for {
		resp, err := f.httpClient.Get(f.scheme() + "://" + h.ClientAddress + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusNoContent {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return failure.New(failure.KindNotReady, "%s did not become ready in time\nentry: %s\ncontrol: %s", h.Name, h.EntryProcess.LogTail(), h.ControlProcess.LogTail())
		case <-h.EntryProcess.Exited():
			return failure.New(failure.KindInternal, "entry of %s exited before it was ready: %s", h.Name, h.EntryProcess.LogTail())
		case <-time.After(readyPollInterval):
		}
	}
}
