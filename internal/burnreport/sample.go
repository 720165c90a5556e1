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

// Sample is what all control processes said at one time.
type Sample struct {
	At    time.Time `json:"at"`
	Hosts []Host    `json:"hosts"`
}

// Host is one control process's answer; Problem says why there is none.
type Host struct {
	Control    string                       `json:"control"`
	Problem    string                       `json:"problem,omitempty"`
	Accounting *adminapi.AccountingDocument `json:"accounting,omitempty"`
	Accounts   *adminapi.AccountsDocument   `json:"accounts,omitempty"`
	Rollout    *adminapi.RolloutDocument    `json:"rollout,omitempty"`
	Targets    *adminapi.TargetsDocument    `json:"targets,omitempty"`
}

// Collector reads the administration interfaces.
type Collector struct {
	ControlAddresses []string
	AdminKey         string
	Scheme           string
	Client           *http.Client
}

// maxDocument bounds one answer, in bytes.
const maxDocument = 64 << 20

// Collect asks every control process at once.
func (c *Collector) Collect(ctx context.Context) Sample {
	s := Sample{At: time.Now(), Hosts: make([]Host, len(c.ControlAddresses))}
	var wg sync.WaitGroup
	for i, control := range c.ControlAddresses {
		wg.Go(func() { s.Hosts[i] = c.host(ctx, control) })
	}
	wg.Wait()
	return s
}

func (c *Collector) host(ctx context.Context, control string) Host {
	h := Host{
		Control: control, Accounting: &adminapi.AccountingDocument{}, Accounts: &adminapi.AccountsDocument{},
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
		if err := c.get(ctx, control, d.path, d.into); err != nil {
			return Host{Control: control, Problem: err.Error()}
		}
	}
	return h
}

func (c *Collector) get(ctx context.Context, control, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.Scheme+"://"+control+path, nil)
	if err != nil {
		return failure.Wrap(err, failure.KindSettingInvalid, "address %q", control)
	}
	req.Header.Set("Authorization", "Bearer "+c.AdminKey)
	resp, err := c.Client.Do(req)
	if err != nil {
		return failure.Wrap(err, failure.KindControlLost, "%s does not answer", control)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return failure.New(failure.KindControlLost, "%s answered %s with status %d", control, path, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxDocument)).Decode(into); err != nil {
		return failure.Wrap(err, failure.KindControlLost, "%s answered %s with something that is no document", control, path)
	}
	return nil
}
