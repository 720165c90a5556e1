// Package web holds what the stand-ins' HTTP servers share: JSON in and out,
// and a listener that says where it listens.
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

// MaxBody bounds a request's body in bytes: a value of the configuration
// service is at most one megabyte, and JSON may double it.
const MaxBody = 2 << 20

// stopAfter bounds the wait for requests in progress when a stand-in stops.
const stopAfter = 2 * time.Second

// WriteJSON answers with status and value.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// ReadJSON decodes a bounded body into value. It answers the request itself
// and returns false when the body is no such JSON.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, MaxBody)).Decode(value)
	if err != nil {
		failure.Write(w, failure.Wrap(err, failure.KindBadRequest, "body is not the expected JSON"))
		return false
	}
	return true
}

// Abort closes the request's connection without an answer.
func Abort() { panic(http.ErrAbortHandler) }

// Listener serves one handler at one address.
type Listener struct {
	server  *http.Server
	address string
}

// Listen starts to serve handler at address and writes the line
// "listening ip:port" to out. Port 0 takes a free one.
func Listen(address string, handler http.Handler, out io.Writer) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindSettingInvalid, "--listen: %q can't be listened on", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	_, err = fmt.Fprintf(out, "listening %s\n", l.Addr())
	return &Listener{server: server, address: l.Addr().String()}, err
}

// Address gives the ip:port in use.
func (l *Listener) Address() string { return l.address }

// Stop lets requests in progress end for a short while, then closes them.
func (l *Listener) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopAfter)
	defer cancel()
	err := l.server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return l.server.Close()
	}
	return err
}
