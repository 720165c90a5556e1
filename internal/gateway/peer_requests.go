package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/drain"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
)

// PeerTarget implements relay.Sender.
func (g *Gateway) PeerTarget(id string, started int64) (*directory.ObservedTarget, error) {
	view := g.view()
	if view == nil {
		return nil, failure.New(failure.KindNotReady, "no targets are known yet")
	}
	t, known := view.Target(id)
	if !known || t.StartedUnixMilli != started {
		return nil, failure.New(failure.KindTargetLeft, "target %s is not known here", id)
	}
	if g.paths.isLost(t.Service) {
		return nil, errLostHereToo
	}
	return t, nil
}

// checkMayRelay returns an error if the process may exit before another host's request, whose
// context is ctx, has ended. That host asks another one.
func (g *Gateway) checkMayRelay(ctx context.Context) error {
	shutdown := g.shutdown.Load()
	if shutdown == nil {
		return nil
	}
	left := drain.StopTimes{UntilExit: time.Until(shutdown.exit)}
	if deadline, ok := ctx.Deadline(); ok && left.MayStart(drain.Work{UntilDeadline: time.Until(deadline)}) {
		return nil
	}
	return failure.New(failure.KindNotReady, "the process exits in %s and the request may take longer", left.UntilExit)
}

// errLostHereToo is returned to a host that asks to send to a service that this host
// has lost as well.
var errLostHereToo = failure.New(failure.KindNotReady, "this host can't reach targets of the service either")

// SendForPeer implements relay.Sender. What the target says of itself in the answer
// concerns this host too, and so do its failures: the other host can't tell them from
// its own.
func (g *Gateway) SendForPeer(req *http.Request, target *directory.ObservedTarget, s *call.Attempt, ready func() error) (*http.Response, error) {
	run := g.cfg.CrashEvidence.begin(target, identityOf(s))
	upload := trackUpload(req)
	resp, err := g.cfg.Client.DoConfirmed(req, g.confirmation(s, func() {}), func() error {
		g.paths.recordReached(s.Target)
		if s.Management {
			return ready()
		}
		if err := g.checkAttempt(s); err != nil {
			return err
		}
		if err := g.checkMayRelay(req.Context()); err != nil {
			return err
		}
		if err := ready(); err != nil {
			return err
		}
		if err := g.checkSendable(s); err != nil {
			return err
		}
		run.markSent()
		return nil
	})
	if isUnreached(err) && req.Context().Err() == nil {
		g.recordUnreached(s.Target, err)
		if g.paths.isLost(s.Target.Service) {
			err = errLostHereToo
		}
	}
	if err != nil {
		g.recordInvalidAnswer(s.Target, err, requestAttr(s.ID))
		g.recordPeerFailure(req.Context(), target, s, err)
		run.fail(err)
		return nil, err
	}
	g.checkEnd(req.Context(), resp, s, upload)
	if !s.Management {
		answer := g.cfg.Dialect.ParseResponseHeader(resp)
		if isOwnAnswer(s, answer) {
			g.observeRequestAnswer(s, answer)
		}
		g.observeRate(s, answer)
	}
	resp.Body = &peerBody{ReadCloser: resp.Body, run: run, fail: func(err error) {
		g.recordInvalidAnswer(s.Target, err, requestAttr(s.ID))
		g.recordPeerFailure(req.Context(), target, s, err)
	}}
	return resp, nil
}

// recordPeerFailure records what the failure of another host's request says about the
// target.
func (g *Gateway) recordPeerFailure(ctx context.Context, target *directory.ObservedTarget, s *call.Attempt, err error) {
	if kind := failure.KindOf(err); !s.Management && kind != failure.KindControlLost && kind != failure.KindNotReady {
		g.recordFailure(ctx, target, err, true)
	}
}

// errPeerBodyUnread marks an answer to another host's request that was not passed on whole.
var errPeerBodyUnread = failure.New(failure.KindTargetLost, "the answer was not passed on whole").WithExecutionUnknown()

// peerBody is the body of an answer to another host's request.
type peerBody struct {
	io.ReadCloser
	run  *targetRun
	fail func(error)
	// err is how the body ended, io.EOF if it is whole; nil before.
	err error
}

// Read implements io.Reader.
func (b *peerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.err = err
	if err != nil && err != io.EOF {
		b.fail(failure.Wrap(err, failure.KindTargetLost, "reading the answer failed").WithExecutionUnknown())
	}
	return n, err
}

// Close implements io.Closer.
func (b *peerBody) Close() error {
	if b.err == io.EOF {
		b.run.drop()
	} else {
		b.run.fail(errPeerBodyUnread)
	}
	return b.ReadCloser.Close()
}
