package gateway

import (
	"net/http"

	"filbertdeck/internal/call"
	"filbertdeck/internal/directory"
)

// engineClient returns the client for calls of a target's own interface: through other
// hosts while this host has lost its service.
func (g *Gateway) engineClient(t directory.Target) call.EngineClient {
	if g.cfg.Relay == nil || !g.paths.isLost(t.Service) {
		return g.cfg.Engines
	}
	return g.cfg.Engines.Through(relayTransport{g.cfg.Relay, t})
}

// relayTransport is an http.RoundTripper to a target through other hosts.
type relayTransport struct {
	relay  Relay
	target directory.Target
}

// RoundTrip implements http.RoundTripper.
func (t relayTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	attempt := &call.Attempt{Request: &call.Request{}, Target: t.target, Management: true}
	return t.relay.Do(req, attempt, func() error { return req.Context().Err() })
}
