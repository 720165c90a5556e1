package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/failure"
)

// Relay sends requests to targets through other hosts.
type Relay interface {
	// Do sends a request to the attempt's target. beforeWrite runs once the other host
	// has connected to it; if it returns an error, nothing is sent. An error of kind
	// KindNoTarget means that no host was found that reaches the service's targets.
	Do(req *http.Request, s *call.Attempt, beforeWrite func() error) (*http.Response, error)
}

// connectPatience is the time from which a connection to a target that does not stand
// is no longer waited for alone. Connections within a region take a few milliseconds.
const connectPatience = 120 * time.Millisecond

// deliver sends a request to its target: directly while this host reaches the
// service's targets, else through another host. A connection that hangs is tried in
// both ways, and the one that stands first is used.
func (g *Gateway) deliver(req *http.Request, s *call.Attempt, selection *selectionState) (*http.Response, error) {
	s.LastResort = selection.lastResort
	check := func() error {
		if err := g.checkSendable(s); err != nil {
			return err
		}
		if selection.starts {
			if err := g.checkMayStart(selection.exchange); err != nil {
				return err
			}
		}
		if err := req.Context().Err(); err != nil {
			return err
		}
		selection.recordSend()
		return nil
	}
	d := &delivery{g: g, req: req, attempt: s, run: selection.run, check: check}
	if g.cfg.Relay != nil && g.paths.isLost(s.Target.Service) {
		return d.relayOnly()
	}
	return d.race()
}

// way is a way from this host to a target.
type way int

const (
	undecided way = iota
	direct
	relayed
)

// delivery is one request on its ways to a target. At most one way writes it.
type delivery struct {
	g       *Gateway
	req     *http.Request
	attempt *call.Attempt
	// run is marked as sent if this host writes the request itself. Otherwise the other
	// host notices whether it ends the target.
	run *targetRun
	// check is the last check before the request is written.
	check func() error

	mu     sync.Mutex
	chosen way
	// connected is set once the direct connection stands.
	connected bool
	// cancel ends the tries on each way.
	cancel map[way]context.CancelFunc
}

// outcome is the end of a try on one way.
type outcome struct {
	way  way
	resp *http.Response
	err  error
}

// relayOnly sends the request through another host.
func (d *delivery) relayOnly() (*http.Response, error) {
	resp, err := d.g.cfg.Relay.Do(d.req, d.attempt, d.check)
	if isUnreached(err) && d.req.Context().Err() == nil {
		d.g.cfg.Loads.RecordUnreachable(d.attempt.Target.ID)
	}
	return resp, err
}

// race sends the request directly. If the connection does not stand in time it tries
// to send it through another host as well. If it is refused, and this host has lost the
// service by that, it sends it through another host.
func (d *delivery) race() (*http.Response, error) {
	d.cancel = map[way]context.CancelFunc{}
	ended := make(chan outcome, 2)
	d.start(direct, ended)
	patience := time.NewTimer(connectPatience)
	defer patience.Stop()
	select {
	case o := <-ended:
		return d.afterDirect(o)
	case <-patience.C:
	}
	if d.isConnected() || d.g.cfg.Relay == nil {
		return d.afterDirect(<-ended)
	}
	d.g.recordUnreached(d.attempt.Target, errNoConnection)
	d.start(relayed, ended)
	return d.firstChosen(ended)
}

// afterDirect returns the outcome of the direct way. If no connection stood, it sends
// the request through another host if this host has lost the service by that, or if no
// other target can serve the request.
func (d *delivery) afterDirect(o outcome) (*http.Response, error) {
	if !isUnreached(o.err) || d.req.Context().Err() != nil {
		return o.resp, o.err
	}
	d.g.recordUnreached(d.attempt.Target, o.err)
	if d.g.cfg.Relay != nil && (d.attempt.LastResort || d.g.paths.isLost(d.attempt.Target.Service)) {
		return d.relayOnly()
	}
	return o.resp, o.err
}

// errNoConnection marks a connection to a target that does not stand in time.
var errNoConnection = failure.New(failure.KindTargetTimeout, "no connection after %s", connectPatience)

// start begins a try on one way.
func (d *delivery) start(w way, ended chan<- outcome) {
	ctx, cancel := context.WithCancel(d.req.Context())
	d.mu.Lock()
	d.cancel[w] = cancel
	d.mu.Unlock()
	req := d.req.Clone(ctx)
	if d.req.GetBody != nil {
		// A body in memory is read again without an error.
		req.Body, _ = d.req.GetBody()
	}
	upload := trackUpload(req)
	go func() {
		admit := func() error { return d.admit(w) }
		var o outcome
		if w == direct {
			o.resp, o.err = d.g.cfg.Client.DoConfirmed(req, d.g.confirmation(d.attempt, d.recordConnected), admit)
			if o.err == nil {
				d.g.checkEnd(ctx, o.resp, d.attempt, upload)
			}
		} else {
			o.resp, o.err = d.g.cfg.Relay.Do(req, d.attempt, admit)
		}
		o.way = w
		ended <- o
	}()
}

// admit lets the way write the request whose connection stands first, and ends the
// other one.
func (d *delivery) admit(w way) error {
	if w == direct {
		d.g.paths.recordReached(d.attempt.Target)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.chosen != undecided {
		return failure.New(failure.KindTargetFailed, "the request goes another way")
	}
	if err := d.check(); err != nil {
		return err
	}
	d.chosen = w
	if w == direct {
		d.run.markSent()
	}
	for other, cancel := range d.cancel {
		if other != w {
			cancel()
		}
	}
	return nil
}

// recordConnected records that the direct connection stands.
func (d *delivery) recordConnected() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.connected = true
}

// isConnected reports whether the direct connection stands, or has written the request.
func (d *delivery) isConnected() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.connected || d.chosen == direct
}

func (d *delivery) isChosen(w way) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.chosen == w
}

// firstChosen returns the outcome of the way that wrote the request. If neither did,
// the failure of the direct one says why.
func (d *delivery) firstChosen(ended <-chan outcome) (*http.Response, error) {
	o := <-ended
	if d.isChosen(o.way) {
		return o.resp, o.err
	}
	other := <-ended
	if d.isChosen(other.way) || other.way == direct {
		return other.resp, other.err
	}
	return o.resp, o.err
}
