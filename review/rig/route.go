package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"filbertdeck/platform/standin"
)

// wrongRoute splits a route, and has clients book on paths of both parts, some with a slash inside
// of a segment. The rule is broken if a booking is run by the service of a route whose prefix
// doesn't begin its path, as it was sent.
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
		r.log("version 2 adds a route with the prefix /b/crew/ to the service crew")
		r.store.Put("op/config", config(2, pathRoute("r-2", "/b/crew/", "crew")))
		time.Sleep(3 * time.Second)
		split = "crew"
	}
	requests := [][2]string{{"/b/order/7", "app"}, {"/b/crew/7", split}, {"/b/crew", "app"}, {"/b/crew%2F7", "app"}, {"/b/crew%2f7/confirm", "app"}, {"/b/order%2F7", "app"}}
	broken := false
	for i, q := range requests {
		id := fmt.Sprintf("r-%d", i+1)
		r.log("client sends %s: POST %s", id, q[0])
		got := send(g.front, head("POST", q[0], id, "Content-Length: 0"), 10*time.Second)
		r.log("client got %s: %s %q", id, got, got.body)
		mu.Lock()
		if by := ranBy[id]; by != "" && by != q[1] {
			r.log("%s with the path %s was run by %s; the longest prefix that begins it leads to %s", id, q[0], by, q[1])
			broken = true
		}
		mu.Unlock()
	}
	return broken, nil
}
