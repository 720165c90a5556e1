package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"filbertdeck/platform/standin"
)

// answer is what a client got.
type answer struct {
	status int
	sealed bool
	body   string
	// complete is set if the answer ended as HTTP says that it is whole.
	complete bool
	err      error
}

// send sends one request on a new channel and reads its whole answer.
func send(address, method, target, id string, header map[string]string, body string, timeout time.Duration) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer key-1\r\n", method, target, standin.HeaderRequestID, id, standin.HeaderDeadline, timeout.Milliseconds())
	for name, value := range header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(body), body)
	if _, err := io.WriteString(conn, text.String()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	// Without a length or chunks a client can't tell whether the answer is whole.
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return answer{status: resp.StatusCode, sealed: resp.Header.Get(standin.HeaderSeal) != "", body: string(got), complete: err == nil && framed, err: err}
}
