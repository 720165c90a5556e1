// Package web contains the HTTP code that the simulated services share: JSON
// requests and responses, and a listener that prints its address.
package web

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"filbertdeck/internal/failure"
)

// MaxBodyBytes limits the size of a request body. A value of the configuration
// service has at most 1 MiB, and JSON escaping can double its size.
const MaxBodyBytes = 2 << 20

// shutdownTimeout limits the wait for requests in progress at shutdown.
const shutdownTimeout = 2 * time.Second

// WriteJSON responds with the given status and with value encoded as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// ReadJSON decodes up to MaxBodyBytes of the request body into value. If that
// fails, it writes an error response and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, MaxBodyBytes)).Decode(value)
	if err != nil {
		failure.Write(w, failure.Wrap(err, failure.KindBadRequest, "request body is not the expected JSON"))
		return false
	}
	return true
}

// AbortConnection panics with http.ErrAbortHandler, so that net/http closes the
// connection without a complete response.
func AbortConnection() { panic(http.ErrAbortHandler) }

// Listener is an HTTP server on one address.
type Listener struct {
	server  *http.Server
	address string
}

// Listen starts serving handler at address and writes the line
// "listening ip:port" to out. With port 0 the system chooses a free port.
func Listen(address string, handler http.Handler, out io.Writer) (*Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindSettingInvalid, "--listen: %q can't be listened on", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	_, err = fmt.Fprintf(out, "listening %s\n", listener.Addr())
	return &Listener{server: server, address: listener.Addr().String()}, err
}

// Address returns the ip:port that the server listens on.
func (l *Listener) Address() string { return l.address }

// Stop waits up to shutdownTimeout for requests in progress, then closes the
// remaining connections.
func (l *Listener) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	err := l.server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return l.server.Close()
	}
	return err
}
