package inventory_test

import (
	"slices"
	"testing"

	"filbertdeck/internal/inventory"
)

// Guards against a word of the pages that the list lacks and that nobody notices.
func TestMissing(t *testing.T) {
	page := "An entry has `service`, `version` and `slots`. `POST /api/move` takes `Expect-Start`: `ready`.\n```\nGET `x`\n```\nNeither `two words` nor `{\"a\":1}` is a name."
	list := "| `service`, `slots` | read |\n| `GET /api/move`, `expect-start`, `ready` | read |"
	if got := inventory.Missing(page, list); !slices.Equal(got, []string{"version"}) {
		t.Errorf("missing: %v", got)
	}
	if got := inventory.Missing(page, page); len(got) > 0 {
		t.Errorf("a page lacks its own words %v", got)
	}
}
