package callerconn

import "encoding/binary"

const (
	// clientPrefaceBytes is the length of what a client sends before its first HTTP/2 frame.
	clientPrefaceBytes = len("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
	frameHeaderBytes   = 9
	// maxFrameBytes is the largest payload that a peer may send without being allowed more.
	maxFrameBytes = 16 << 10
)

// frameKind is the type of an HTTP/2 frame (RFC 9113, section 6).
type frameKind byte

const (
	dataFrame    frameKind = 0
	headersFrame frameKind = 1
	resetFrame   frameKind = 3
)

// endStreamFlag marks the last DATA or HEADERS frame of one direction of a stream.
const endStreamFlag = 1

// frame is the header of an HTTP/2 frame. length is that of its payload, in bytes.
type frame struct {
	kind   frameKind
	flags  byte
	length int
	stream uint32
}

// endsStream reports whether the sender of a frame sends no more on its stream.
func (f frame) endsStream() bool {
	return f.kind == resetFrame || (f.kind == dataFrame || f.kind == headersFrame) && f.flags&endStreamFlag != 0
}

// frameScanner finds the frame headers in one direction of an HTTP/2 connection, whatever parts
// its bytes come in.
type frameScanner struct {
	// skip is the number of bytes before the next frame header.
	skip   int
	header [frameHeaderBytes]byte
	filled int
}

// scan calls begin for each frame whose header ends in p.
func (s *frameScanner) scan(p []byte, begin func(frame)) {
	for len(p) > 0 {
		skipped := min(s.skip, len(p))
		s.skip -= skipped
		p = p[skipped:]
		n := copy(s.header[s.filled:], p)
		s.filled += n
		p = p[n:]
		if s.filled < frameHeaderBytes {
			return
		}
		f := frame{
			length: int(binary.BigEndian.Uint32(s.header[:4]) >> 8), kind: frameKind(s.header[3]), flags: s.header[4],
			stream: binary.BigEndian.Uint32(s.header[5:]) &^ (1 << 31),
		}
		s.filled, s.skip = 0, f.length
		begin(f)
	}
}
