package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"filbertdeck/internal/failure"
)

// Guards against bodies that change on their way into memory, and against limits that are one
// byte off.
func TestReadBodyReadsWhole(t *testing.T) {
	const limit = 3 * firstBodyBytes
	for _, size := range []int{0, 1, firstBodyBytes - 1, firstBodyBytes, firstBodyBytes + 1, 2 * firstBodyBytes, limit - 1, limit, limit + 1} {
		text := []byte(strings.Repeat("abc", size)[:size])
		for name, length := range map[string]int64{"known length": int64(size), "chunks": -1} {
			r := httptest.NewRequest("POST", "/", iotest.HalfReader(bytes.NewReader(text)))
			r.ContentLength = length
			body, err := readBody(r, limit)
			switch {
			case size > limit && failure.KindOf(err) != failure.KindBodyTooLarge:
				t.Errorf("%s, %d bytes: got %v, want that the body is too large", name, size, err)
			case size <= limit && (err != nil || !bytes.Equal(body, text)):
				t.Errorf("%s, %d bytes: got %d bytes, %v", name, size, len(body), err)
			}
		}
	}
}

// Guards against a body that breaks off and looks whole.
func TestReadBodyFailsWhenBodyBreaksOff(t *testing.T) {
	for _, size := range []int{0, 1, firstBodyBytes, firstBodyBytes + 1} {
		broken := io.MultiReader(bytes.NewReader(make([]byte, size)), iotest.ErrReader(errors.New("reset")))
		r := httptest.NewRequest("POST", "/", broken)
		r.ContentLength = -1
		if _, err := readBody(r, 1<<20); failure.KindOf(err) != failure.KindBadRequest {
			t.Errorf("after %d bytes: got %v, want a bad request", size, err)
		}
	}
}
