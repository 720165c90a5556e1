package ctl

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"sync"

	"filbertdeck/internal/failure"
)

// maxAnswer bounds what is read from a control process; 11,000 accounts take
// some 3 MB.
const maxAnswer = 64 << 20

// answer is what one control process said, or why it said nothing.
type answer[T any] struct {
	Control string `json:"control"`
	Problem string `json:"problem,omitempty"`
	Value   *T     `json:"answer,omitempty"`
}

// ask asks every control process at once; the answers are in the order of the
// command line. The second result tells whether all answered.
func ask[T any](ctx context.Context, c *command, path string) ([]answer[T], bool, error) {
	if len(c.Control) == 0 {
		return nil, false, failure.New(failure.KindSettingInvalid, "--control or FILBERT_CONTROL: at least one ip:port is needed")
	}
	for _, a := range c.Control {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, false, failure.New(failure.KindSettingInvalid, "--control %q: allowed: ip:port", a)
		}
	}
	client, scheme, err := c.client()
	if err != nil {
		return nil, false, err
	}
	out := make([]answer[T], len(c.Control))
	var wg sync.WaitGroup
	for i, control := range c.Control {
		out[i].Control = control
		wg.Go(func() {
			v, err := fetch[T](ctx, client, scheme+"://"+control+path, c.Token)
			if err != nil {
				out[i].Problem = err.Error()
				return
			}
			out[i].Value = v
		})
	}
	wg.Wait()
	reached := true
	for _, a := range out {
		if a.Value == nil {
			reached = false
			say(c.errs, "filbertctl: %s could not be asked: %s\n", a.Control, a.Problem)
		}
	}
	return out, reached, nil
}

// client gives an HTTP client and its scheme.
func (c *command) client() (*http.Client, string, error) {
	client := &http.Client{Timeout: c.Timeout}
	if c.CA == "" {
		return client, "http", nil
	}
	pem, err := os.ReadFile(c.CA)
	if err != nil {
		return nil, "", failure.Wrap(err, failure.KindSettingInvalid, "--ca")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, "", failure.New(failure.KindSettingInvalid, "--ca %s: allowed: certificates in PEM", c.CA)
	}
	client.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}}
	return client, "https", nil
}

func fetch[T any](ctx context.Context, client *http.Client, url, token string) (*T, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "request")
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := client.Do(req)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindControlLost, "no answer")
	}
	defer func() { _ = resp.Body.Close() }()
	dec := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer))
	if resp.StatusCode != http.StatusOK {
		var p failure.Problem
		if err := dec.Decode(&p); err != nil {
			return nil, failure.New(failure.KindControlLost, "answer %d", resp.StatusCode)
		}
		return nil, failure.FromProblem(p)
	}
	v := new(T)
	if err := dec.Decode(v); err != nil {
		return nil, failure.Wrap(err, failure.KindControlLost, "answer is no JSON")
	}
	return v, nil
}

// first gives the first answer there is.
func first[T any](answers []answer[T]) *T {
	for _, a := range answers {
		if a.Value != nil {
			return a.Value
		}
	}
	return nil
}
