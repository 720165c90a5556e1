package gateway

import (
	"testing"

	"filbertdeck/internal/call"
)

// Clients' estimates of their output are off by a factor of three either way,
// some by ten. If one long estimate made an engine look full, the engine would
// be avoided, and other engines would get twice the load that their links can
// copy away within a stop notice.
func TestExpectedOutputTokens(t *testing.T) {
	for _, c := range []struct {
		name        string
		prompt      call.Prompt
		least, most int
	}{
		{"estimate far too long", call.Prompt{MaxOutputTokens: 2000, LengthHint: 20_000}, 800, 2000},
		{"estimate far too short", call.Prompt{MaxOutputTokens: 2000, LengthHint: 20}, 100, 400},
		{"no estimate", call.Prompt{MaxOutputTokens: 2000}, 800, 800},
		{"no output limit", call.Prompt{LengthHint: 300}, 300, 300},
		{"neither limit nor estimate", call.Prompt{}, 0, 0},
	} {
		if got := expectedOutputTokens(c.prompt); got < c.least || got > c.most {
			t.Errorf("%s: expected output %d, want %d to %d", c.name, got, c.least, c.most)
		}
	}
}
