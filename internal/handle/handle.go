package handle

import (
	"encoding/binary"
	"time"

	"filbertdeck/internal/failure"
)

// Handle says where a stream goes on. Its text is the `id:` of each SSE event;
// a caller that lost its connection sends the last one back as Last-Event-ID,
// to any entry.
type Handle struct {
	Account string
	Service string
	// Target is the address of the engine that runs the generation.
	Target     string
	Generation string
	// Offset is the index of the next token that the caller has not received.
	Offset uint64
	// Finished is set on the event that finished the generation: a caller that
	// comes back with it lacks only the closing event, and the target need not
	// know the generation any more.
	Finished bool
	// Issued and Expires are kept in whole seconds.
	Issued, Expires time.Time
}

// AppendSealed appends the handle's text to dst and returns the longer slice. It
// does not allocate while dst has room (some 700 bytes for usual names).
func (r *KeyRing) AppendSealed(dst []byte, h Handle) []byte {
	keys := r.keys.Load()
	bound := 1 + 3*binary.MaxVarintLen64 + 3*binary.MaxVarintLen32 + len(h.Service) + len(h.Target) + len(h.Generation)
	return r.seal(dst, keys, keys.sealHandle, h.Account, bound, h.appendTo)
}

func (h Handle) appendTo(dst []byte) []byte {
	dst = binary.AppendUvarint(dst, h.Offset)
	dst = append(dst, 0)
	if h.Finished {
		dst[len(dst)-1] = 1
	}
	dst = binary.AppendVarint(dst, h.Issued.Unix())
	dst = binary.AppendVarint(dst, h.Expires.Unix())
	dst = appendText(dst, h.Service)
	dst = appendText(dst, h.Target)
	return appendText(dst, h.Generation)
}

// Open gives back a handle that was sealed for account. A text that is
// garbage, altered or another account's fails with KindHandleInvalid, one that
// is past its expiry with KindHandleExpired.
func (r *KeyRing) Open(text, account string, now time.Time) (Handle, error) {
	plain, ok := r.open(text, account, purposeHandle)
	if !ok {
		return Handle{}, invalidHandle()
	}
	d := decoder{rest: plain}
	h := Handle{Account: account, Offset: d.uvarint()}
	h.Finished = d.uvarint() == 1
	h.Issued = time.Unix(d.varint(), 0)
	h.Expires = time.Unix(d.varint(), 0)
	h.Service = d.text()
	h.Target = d.text()
	h.Generation = d.text()
	if d.bad || len(d.rest) != 0 {
		return Handle{}, invalidHandle()
	}
	if now.After(h.Expires) {
		return Handle{}, failure.New(failure.KindHandleExpired, "resume handle has expired").WithExecuted()
	}
	return h, nil
}

// invalidHandle claims nothing about the generation: whoever sends a wrong
// handle may well have a request that ran.
func invalidHandle() error {
	return failure.New(failure.KindHandleInvalid, "resume handle is not valid here").WithExecutionUnknown()
}

func appendText(dst []byte, s string) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(s)))
	return append(dst, s...)
}

// decoder reads authenticated plain bytes; bad tells that they ended early,
// which only a fault of ours can cause.
type decoder struct {
	rest []byte
	bad  bool
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *decoder) varint() int64 {
	v, n := binary.Varint(d.rest)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *decoder) text() string {
	n := d.uvarint()
	if n > uint64(len(d.rest)) {
		d.fail()
		return ""
	}
	s := string(d.rest[:n])
	d.rest = d.rest[n:]
	return s
}

func (d *decoder) fail() {
	d.bad = true
	d.rest = nil
}
