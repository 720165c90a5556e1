package main

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"filbertdeck/platform/standin"
)

// pathRoute returns a route of the unsafe kind.
func pathRoute(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": routeHost, "prefix": prefix, "route_type": "unsafe", "timeout_ms": 5000,
		"latency_target_ms": 150, "priority": 1, "service": service, "max_attempts": 1,
	}
}

// pathConfig returns a desired state with some routes.
func pathConfig(version int, service string, routes ...any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 110}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "clinic", "api_keys": []string{apiKey}}},
	}
}

// changedPath adds a public route for the rest of a host, and has clients send requests to it, some
// without a key. The rule is broken if the server runs a request with another path than its client
// sent.
func changedPath(r *rig) (bool, error) {
	var mu sync.Mutex
	ran := map[string]string{}
	address, err := r.serve(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		id := req.Header.Get(standin.HeaderRequestID)
		if id == "" {
			return
		}
		mu.Lock()
		ran[id] = req.URL.Path
		mu.Unlock()
		r.log("server runs %s: %s %s, path %s, tenant %q", id, req.Method, req.RequestURI, req.URL.Path, req.Header.Get(standin.HeaderTenant))
		w.Header().Set(standin.HeaderRequestID, id)
		w.Header().Set(standin.HeaderSeal, "seal-"+id)
		_, _ = io.WriteString(w, "booked "+req.URL.Path)
	}))
	if err != nil {
		return false, err
	}
	r.store.Put("op/config", pathConfig(1, "app", pathRoute("r-1", "/b/", "app")))
	r.store.PutServer("i-1", "app", address, "ready")
	g, err := r.startGateway(standin.ProcessSettings{})
	if err != nil {
		return false, err
	}
	if err := r.awaitReady(g); err != nil {
		return false, err
	}
	if r.trouble {
		r.log("version 2 adds a public route with the prefix /")
		rest := pathRoute("r-2", "/", "app")
		rest["public"] = true
		r.store.Put("op/config", pathConfig(2, "app", pathRoute("r-1", "/b/", "app"), rest))
		time.Sleep(3 * time.Second)
	}
	sent := map[string]string{}
	for i, q := range []struct {
		path string
		key  bool
	}{
		{"/b/cancel/7", true}, {"/b/cancel/7", false}, {"/c/crew/7", false}, {"/c//crew/7", false},
		{"//crew/7", false}, {"//crew/b/cancel/7", false}, {"//crew/b/cancel/7?all=1", true},
	} {
		id := fmt.Sprintf("r-%d", i+1)
		sent[id], _, _ = strings.Cut(q.path, "?")
		request := head("POST", q.path, id, "Content-Length: 0")
		if !q.key {
			request = strings.Replace(request, "Authorization: Bearer "+apiKey+"\r\n", "", 1)
		}
		r.log("client sends %s: POST %s, with a key %t", id, q.path, q.key)
		got := send(g.front, request, 10*time.Second)
		r.log("client got %s: %s", id, got)
	}
	mu.Lock()
	defer mu.Unlock()
	broken := false
	for _, id := range slices.Sorted(maps.Keys(ran)) {
		if ran[id] != sent[id] {
			r.log("%s was sent with the path %s and run with %s", id, sent[id], ran[id])
			broken = true
		}
	}
	return broken, nil
}
