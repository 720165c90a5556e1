package httpcheck

import (
	"io"
	"net"
	"testing"
)

// Guards against a head that goes unchecked since a part of it arrived before its request was
// written.
func TestResponseBeginsBeforeItsRequest(t *testing.T) {
	here, there := net.Pipe()
	conn := NewConn(here)
	defer func() { _ = conn.Close() }()
	pieces := []string{"HTTP/1.1 200 OK\r\n", "A B: c\r\n\r\n"}
	go func() {
		for _, piece := range pieces {
			_, _ = io.WriteString(there, piece)
		}
	}()
	if _, err := io.ReadFull(conn, make([]byte, len(pieces[0]))); err != nil {
		t.Fatal(err)
	}
	conn.expectResponse()
	if _, err := io.ReadFull(conn, make([]byte, len(pieces[1]))); err == nil {
		t.Error("the rest of the head was not checked")
	}
	if conn.invalid() == nil {
		t.Error("the connection may be used again")
	}
}
