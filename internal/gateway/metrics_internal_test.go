package gateway

import (
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
)

// Guards against metrics that the operators' page does not explain, and against
// names on the page that the code no longer has.
func TestMetricsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/gateway-counters.md")
	if err != nil {
		t.Fatal(err)
	}
	registry := gometrics.NewRegistry()
	New(Config{Metrics: registry, CrashEvidence: NewCrashEvidence(nil, slog.Default(), registry)})
	registry.Each(func(name string, _ any) {
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("%s is missing from the operators' page", name)
		}
	})
	for _, text := range strings.Split(string(page), "`") {
		if strings.HasPrefix(text, "gateway.") && !strings.Contains(text, "KIND") && registry.Get(text) == nil {
			t.Errorf("%s is on the operators' page but not registered", text)
		}
	}
}

func TestMetricsByOutcome(t *testing.T) {
	registry := gometrics.NewRegistry()
	m := newGatewayMetrics(registry)
	m.countReceived(directory.Generation)
	m.countAnswered(directory.Generation, 3*time.Second)
	m.recordServed(eventTimes{events: 9, first: 400 * time.Millisecond, longestGap: 60 * time.Millisecond})
	m.countRefused(failure.KindStopping)
	m.countBroken(false)
	m.countBroken(true)
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
