package gateway

import (
	"os"
	"strings"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
)

// An engineer on call meets a name on the metrics address that no page
// explains, or looks for one that the code no longer has.
func TestMetersAreOnTheOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/gateway-counters.md")
	if err != nil {
		t.Fatal(err)
	}
	registry := gometrics.NewRegistry()
	New(Config{Metrics: registry})
	registry.Each(func(name string, _ any) {
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("%s is not on the page", name)
		}
	})
	for _, text := range strings.Split(string(page), "`") {
		if strings.HasPrefix(text, "gateway.") && !strings.Contains(text, "KIND") && registry.Get(text) == nil {
			t.Errorf("%s is on the page and not in the code", text)
		}
	}
}

func TestMetersTellHowRequestsEnded(t *testing.T) {
	registry := gometrics.NewRegistry()
	m := newMeters(registry)
	m.received(directory.Generation)
	m.answered(directory.Generation, 3*time.Second)
	m.served(pauses{events: 9, first: 400 * time.Millisecond, longest: 60 * time.Millisecond})
	m.refused(failure.KindStopping)
	m.broke(false)
	m.broke(true)
	for name, want := range map[string]int64{
		"gateway.received.generation": 1, "gateway.answered.generation": 1, "gateway.refused.stopping": 1,
		"gateway.generations_broken": 1, "gateway.generations_left": 1,
	} {
		if got := registry.Get(name).(gometrics.Counter).Count(); got != want {
			t.Errorf("%s is %d, want %d", name, got, want)
		}
	}
	if got := registry.Get("gateway.first_event_us").(gometrics.Histogram).Max(); got != 400_000 {
		t.Errorf("first event took %d us, want 400000", got)
	}
}
