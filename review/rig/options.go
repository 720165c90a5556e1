package main

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"filbertdeck/platform/standin"
)

// unsealedSuccess has clients send requests for which there is no route. The rule is broken if one
// of them gets a success without a server's seal.
func unsealedSuccess(r *rig) (bool, error) {
	address, err := r.serve(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		id := req.Header.Get(standin.HeaderRequestID)
		if id == "" {
			return
		}
		r.log("server runs %s: %s %s", id, req.Method, req.RequestURI)
		w.Header().Set(standin.HeaderRequestID, id)
		w.Header().Set(standin.HeaderSeal, "seal-"+id)
		_, _ = io.WriteString(w, "done")
	}))
	if err != nil {
		return false, err
	}
	r.store.PutPlainConfig(1, "app", apiKey)
	r.store.PutServer("i-1", "app", address, "ready")
	g, err := r.startGateway(standin.ProcessSettings{})
	if err != nil {
		return false, err
	}
	if err := r.awaitReady(g); err != nil {
		return false, err
	}
	requests := [][2]string{{"OPTIONS", "/b/work"}, {"GET", "*"}, {"GET", "/never/7"}, {"OPTIONS", "/never/7"}}
	if r.trouble {
		requests = append(requests, [2]string{"OPTIONS", "*"})
	}
	broken := false
	for i, q := range requests {
		id := fmt.Sprintf("r-%d", i+1)
		got := send(g.front, head(q[0], q[1], id), 10*time.Second)
		r.log("%s %s %s: %s", id, q[0], q[1], got)
		if got.err == nil && got.status/100 == 2 && got.header.Get(standin.HeaderSeal) == "" {
			r.log("%s got a success without a seal", id)
			broken = true
		}
	}
	return broken, nil
}
