package handle

import (
	"encoding/binary"
	"time"

	"filbertdeck/internal/failure"
)

// Handle is a position in a stream from which it can be resumed. Its sealed
// text is the `id:` of each SSE event. A caller that lost its connection sends
// the last id to any entry in the Last-Event-ID header.
type Handle struct {
	Account string
	Service string
	// Target is the address of the engine that runs the generation.
	Target     string
	Generation string
	// Offset is the index of the first token that the caller has not received.
	Offset uint64
	// Finished is set on the last token event of a generation: a caller that
	// resumes from it needs only the closing event, and the target may have
	// discarded the generation.
	Finished bool
	// Issued and Expires have a resolution of one second.
	Issued, Expires time.Time
}

// AppendSealed appends the handle's sealed text to dst and returns the extended
// slice. It does not allocate if dst has enough capacity (about 700 bytes for
// names of usual length).
func (r *KeyRing) AppendSealed(dst []byte, h Handle) []byte {
	keys := r.keys.Load()
	maxSize := 1 + 3*binary.MaxVarintLen64 + 3*binary.MaxVarintLen32 + len(h.Service) + len(h.Target) + len(h.Generation)
	return r.seal(dst, keys, keys.handleAEAD, h.Account, maxSize, h.appendTo)
}

func (h Handle) appendTo(dst []byte) []byte {
	dst = binary.AppendUvarint(dst, h.Offset)
	dst = append(dst, 0)
	if h.Finished {
		dst[len(dst)-1] = 1
	}
	dst = binary.AppendVarint(dst, h.Issued.Unix())
	dst = binary.AppendVarint(dst, h.Expires.Unix())
	dst = appendString(dst, h.Service)
	dst = appendString(dst, h.Target)
	return appendString(dst, h.Generation)
}

// Open decrypts a handle that was sealed for account. A text that is malformed,
// was altered or belongs to another account fails with KindHandleInvalid, an
// expired one with KindHandleExpired.
func (r *KeyRing) Open(text, account string, now time.Time) (Handle, error) {
	plaintext, ok := r.open(text, account, purposeHandle)
	if !ok {
		return Handle{}, invalidHandle()
	}
	d := decoder{rest: plaintext}
	h := Handle{Account: account, Offset: d.uvarint()}
	h.Finished = d.uvarint() == 1
	h.Issued = time.Unix(d.varint(), 0)
	h.Expires = time.Unix(d.varint(), 0)
	h.Service = d.string()
	h.Target = d.string()
	h.Generation = d.string()
	if d.malformed || len(d.rest) != 0 {
		return Handle{}, invalidHandle()
	}
	if now.After(h.Expires) {
		return Handle{}, failure.New(failure.KindHandleExpired, "resume handle has expired").WithExecuted()
	}
	return h, nil
}

// invalidHandle returns an error that leaves the execution unknown: the caller
// of an invalid handle may have a request that was executed.
func invalidHandle() error {
	return failure.New(failure.KindHandleInvalid, "resume handle is not valid").WithExecutionUnknown()
}

func appendString(dst []byte, s string) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(s)))
	return append(dst, s...)
}

// decoder decodes authenticated plaintext. malformed is set when the input
// ended early, which only a bug in this package can cause.
type decoder struct {
	rest      []byte
	malformed bool
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

func (d *decoder) string() string {
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
	d.malformed = true
	d.rest = nil
}
