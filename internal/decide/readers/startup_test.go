package readers_test

import (
	"testing"
	"time"

	"filbertdeck/internal/decide/readers"
)

// Guards against hundreds of hosts that each read all pages of the store as they
// start, against a host that serves by a store restored from a copy before its peers
// have told it more, and against a host that waits for peers that can't help.
func TestStartupWaitsForPeers(t *testing.T) {
	for _, c := range []struct {
		name    string
		startup readers.Startup
		want    bool
	}{
		{"restart, nothing heard yet", readers.Startup{Uptime: 50 * time.Millisecond}, true},
		{"restart, no host has records", readers.Startup{Uptime: 100 * time.Millisecond}, false},
		{"restart, a host has records", readers.Startup{Uptime: 300 * time.Millisecond, RecordsAnnounced: true}, true},
		{"restart, the host does not transfer them", readers.Startup{Uptime: time.Second, RecordsAnnounced: true}, false},
		{"restart, other seeds have not answered", readers.Startup{Uptime: 400 * time.Millisecond, HasOtherSeeds: true}, true},
		{"restart, no other seed can be reached", readers.Startup{Uptime: 500 * time.Millisecond, HasOtherSeeds: true}, false},
		{"restart, a host that has no records answered", readers.Startup{Uptime: 100 * time.Millisecond, HasOtherSeeds: true, PeerAnswered: true}, false},
		{"restarted seed, nothing heard yet", readers.Startup{Uptime: 50 * time.Millisecond, Seed: true}, true},
		{"first start of a seed", readers.Startup{FirstStart: true, Seed: true}, false},
		{"first start, slow transfer", readers.Startup{Uptime: 9 * time.Second, FirstStart: true, RecordsAnnounced: true}, true},
		{"first start, no host has records", readers.Startup{Uptime: 3 * time.Second, FirstStart: true}, false},
	} {
		if got := c.startup.WaitsForPeers(); got != c.want {
			t.Errorf("%s: waits %v, want %v", c.name, got, c.want)
		}
	}
}
