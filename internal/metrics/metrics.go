// Package metrics serves the metrics of a process as JSON over HTTP.
package metrics

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"github.com/gorilla/mux"
	gometrics "github.com/rcrowley/go-metrics"
)

// NewRegistry returns a registry that includes the Go runtime's memory metrics.
func NewRegistry() gometrics.Registry {
	r := gometrics.NewRegistry()
	gometrics.RegisterRuntimeMemStats(r)
	return r
}

// Handler serves all metrics of the registry.
func Handler(r gometrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		gometrics.CaptureRuntimeMemStatsOnce(r)
		w.Header().Set("Content-Type", "application/json")
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		_ = enc.Encode(r.GetAll())
	})
}

// Mount adds the metrics and Go's pprof profiles to an administration router.
func Mount(r *mux.Router, reg gometrics.Registry) {
	r.Handle("/metrics", Handler(reg))
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	r.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
}
