package gatewayhost

import (
	"slices"
	"testing"
	"time"

	"filbertdeck/internal/controller/gossip"
	"filbertdeck/internal/decide/membership"
)

// newTestFleetView returns the view of a host whose membership has the given members.
func newTestFleetView(t *testing.T, self string, members ...membership.Member) *fleetView {
	t.Helper()
	board := &gossip.Board{}
	out, err := board.Members.Claim()
	if err != nil {
		t.Fatal(err)
	}
	out.Publish(&membership.View{Version: 1, Members: members})
	s := &Settings{}
	s.Deployment.ListenPeers = self
	return newFleetView(s, board, func() time.Duration { return 0 })
}

// Guards against requests that go through a host that is gone, through this host
// itself, or out of the region to which a route or a client account may be bound.
func TestRequestsGoThroughLiveHostsOfTheRegion(t *testing.T) {
	fleet := newTestFleetView(t, "10.0.0.1:1",
		membership.Member{Address: "10.0.0.1:1", DataCentre: "a"},
		membership.Member{Address: "10.0.0.2:1", DataCentre: "a"},
		membership.Member{Address: "10.0.0.3:1", DataCentre: "a", State: membership.Dead},
		membership.Member{Address: "10.0.0.4:1", DataCentre: "b"},
		membership.Member{Address: "10.0.0.5:1", DataCentre: "far"},
	)
	d := Deployment{Regions: map[string]string{"a": "here", "b": "here", "far": "there"}}
	if got := fleet.otherLiveHosts("a"); !slices.Equal(got, []string{"10.0.0.2:1"}) {
		t.Errorf("hosts of the data centre: %v", got)
	}
	if got := fleet.otherLiveHosts(d.regionDataCentres("a")...); !slices.Equal(got, []string{"10.0.0.2:1", "10.0.0.4:1"}) {
		t.Errorf("hosts of the region: %v", got)
	}
	if got := (Deployment{}).regionDataCentres("a"); !slices.Equal(got, []string{"a"}) {
		t.Errorf("data centres without known regions: %v", got)
	}
}

// Guards against a stranger whose address merely begins like that of a host.
func TestOnlyAddressesOfHostsAreHosts(t *testing.T) {
	fleet := newTestFleetView(t, "10.0.0.1:1", membership.Member{Address: "10.0.0.11:1"}, membership.Member{Address: "10.0.0.3:1", State: membership.Dead})
	for ip, want := range map[string]bool{"10.0.0.11": true, "10.0.0.3": true, "10.0.0.1": false, "10.0.0.111": false, "": false} {
		if got := fleet.isHost(ip); got != want {
			t.Errorf("isHost(%q) is %v", ip, got)
		}
	}
}
