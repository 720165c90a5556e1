package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"filbertdeck/internal/call"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/httpcheck"
)

// trackedUpload tells whether the body of a request is still being written.
type trackedUpload struct {
	io.ReadCloser
	unread atomic.Bool
}

// trackUpload replaces the body of a request by one that is tracked.
func trackUpload(req *http.Request) *trackedUpload {
	u := &trackedUpload{ReadCloser: req.Body}
	if req.Body != nil && req.Body != http.NoBody {
		u.unread.Store(true)
		req.Body = u
	}
	return u
}

// Read implements io.Reader.
func (u *trackedUpload) Read(p []byte) (int, error) {
	n, err := u.ReadCloser.Read(p)
	if err == io.EOF {
		u.unread.Store(false)
	}
	return n, err
}

// checkEnd has the end of an answer checked that a target has sent to a request of ctx. One that
// was cut off is logged and counted.
func (g *Gateway) checkEnd(ctx context.Context, resp *http.Response, s *call.Attempt, upload *trackedUpload) {
	ends := endOf(resp)
	body := &checkedBody{ReadCloser: resp.Body, verify: func() error { return nil }}
	if ends == endsWithConnection {
		body.verify = func() error { return g.verifyLives(s.Target) }
	}
	body.cut = func(err error) {
		if ctx.Err() != nil {
			return
		}
		g.metrics.answersCut.Inc(1)
		g.cfg.Log.Warn("target's answer was cut off", requestAttr(s.ID), "target", s.Target.ID, "received", body.received, "ends_with", ends, "uploading", upload.unread.Load(), "cause", err)
	}
	resp.Body = body
}

// answerEnd is what shows the end of an answer.
type answerEnd string

const (
	endsWithLength     answerEnd = "length"
	endsWithChunks     answerEnd = "chunks"
	endsWithConnection answerEnd = "connection"
)

func endOf(resp *http.Response) answerEnd {
	switch {
	case resp.ContentLength >= 0:
		return endsWithLength
	case len(resp.TransferEncoding) > 0:
		return endsWithChunks
	}
	return endsWithConnection
}

// verifyLives returns an error if a target has ended. An answer that ends with its connection does
// so too when its target crashes.
func (g *Gateway) verifyLives(target directory.Target) error {
	view := g.view()
	if !acceptsNewWork(view, target) || g.cfg.Loads.IsLeaving(target) || !g.refusesConnections(target) {
		return nil
	}
	return failure.New(failure.KindTargetLost, "target %s ended with its answer", target.ID).WithExecutionUnknown()
}

// checkedBody is the body of an answer whose end is checked.
type checkedBody struct {
	io.ReadCloser
	// verify returns an error if the body is not whole though it seems to be.
	verify func() error
	// cut is called when the body was cut off, by something else than Close.
	cut      func(err error)
	received int64
	closed   atomic.Bool
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.received += int64(n)
	if err == io.EOF {
		if lost := b.verify(); lost != nil {
			err = lost
		}
	}
	if err != nil && err != io.EOF && !b.closed.Load() {
		b.recordCut(err)
	}
	return n, err
}

// recordCut calls cut once. An invalid answer was not cut off.
func (b *checkedBody) recordCut(err error) {
	var invalid *httpcheck.Error
	if b.cut != nil && !errors.As(err, &invalid) {
		b.cut(err)
	}
	b.cut = nil
}

// Close implements io.Closer.
func (b *checkedBody) Close() error {
	b.closed.Store(true)
	return b.ReadCloser.Close()
}
