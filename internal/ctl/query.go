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

// maxResponseBytes limits the response of a control process; 11,000 accounts
// take some 3 MB.
const maxResponseBytes = 64 << 20

// response is the response of one control process, or the problem that
// prevented it.
type response[T any] struct {
	Control string `json:"control"`
	Problem string `json:"problem,omitempty"`
	Value   *T     `json:"answer,omitempty"`
}

// queryAll queries all control processes concurrently; the responses are in the
// order of the command line. The second result reports whether all of them
// responded.
func queryAll[T any](ctx context.Context, c *command, path string) ([]response[T], bool, error) {
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
	responses := make([]response[T], len(c.Control))
	var wg sync.WaitGroup
	for i, control := range c.Control {
		responses[i].Control = control
		wg.Go(func() {
			document, err := fetch[T](ctx, client, scheme+"://"+control+path, c.Token)
			if err != nil {
				responses[i].Problem = err.Error()
				return
			}
			responses[i].Value = document
		})
	}
	wg.Wait()
	allReached := true
	for _, a := range responses {
		if a.Value == nil {
			allReached = false
			writef(c.stderr, "filbertctl: %s could not be asked: %s\n", a.Control, a.Problem)
		}
	}
	return responses, allReached, nil
}

// client returns an HTTP client and the URL scheme to use.
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
	dec := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes))
	if resp.StatusCode != http.StatusOK {
		var problem failure.Problem
		if err := dec.Decode(&problem); err != nil {
			return nil, failure.New(failure.KindControlLost, "answer %d", resp.StatusCode)
		}
		return nil, failure.FromProblem(problem)
	}
	document := new(T)
	if err := dec.Decode(document); err != nil {
		return nil, failure.Wrap(err, failure.KindControlLost, "answer is no JSON")
	}
	return document, nil
}

// firstResponse returns the value of the first successful response, nil if
// there is none.
func firstResponse[T any](responses []response[T]) *T {
	for _, a := range responses {
		if a.Value != nil {
			return a.Value
		}
	}
	return nil
}
