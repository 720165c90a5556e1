package gateway

import (
	"testing"

	"filbertdeck/internal/call"
)

// Clients' estimates of their outputs are off by a factor of three either way,
// some by ten. An engine that looks full because of one such estimate is passed
// over while others get twice what their link carries off in a notice.
func TestExpectedOutputIsHeldBetweenEstimateAndUsual(t *testing.T) {
	for _, c := range []struct {
		name        string
		prompt      call.Prompt
		least, most int
	}{
		{"far too long an estimate", call.Prompt{MaxOutput: 2000, LengthHint: 20_000}, 800, 2000},
		{"far too short an estimate", call.Prompt{MaxOutput: 2000, LengthHint: 20}, 100, 400},
		{"no estimate", call.Prompt{MaxOutput: 2000}, 800, 800},
		{"no bound", call.Prompt{LengthHint: 300}, 300, 300},
		{"nothing known", call.Prompt{}, 0, 0},
	} {
		if got := expectedOutput(c.prompt); got < c.least || got > c.most {
			t.Errorf("%s: expected output %d, want %d to %d", c.name, got, c.least, c.most)
		}
	}
}
