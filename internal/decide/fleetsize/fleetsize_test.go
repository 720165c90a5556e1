package fleetsize_test

import (
	"fmt"
	"testing"
	"time"

	"filbertdeck/internal/decide/coldlimit"
	"filbertdeck/internal/decide/fleetsize"
)

// startingHost is a host that learns of the others.
type startingHost struct {
	fleetsize.Estimator
	limiter coldlimit.Limiter
}

// knownAfter returns the number of hosts that a process knows after a time: the seeds
// at once, and the others by whole lists that hosts exchange, each of which doubles
// what is known.
func knownAfter(uptime time.Duration, hosts int) int {
	const doublingTime = 400 * time.Millisecond
	known := 4
	for t := time.Duration(0); t < uptime && known < hosts; t += doublingTime {
		known *= 2
	}
	return min(known, hosts)
}

// Guards against hosts that start together and each take the share of a small fleet:
// a cold target gets many times what it can take.
func TestStartingHostsKeepToTheSharedLimit(t *testing.T) {
	const capacity, tick, length = 35.0, 50 * time.Millisecond, 12 * time.Second
	for _, hosts := range []int{1, 8, 100, 585, 3300} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			fleet := make([]startingHost, hosts)
			sentInWindow, sends := 0, []int{}
			for now := time.Duration(0); now < length; now += tick {
				sent := 0
				for rank := range fleet {
					host := &fleet[rank]
					known := knownAfter(now, hosts)
					if !host.Observe(now, known) {
						continue
					}
					if host.limiter.Allows(now, coldlimit.SendQuota(capacity, rank, known)) {
						host.limiter.RecordSend(now)
						sent++
					}
				}
				sends = append(sends, sent)
				sentInWindow += sent
				if n := int(time.Second / tick); len(sends) > n {
					sentInWindow -= sends[len(sends)-1-n]
				}
				if sentInWindow > capacity {
					t.Fatalf("%d requests in a second at %s, allowed %v", sentInWindow, now, capacity)
				}
			}
			if sentInWindow == 0 {
				t.Error("no request is sent in the end")
			}
		})
	}
}

func TestObserveSettles(t *testing.T) {
	var growing fleetsize.Estimator
	for uptime := time.Duration(0); uptime < 15*time.Second; uptime += 500 * time.Millisecond {
		if growing.Observe(uptime, int(uptime/time.Millisecond)) {
			t.Errorf("settled at %s while the number grows", uptime)
		}
	}
	if !growing.Observe(15*time.Second, 1<<20) {
		t.Error("does not settle while hosts are added")
	}
	var alone fleetsize.Estimator
	if alone.Observe(2*time.Second, 1) || !alone.Observe(3*time.Second, 1) || !alone.Observe(4*time.Second, 50) {
		t.Error("a process that knows no other host must settle after three seconds and stay so")
	}
}
