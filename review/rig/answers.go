package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"filbertdeck/platform/standin"
)

const (
	// pieces is the number of events of a sound stream, pieceGap the time between two of them.
	pieces   = 40
	pieceGap = 150 * time.Millisecond
)

// piece returns one event of a sound stream.
func piece(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n) }

// wholeStream returns the whole stream that a sound server makes of a request.
func wholeStream(id string) string {
	var text strings.Builder
	for n := 1; n <= pieces; n++ {
		text.WriteString(piece(id, n))
	}
	return text.String()
}

// serveStream is a sound server of streams.
func serveStream(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(standin.HeaderRequestID)
	if id == "" {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(standin.HeaderRequestID, id)
	w.Header().Set(standin.HeaderSeal, "seal-"+id)
	for n := 1; n <= pieces; n++ {
		if _, err := io.WriteString(w, piece(id, n)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(pieceGap)
	}
}

// answers collects what clients got, by the id of the request.
type answers struct {
	mu   sync.Mutex
	wait sync.WaitGroup
	got  map[string]answer
}

// ask sends a request in the background.
func (a *answers) ask(r *rig, address, id, request string) {
	a.wait.Go(func() {
		r.log("client sends %s: %s", id, strings.SplitN(request, "\r\n", 2)[0])
		got := send(address, request, 30*time.Second)
		r.log("client got %s: %s", id, got)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.got[id] = got
	})
}
