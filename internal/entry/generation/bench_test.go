package generation

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"filbertdeck/internal/accounting"
	"filbertdeck/internal/decide/delivery"
	"filbertdeck/internal/handle"
)

// discard takes an answer and forgets it.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header       { return d.header }
func (*discard) Write(p []byte) (int, error) { return len(p), nil }
func (*discard) WriteHeader(int)             {}
func (*discard) FlushError() error           { return nil }

func (*discard) SetWriteDeadline(time.Time) error { return nil }

const benchGeneration = "0b0e7f58-7a1c-4f0c-9e2e-0123456789ab"

// BenchmarkToken measures the relay of one token without the sockets: parse,
// order check, accounting, sealed handle, event.
func BenchmarkToken(b *testing.B) {
	ring, err := handle.NewRing(handle.RandomSecrets())
	if err != nil {
		b.Fatal(err)
	}
	h := handle.Handle{Account: "school", Service: "reports", Target: "127.0.0.1:9000", Generation: benchGeneration}
	x := &run{
		order:  delivery.New(delivery.Stream, benchGeneration),
		quoted: `"` + benchGeneration + `"`,
		out:    newStreamSink(&discard{header: http.Header{}}, ring, h, shape{id: "cmpl-1", model: "reports"}),
	}
	x.Books = accounting.New().Begin("school", "reports")
	parts := strings.SplitN(`{"generation":"`+benchGeneration+`","offset":@,"text":"w12-89ab ","tokens":1,"finish_reason":null}`, "@", 2)
	data := make([]byte, 0, 256)
	b.ReportAllocs()
	for i := range b.N {
		data = append(data[:0], parts[0]...)
		data = appendInt(data, i)
		x.event.Data = append(data, parts[1]...)
		if _, err := x.take(func() {}); err != nil {
			b.Fatal(err)
		}
	}
}

func appendInt(dst []byte, n int) []byte { return strconv.AppendInt(dst, int64(n), 10) }
