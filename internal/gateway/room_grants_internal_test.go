package gateway

import (
	"testing"
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/contention"
	"filbertdeck/internal/directory"
)

// Guards against grants that are asked for where neither the setting nor the objectives
// call for them, and against a request for room by the route's priority where the
// account has one of its own.
func TestPlacementRequestGrantsRoom(t *testing.T) {
	routeTo := func(priority int, objective time.Duration) directory.Route {
		return directory.Route{Kind: directory.Generation, Priority: priority, LatencyObjective: objective, Backends: []directory.Backend{{Service: "llm", Weight: 1}}}
	}
	for _, c := range []struct {
		mode          contention.Mode
		longObjective time.Duration
		want          bool
	}{
		{"", 4 * time.Second, false}, {contention.Never, 4 * time.Second, false},
		{contention.Auto, 4 * time.Second, true}, {contention.Auto, 1800 * time.Millisecond, false}, {contention.Always, 1800 * time.Millisecond, true},
	} {
		cfg := &directory.Config{Services: []directory.Service{{Name: "llm", Engine: &directory.Engine{}}}, Routes: []directory.Route{routeTo(0, 1500*time.Millisecond), routeTo(2, c.longObjective)}}
		priority := 1
		x := &exchange{Request: &call.Request{}, view: directory.NewView(1, cfg, nil, nil), route: &cfg.Routes[1], service: &cfg.Services[0], account: &directory.Account{Priority: &priority}}
		gen := &generation{exchange: x, g: &Gateway{cfg: Config{Scheduling: SchedulingModes{RoomGrants: c.mode}}}, roomID: 7}
		if req := gen.placementRequest(nil); req.GrantsRoom != c.want || req.Priority != 1 || req.RoomID != 7 {
			t.Errorf("mode %q, objective %v: got %+v, want grants %v", c.mode, c.longObjective, req, c.want)
		}
	}
}
