package fleet

import (
	"bytes"
	"encoding/json"
	"net/http"

	"filbertdeck/internal/configservice"
	"filbertdeck/internal/failure"
)

// PublishAll writes the table, the host list and the target list to the
// platform's configuration service.
func (f *Fleet) PublishAll() error {
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

// PublishHosts writes the host list. Hosts named in leaving get the state
// "leaving".
func (f *Fleet) PublishHosts(leaving map[string]bool) error {
	f.revision++
	doc := hostsDocument{Revision: f.revision}
	for _, h := range f.Hosts {
		doc.Hosts = append(doc.Hosts, configservice.Host{
			Name: h.Name, DataCentre: h.DataCentre, Entry: h.PeerAddress, Control: h.ControlAddress, State: listedState(leaving[h.Name]),
		})
	}
	return f.putJSON(configservice.KeyHosts, doc)
}

// PublishTargets writes the target list. Targets named in leaving get the state
// "leaving".
func (f *Fleet) PublishTargets(leaving map[string]bool) error {
	f.revision++
	doc := targetsDocument{Revision: f.revision}
	addTargets := func(targets []*Target, services []string) {
		for _, t := range targets {
			for _, s := range services {
				doc.Targets = append(doc.Targets, configservice.Target{
					Service: s, Address: t.Address, DataCentre: t.DataCentre, State: listedState(leaving[t.Name]),
				})
			}
		}
	}
	addTargets(f.Engines, f.spec.EngineServices)
	addTargets(f.Apps, f.spec.AppServices)
	return f.putJSON(configservice.KeyTargets, doc)
}

func listedState(leaving bool) configservice.State {
	if leaving {
		return configservice.StateLeaving
	}
	return configservice.StateLive
}

func (f *Fleet) putJSON(key string, doc any) error {
	body, err := json.Marshal(doc)
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "cannot encode document %s", key)
	}
	return f.PutValue(key, string(body))
}

// PutValue writes a value to the platform stand-in, as an operator does through the
// configuration service.
func (f *Fleet) PutValue(key, value string) error {
	return f.sendAdmin(http.MethodPut, "http://"+f.Platform.Address+"/admin/values/"+key, []byte(value))
}

// SetFault makes a target stand-in inject the fault that the JSON body describes.
func (f *Fleet) SetFault(t *Target, body string) error {
	return f.sendAdmin(http.MethodPost, "http://"+t.Address+"/admin/fault", []byte(body))
}

// SetPlatformMode sets the failure mode of the platform stand-in from a JSON body.
func (f *Fleet) SetPlatformMode(body string) error {
	return f.sendAdmin(http.MethodPost, "http://"+f.Platform.Address+"/admin/mode", []byte(body))
}

func (f *Fleet) sendAdmin(method, url string, body []byte) error {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "cannot create the request")
	}
	resp, err := f.httpClient.Do(req)
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "request to a stand-in failed")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return failure.New(failure.KindInternal, "stand-in returned status %d for %s %s", resp.StatusCode, method, url)
	}
	return nil
}

// GetJSON fetches url from one of the deployment's HTTP interfaces and decodes
// the JSON response into dst.
func (f *Fleet) GetJSON(url string, dst any) error {
	resp, err := f.httpClient.Get(url)
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "cannot read %s", url)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(dst); err != nil {
		return failure.Wrap(err, failure.KindInternal, "cannot decode the response of %s", url)
	}
	return nil
}
