package callerapi

import (
	"encoding/json"
	"errors"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/failure"
)

func TestCallers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "callers' API")
}

var _ = Describe("a completion request", func() {
	It("passes the caller's fields to the engine and sets the entry's own", func() {
		body := []byte(`{"model":"reports","messages":[{"role":"user","content":"hi"}],"temperature":0.5,"stream":false,"max_completion_tokens":9}`)
		c, err := parseCompletion(body, true)
		Expect(err).NotTo(HaveOccurred())
		out, err := c.engineBody(body, 9)
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(MatchJSON(`{"model":"reports","prompt":"user: hi\n","temperature":0.5,"stream":true,"max_tokens":9}`))
	})

	// Guards against a caller that adds a field a second time in capitals: the
	// entry would read one and the engine the other, and a generation of 50,000
	// tokens could run under an admission for 7.
	It("removes other spellings of a field that the entry sets", func() {
		body := []byte(`{"model":"reports","prompt":"x","MAX_TOKENS":50000,"Stream":false,"PROMPT":"y"}`)
		c, err := parseCompletion(body, false)
		Expect(err).NotTo(HaveOccurred())
		out, err := c.engineBody(body, 7)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(out)).NotTo(Or(ContainSubstring("MAX_TOKENS"), ContainSubstring("Stream"), ContainSubstring("PROMPT")))
	})
})

// FuzzCompletion checks that any body is either refused with a typed error or
// turned into a JSON object that makes the engine stream.
func FuzzCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"reports","prompt":"x","max_tokens":5,"stream":true}`), false)
	f.Add([]byte(`{"model":"reports","messages":[{"role":"user","content":"x"}]}`), true)
	f.Add([]byte(`{"MODEL":"a","model":"b","prompt":"x","n":null}`), false)
	f.Add([]byte(`[]`), false)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		c, err := parseCompletion(body, chat)
		if err == nil {
			var out []byte
			if out, err = c.engineBody(body, 7); err == nil {
				checkEngineBody(t, out)
				return
			}
		}
		var typed *failure.Error
		if !errors.As(err, &typed) || typed.Executed != failure.ExecutedNo {
			t.Fatalf("%q: %v is not a typed refusal", body, err)
		}
	})
}

func checkEngineBody(t *testing.T, out []byte) {
	var fields map[string]any
	if err := json.Unmarshal(out, &fields); err != nil {
		t.Fatalf("%q is not JSON: %v", out, err)
	}
	if fields["stream"] != true || fields["max_tokens"] != 7.0 || fields["messages"] != nil {
		t.Fatalf("%q lacks a field that the engine requires", out)
	}
}
