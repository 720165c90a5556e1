package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"filbertdeck/platform/standin"
)

// wrongRoute splits a public part off a route, and has clients book on paths of both, some with a
// slash inside of a segment, one without a key. The rule is broken if a booking is run by the service
// of a route whose prefix doesn't begin its path, as it was sent.
func wrongRoute(r *rig) (bool, error) {
	var mu sync.Mutex
	ranBy := map[string]string{}
	serveAs := func(service string) (string, error) {
		return r.serve(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			id := req.Header.Get(standin.HeaderRequestID)
			if id == "" {
				return
			}
			mu.Lock()
			ranBy[id] = service
			mu.Unlock()
			r.log("%s runs %s: %s %s", service, id, req.Method, req.RequestURI)
			w.Header().Set(standin.HeaderRequestID, id)
			w.Header().Set(standin.HeaderSeal, "seal-"+id)
			_, _ = io.WriteString(w, service)
		}))
	}
	config := func(version int, more ...any) map[string]any {
		c := pathConfig(version, "app", append([]any{pathRoute("r-1", "/b/", "app")}, more...)...)
		c["services"] = append(c["services"].([]any), map[string]any{"name": "crew", "health_path": "/health", "max_conns": 110})
		return c
	}
	r.store.Put("op/config", config(1))
	for _, service := range []string{"app", "crew"} {
		address, err := serveAs(service)
		if err != nil {
			return false, err
		}
		r.store.PutServer("i-"+service, service, address, "ready")
	}
	g, err := r.startGateway(standin.ProcessSettings{})
	if err != nil {
		return false, err
	}
	if err := r.awaitReady(g); err != nil {
		return false, err
	}
	split := "app"
	if r.trouble {
		r.log("version 2 adds a public route with the prefix /b/crew/ to the service crew")
		crew := pathRoute("r-2", "/b/crew/", "crew")
		crew["public"] = true
		r.store.Put("op/config", config(2, crew))
		time.Sleep(3 * time.Second)
		split = "crew"
	}
	// allowed is the service to which the longest prefix that begins the path leads; none without the
	// key that its route needs.
	requests := []struct {
		path, allowed string
		key           bool
	}{
		{"/b/order/7", "app", true}, {"/b/order/7", "none", false}, {"/b/crew/7", split, true}, {"/b/crew", "app", true},
		{"/b/order%2F7", "app", true}, {"/b/crew%2F7", "app", true}, {"/b/crew%2f7/confirm", "app", true}, {"/b/crew%2F7", "none", false},
	}
	broken := false
	for i, q := range requests {
		id := fmt.Sprintf("r-%d", i+1)
		request := head("POST", q.path, id, "Content-Length: 0")
		if !q.key {
			request = strings.Replace(request, "Authorization: Bearer "+apiKey+"\r\n", "", 1)
		}
		r.log("client sends %s: POST %s, with a key %t", id, q.path, q.key)
		got := send(g.front, request, 10*time.Second)
		r.log("client got %s: %s %q", id, got, got.body)
		mu.Lock()
		if by := ranBy[id]; by != "" && by != q.allowed {
			r.log("%s with the path %s, with a key %t, was run by %s; allowed: %s", id, q.path, q.key, by, q.allowed)
			broken = true
		}
		mu.Unlock()
	}
	return broken, nil
}
