package fleet

import (
	"bytes"
	"encoding/json"
	"net/http"

	"filbertdeck/internal/configservice"
	"filbertdeck/internal/failure"
)

// Publish writes the documents of the platform that describe the deployment.
func (f *Fleet) Publish() error {
	if err := f.PutValue("table/0001", f.spec.Table); err != nil {
		return err
	}
	if err := f.PublishHosts(nil); err != nil {
		return err
	}
	return f.PublishTargets(nil)
}

type hostsDocument struct {
	Revision uint64               `json:"revision"`
	Hosts    []configservice.Host `json:"hosts"`
}

type targetsDocument struct {
	Revision uint64                 `json:"revision"`
	Targets  []configservice.Target `json:"targets"`
}

// PublishHosts writes the host list; hosts in leaving are marked so.
func (f *Fleet) PublishHosts(leaving map[string]bool) error {
	f.edits++
	doc := hostsDocument{Revision: f.edits}
	for _, h := range f.Hosts {
		doc.Hosts = append(doc.Hosts, configservice.Host{
			Name: h.Name, DataCentre: h.DataCentre, Entry: h.PeerAddress, Control: h.ControlAddress, State: stateOf(leaving[h.Name]),
		})
	}
	return f.putJSON(configservice.KeyHosts, doc)
}

// PublishTargets writes the target list; targets in leaving are marked so.
func (f *Fleet) PublishTargets(leaving map[string]bool) error {
	f.edits++
	doc := targetsDocument{Revision: f.edits}
	add := func(targets []*Target, services []string) {
		for _, t := range targets {
			for _, s := range services {
				doc.Targets = append(doc.Targets, configservice.Target{
					Service: s, Address: t.Address, DataCentre: t.DataCentre, State: stateOf(leaving[t.Name]),
				})
			}
		}
	}
	add(f.Engines, f.spec.EngineServices)
	add(f.Apps, f.spec.AppServices)
	return f.putJSON(configservice.KeyTargets, doc)
}

func stateOf(leaving bool) configservice.State {
	if leaving {
		return configservice.StateLeaving
	}
	return configservice.StateLive
}

func (f *Fleet) putJSON(key string, doc any) error {
	body, err := json.Marshal(doc)
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "document %s cannot be written", key)
	}
	return f.PutValue(key, string(body))
}

// PutValue writes a value of the platform stand-in, as an operator would.
func (f *Fleet) PutValue(key, value string) error {
	return f.send(http.MethodPut, "http://"+f.Platform.Address+"/admin/values/"+key, []byte(value))
}

// SetFault sets a fault of a stand-in.
func (f *Fleet) SetFault(t *Target, body string) error {
	return f.send(http.MethodPost, "http://"+t.Address+"/admin/fault", []byte(body))
}

// SetPlatformMode sets the mode of the platform stand-in.
func (f *Fleet) SetPlatformMode(body string) error {
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
