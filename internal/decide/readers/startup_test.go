package readers_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"filbertdeck/internal/decide/readers"
)

// Guards against hundreds of hosts that each read all pages of the store as they
// start, and against a host that waits for peers that can't help.
func TestStartupWaitsForPeers(t *testing.T) {
	for _, c := range []struct {
		name    string
		startup readers.Startup
		want    bool
	}{
		{"restart, nothing heard yet", readers.Startup{Uptime: 100 * time.Millisecond}, true},
		{"restart, no host has records, last turn", readers.Startup{Uptime: time.Second, Draw: 0.999}, true},
		{"restart, no host has records, turns over", readers.Startup{Uptime: 1300 * time.Millisecond, Draw: 0.999}, false},
		{"restart of a seed, no host has records", readers.Startup{Uptime: 300 * time.Millisecond, Draw: 0.999, Seed: true}, false},
		{"restart, a host has records", readers.Startup{Uptime: time.Second, RecordsAnnounced: true}, true},
		{"restart, the host does not transfer them", readers.Startup{Uptime: 4 * time.Second, RecordsAnnounced: true}, false},
		{"restarted seed, nothing heard yet", readers.Startup{Uptime: 100 * time.Millisecond, Seed: true}, true},
		{"first start of a seed", readers.Startup{FirstStart: true, Seed: true}, false},
		{"first start, slow transfer", readers.Startup{Uptime: 9 * time.Second, FirstStart: true, RecordsAnnounced: true}, true},
		{"first start, no host has records", readers.Startup{Uptime: 3 * time.Second, FirstStart: true}, false},
	} {
		if got := c.startup.WaitsForPeers(); got != c.want {
			t.Errorf("%s: waits %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a fleet that reads the store whole once a host when all hosts are
// replaced: the store turns the calls away, and the reads begin anew.
func TestFewHostsReadAfterAllWereReplaced(t *testing.T) {
	// announcedAfter is the time in which the first hosts have read the records and
	// announced them.
	const announcedAfter, maxReaders = 800 * time.Millisecond, 0.1
	for _, hosts := range []int{30, 585, 3300} {
		rng := rand.New(rand.NewPCG(1, uint64(hosts)))
		reading := 0
		for host := range hosts {
			s := readers.Startup{Uptime: announcedAfter, Seed: host < 3, Draw: rng.Float64()}
			if !s.WaitsForPeers() {
				reading++
			}
		}
		if reading < 3 || float64(reading) > 3+maxReaders*float64(hosts) {
			t.Errorf("%d of %d hosts read the store before its records are announced", reading, hosts)
		}
	}
}
