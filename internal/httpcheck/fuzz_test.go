package httpcheck_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"filbertdeck/internal/httpcheck"
)

// FuzzResponse checks that a response that is read is sound, and that it does not matter in which
// pieces it arrives.
func FuzzResponse(f *testing.F) {
	for text := range invalidResponses {
		f.Add(text)
	}
	for _, text := range soundResponses {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		resp, body, err := read(strings.NewReader(text))
		inPieces, bodyInPieces, errInPieces := read(iotest.OneByteReader(strings.NewReader(text)))
		if (err == nil) != (errInPieces == nil) || partOf(err) != partOf(errInPieces) || body != bodyInPieces {
			t.Fatalf("at once %v, byte by byte %v", err, errInPieces)
		}
		if err != nil {
			return
		}
		for _, r := range []*http.Response{resp, inPieces} {
			if invalid := httpcheck.Response(r); invalid != nil {
				t.Fatal(invalid)
			}
			if r.ProtoMajor != 1 || r.ProtoMinor == 0 && len(r.TransferEncoding) > 0 {
				t.Fatalf("version %s with %v", r.Proto, r.TransferEncoding)
			}
		}
		if _, err := io.ReadAll(resp.Body); err != nil {
			t.Fatal(err)
		}
	})
}
