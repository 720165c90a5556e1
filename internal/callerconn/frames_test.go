package callerconn

import (
	"bytes"
	"encoding/binary"
	"slices"
	"testing"
)

// frameBytes is a frame as it goes over the network.
func frameBytes(kind frameKind, flags byte, stream uint32, payload []byte) []byte {
	out := []byte{byte(len(payload) >> 16), byte(len(payload) >> 8), byte(len(payload)), byte(kind), flags}
	return append(binary.BigEndian.AppendUint32(out, stream), payload...)
}

// scanParts scans bytes in parts of a length.
func scanParts(s *frameScanner, p []byte, length int) (found []frame) {
	for part := range slices.Chunk(p, length) {
		s.scan(part, func(f frame) { found = append(found, f) })
	}
	return found
}

// Guards against calls that are not counted since their frames come in parts.
func TestFramesAreFoundInAnyParts(t *testing.T) {
	sent := slices.Concat(make([]byte, clientPrefaceBytes),
		frameBytes(4, 0, 0, nil), frameBytes(headersFrame, 4, 1, make([]byte, 300)), frameBytes(dataFrame, endStreamFlag, 1, make([]byte, 70000)),
		frameBytes(resetFrame, 0, 1<<31|3, make([]byte, 4)))
	want := []frame{{kind: 4}, {kind: headersFrame, flags: 4, length: 300, stream: 1}, {flags: endStreamFlag, length: 70000, stream: 1}, {kind: resetFrame, length: 4, stream: 3}}
	for _, length := range []int{1, 2, 8, 9, 10, 311, len(sent)} {
		if got := scanParts(&frameScanner{skip: clientPrefaceBytes}, sent, length); !slices.Equal(got, want) {
			t.Errorf("in parts of %d bytes: got %+v, want %+v", length, got, want)
		}
	}
}

func TestFrameEndsStream(t *testing.T) {
	for f, want := range map[frame]bool{
		{kind: dataFrame, flags: 1}: true, {kind: headersFrame, flags: 5}: true, {kind: resetFrame}: true,
		{kind: dataFrame}: false, {kind: headersFrame, flags: 4}: false, {kind: 6, flags: 1}: false,
	} {
		if f.endsStream() != want {
			t.Errorf("%+v ends its stream: %v", f, !want)
		}
	}
}

// FuzzFrameScanner checks that what is found does not depend on the parts in which bytes come.
func FuzzFrameScanner(f *testing.F) {
	f.Add(frameBytes(dataFrame, 0, 1, []byte("abc")), 3)
	f.Add([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), 1)
	f.Fuzz(func(t *testing.T, p []byte, length int) {
		whole := scanParts(&frameScanner{}, p, max(len(p), 1))
		if parts := scanParts(&frameScanner{}, bytes.Clone(p), min(max(length, 1), max(len(p), 1))); !slices.Equal(whole, parts) {
			t.Fatalf("whole: %+v, in parts: %+v", whole, parts)
		}
	})
}
