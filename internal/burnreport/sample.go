package burnreport

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"filbertdeck/internal/adminapi"
	"filbertdeck/internal/failure"
)

// Sample holds the responses of all control processes at one time.
type Sample struct {
	Time  time.Time `json:"at"`
	Hosts []Host    `json:"hosts"`
}

// Host is the response of one control process. If there is none, Problem gives
// the reason.
type Host struct {
	Control    string                       `json:"control"`
	Problem    string                       `json:"problem,omitempty"`
	Accounting *adminapi.AccountingDocument `json:"accounting,omitempty"`
	Accounts   *adminapi.AccountsDocument   `json:"accounts,omitempty"`
	Rollout    *adminapi.RolloutDocument    `json:"rollout,omitempty"`
	Targets    *adminapi.TargetsDocument    `json:"targets,omitempty"`
}

// Collector reads the administration APIs of the control processes.
type Collector struct {
	ControlAddresses []string
	AdminKey         string
	Scheme           string
	Client           *http.Client
}

// maxDocumentBytes limits the size of one response.
const maxDocumentBytes = 64 << 20

// Collect reads all control processes in parallel.
func (c *Collector) Collect(ctx context.Context) Sample {
	s := Sample{Time: time.Now(), Hosts: make([]Host, len(c.ControlAddresses))}
	var wg sync.WaitGroup
	for i, address := range c.ControlAddresses {
		wg.Go(func() { s.Hosts[i] = c.fetchHost(ctx, address) })
	}
	wg.Wait()
	return s
}

func (c *Collector) fetchHost(ctx context.Context, address string) Host {
	h := Host{
		Control: address, Accounting: &adminapi.AccountingDocument{}, Accounts: &adminapi.AccountsDocument{},
		Rollout: &adminapi.RolloutDocument{}, Targets: &adminapi.TargetsDocument{},
	}
	documents := []struct {
		path string
		into any
	}{
		{"/admin/v1/accounting", h.Accounting},
		{"/admin/v1/accounts", h.Accounts},
		{"/admin/v1/rollout", h.Rollout},
		{"/admin/v1/targets", h.Targets},
	}
	for _, d := range documents {
		if err := c.fetchDocument(ctx, address, d.path, d.into); err != nil {
			return Host{Control: address, Problem: err.Error()}
		}
	}
	return h
}

func (c *Collector) fetchDocument(ctx context.Context, address, path string, dest any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.Scheme+"://"+address+path, nil)
	if err != nil {
		return failure.Wrap(err, failure.KindSettingInvalid, "address %q", address)
	}
	req.Header.Set("Authorization", "Bearer "+c.AdminKey)
	resp, err := c.Client.Do(req)
	if err != nil {
		return failure.Wrap(err, failure.KindControlLost, "%s does not answer", address)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return failure.New(failure.KindControlLost, "%s answered %s with status %d", address, path, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxDocumentBytes)).Decode(dest); err != nil {
		return failure.Wrap(err, failure.KindControlLost, "%s answered %s with an invalid document", address, path)
	}
	return nil
}
