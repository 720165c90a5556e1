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

// discardResponseWriter is a ResponseWriter that discards the response.
type discardResponseWriter struct{ header http.Header }

func (d *discardResponseWriter) Header() http.Header       { return d.header }
func (*discardResponseWriter) Write(p []byte) (int, error) { return len(p), nil }
func (*discardResponseWriter) WriteHeader(int)             {}
func (*discardResponseWriter) FlushError() error           { return nil }

func (*discardResponseWriter) SetWriteDeadline(time.Time) error { return nil }

const benchGeneration = "0b0e7f58-7a1c-4f0c-9e2e-0123456789ab"

// BenchmarkToken measures the relay of one token without network I/O: parsing,
// offset check, accounting, sealing the handle, and encoding the event.
func BenchmarkToken(b *testing.B) {
	ring, err := handle.NewKeyRing(handle.RandomSecret())
	if err != nil {
		b.Fatal(err)
	}
	h := handle.Handle{Account: "school", Service: "reports", Target: "127.0.0.1:9000", Generation: benchGeneration}
	active := &activeRequest{
		order:            delivery.New(delivery.Stream, benchGeneration),
		quotedGeneration: `"` + benchGeneration + `"`,
		sink:             newStreamSink(&discardResponseWriter{header: http.Header{}}, ring, h, answerInfo{id: "cmpl-1", model: "reports"}),
	}
	active.Accounting = accounting.New().Begin("school", "reports")
	parts := strings.SplitN(`{"generation":"`+benchGeneration+`","offset":@,"text":"w12-89ab ","tokens":1,"finish_reason":null}`, "@", 2)
	data := make([]byte, 0, 256)
	b.ReportAllocs()
	for i := range b.N {
		data = append(data[:0], parts[0]...)
		data = appendInt(data, i)
		active.event.Data = append(data, parts[1]...)
		if _, err := active.relayEvent(func() {}); err != nil {
			b.Fatal(err)
		}
	}
}

func appendInt(dst []byte, n int) []byte { return strconv.AppendInt(dst, int64(n), 10) }
