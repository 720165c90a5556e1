package configcheck_test

import (
	"testing"

	"filbertdeck/internal/configcheck"
	"filbertdeck/internal/failure"
)

// FuzzCheck guards against a panic and against two views of one text: what
// encoding/json accepts, the walk along the tokens must accept as well.
func FuzzCheck(f *testing.F) {
	for _, text := range []string{
		valid, `null`, `{"routes":[null,{"backends":null}],"accounts":[{"keys":null}]}`, `{"a":{"b":[{}]},"a":1}`,
		`{"services":[{"engine":null},{"engine":[]},{"cold_rate":1e999}]}`, `{"routes":{"x":[]},"limits":"x"}`, "\ufeff{}",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := configcheck.Read(text)
		if err != nil {
			if kind := failure.KindOf(err); kind != failure.KindBadRequest {
				t.Fatalf("kind %s: %v", kind, err)
			}
			return
		}
		for _, finding := range configcheck.Check(d) {
			if finding.Line < 1 || finding.Column < 1 || finding.Place == "" {
				t.Fatalf("no position: %+v", finding)
			}
		}
		if differences := configcheck.Diff(d.Config, d.Config); len(differences) > 0 {
			t.Fatalf("differs from itself: %+v", differences)
		}
	})
}
