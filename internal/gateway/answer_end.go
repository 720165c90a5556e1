package gateway

import (
	"io"
	"net/http"

	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
)

// verifyEnd has the end of an answer verified that has neither a length nor chunks. Such an
// answer ends with its connection, and so does one whose target has crashed meanwhile.
func (g *Gateway) verifyEnd(resp *http.Response, target directory.Target) {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		return
	}
	resp.Body = &verifiedBody{resp.Body, func() error {
		view := g.view()
		if !acceptsNewWork(view, target) || g.cfg.Loads.IsLeaving(target) || !g.refusesConnections(target) {
			return nil
		}
		return failure.New(failure.KindTargetLost, "target %s ended with its answer", target.ID).WithExecutionUnknown()
	}}
}

// verifiedBody is a body whose end is verified.
type verifiedBody struct {
	io.ReadCloser
	verify func() error
}

// Read implements io.Reader.
func (b *verifiedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if cut := b.verify(); cut != nil {
			return n, cut
		}
	}
	return n, err
}
