package gateway

import (
	"cmp"
	"context"
	"maps"
	"sync"
	"time"

	"filbertdeck/internal/decide/streamorigin"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
)

// OriginPeers are the other hosts that keep the origins of streams.
type OriginPeers interface {
	// Tell sends records to the hosts that keep them. It waits for no answer. It returns
	// false if they should be sent again, since these hosts are not certain yet.
	Tell(records []streamorigin.Record) (final bool)
	// Ask asks the hosts that may know a stream's origin. It returns the answers that
	// came in time.
	Ask(ctx context.Context, q streamorigin.Question) []streamorigin.Answer
}

const (
	// triesPerStream is the number of tries in which a client may take a stream up, each
	// as long as the route's timeout or its own.
	triesPerStream = 2
	// maxClientTimeout bounds the timeouts of clients that count. Versions are not vouched
	// for over as long a time.
	maxClientTimeout = time.Hour
	// lifetimeMargin is added to the time in which a stream may be taken up, for the way
	// between client and host.
	lifetimeMargin = 2 * time.Second
	// originUnknownRetryAfter is returned if the origin of a stream is not known. A host
	// that did not answer may answer then, or a version be the only one.
	originUnknownRetryAfter = time.Second
	// retellInterval is the time until records are sent again that went to uncertain hosts.
	retellInterval = time.Second
	// maxToldAtOnce bounds the records that are told in one round: finding the hosts that
	// keep one takes some hundred microseconds in a large fleet.
	maxToldAtOnce = 64
)

// streamOrigins knows where streams began that this host relayed, or that other hosts
// recorded here. It is safe for concurrent use.
//
// Hosts are told of each stream, unless its service has had one version, and its route
// one service, all the time that a stream may last: then every host knows the origin
// without being told. Should that end, the streams that may still be taken up are told
// of.
type streamOrigins struct {
	now      func() time.Duration
	versions *serviceVersions
	// disconnected reports whether versions may be published that this host does not
	// know.
	disconnected func() bool
	// peers is nil if there are no other hosts.
	peers OriginPeers

	mu       sync.Mutex
	registry *streamorigin.Registry
	// untold holds the streams of this host of which others have not been told.
	untold map[streamorigin.Key]untoldStream
	// clientTimeouts holds the longest timeout that clients of an account had on a route.
	clientTimeouts map[clientsOfRoute]time.Duration
	// prunedFor is the configuration for which clientTimeouts was pruned last.
	prunedFor *directory.Config
}

// clientsOfRoute are the clients of an account that use a route.
type clientsOfRoute struct{ account, route string }

type untoldStream struct {
	record streamorigin.Record
	route  *directory.Route
	// lifetime is how long the stream may be taken up from its start on.
	lifetime time.Duration
	expires  time.Duration
	// tellAt is the time from which others may be told.
	tellAt time.Duration
}

func newStreamOrigins(cfg Config, versions *serviceVersions) *streamOrigins {
	return &streamOrigins{
		now: cfg.Now, versions: versions, disconnected: cfg.Disconnected, peers: cfg.OriginPeers,
		registry: streamorigin.NewRegistry(), untold: map[streamorigin.Key]untoldStream{}, clientTimeouts: map[clientsOfRoute]time.Duration{},
	}
}

// streamLifetime returns the time within which the stream of a request is taken up. A client
// may wait for longer than its route's timeout. In a later try its timeout may be what is
// left of the first one, so that the longest one of its account counts.
func (o *streamOrigins) streamLifetime(x *exchange) time.Duration {
	clients := clientsOfRoute{accountName(x.account), x.route.Name}
	o.mu.Lock()
	defer o.mu.Unlock()
	longest := max(o.clientTimeouts[clients], min(x.ClientTimeout, maxClientTimeout))
	o.clientTimeouts[clients] = longest
	return triesPerStream*max(cmp.Or(x.route.Timeout, defaultTimeout), longest) + lifetimeMargin
}

// prune forgets the clients of accounts and routes that are no longer configured. It is not
// called concurrently with itself.
func (o *streamOrigins) prune(view *directory.View) {
	if view.Config == nil || view.Config == o.prunedFor {
		return
	}
	o.prunedFor = view.Config
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.clientTimeouts, func(c clientsOfRoute, _ time.Duration) bool {
		known := c.account == accountName(nil) || view.HasAccount(c.account)
		return !known || !view.HasRoute(c.route)
	})
}

// onlyService returns the only service that may begin a route's streams; empty if there
// are several.
func onlyService(r *directory.Route) string {
	only := ""
	for _, b := range r.Backends {
		if b.Weight == 0 || b.Service == only {
			continue
		}
		if only != "" {
			return ""
		}
		only = b.Service
	}
	return only
}

// followsFromVersions reports whether every host knows the version of the streams that
// the route begins, since its service has had no other for the lifetime of a stream.
func (o *streamOrigins) followsFromVersions(r *directory.Route, lifetime time.Duration) bool {
	return o.statement(onlyService(r), lifetime).Versions == streamorigin.One
}

// statement returns what this host says about the versions of a service.
func (o *streamOrigins) statement(service string, window time.Duration) streamorigin.Answer {
	if service == "" {
		return streamorigin.Answer{}
	}
	only, one, several := o.versions.within(service, window)
	switch {
	case several:
		return streamorigin.Answer{Versions: streamorigin.Several}
	case one && !o.disconnected():
		return streamorigin.Answer{Versions: streamorigin.One, Version: only}
	}
	return streamorigin.Answer{}
}

// begin records where a stream began, and tells other hosts of it if they need it. It
// runs before the first event is passed on: this host may be lost right after.
func (o *streamOrigins) begin(x *exchange, origin streamorigin.Origin) {
	key, lifetime := x.streamKey(), o.streamLifetime(x)
	record := streamorigin.Record{Key: key, Origin: origin, Lifetime: lifetime}
	follows := o.followsFromVersions(x.route, lifetime)
	final := !follows && (o.peers == nil || o.peers.Tell([]streamorigin.Record{record}))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.registry.Add(o.now(), record)
	if final {
		return
	}
	s := untoldStream{record: record, route: x.route, lifetime: lifetime, expires: o.now() + lifetime}
	if !follows {
		s.tellAt = o.now() + retellInterval
	}
	o.untold[key] = s
}

// end records that a stream was passed on whole, so that it is hardly taken up: other
// hosts need not be told of it any more.
func (o *streamOrigins) end(key streamorigin.Key) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.untold, key)
}

// tellPending tells other hosts of the streams whose origin no longer follows from the
// versions of their service.
func (o *streamOrigins) tellPending() {
	records := o.takePending()
	if len(records) == 0 || o.peers != nil && !o.peers.Tell(records) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range records {
		delete(o.untold, r.Key)
	}
}

// takePending returns the records that are due to be told.
func (o *streamOrigins) takePending() (records []streamorigin.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, s := range o.untold {
		switch {
		case len(records) >= maxToldAtOnce:
			return records
		case s.expires <= o.now():
			delete(o.untold, key)
		case s.tellAt <= o.now() && !o.followsFromVersions(s.route, s.lifetime):
			s.record.Lifetime = s.expires - o.now()
			records = append(records, s.record)
			s.tellAt = o.now() + retellInterval
			o.untold[key] = s
		}
	}
	return records
}

// find concludes where the stream began that a request takes up. answers is the number
// of hosts that answered, this one included.
func (o *streamOrigins) find(ctx context.Context, x *exchange) (origin *streamorigin.Origin, basis streamorigin.Basis, answers int) {
	q := streamorigin.Question{Key: x.streamKey(), Service: onlyService(x.route), Window: o.streamLifetime(x)}
	all := []streamorigin.Answer{o.answer(q)}
	if all[0].Origin == nil && o.peers != nil {
		all = append(all, o.peers.Ask(ctx, q)...)
	}
	origin, basis = streamorigin.Resolve(q, all)
	return origin, basis, len(all)
}

// answer answers a question from what this host knows.
func (o *streamOrigins) answer(q streamorigin.Question) streamorigin.Answer {
	a := o.statement(q.Service, q.Window)
	o.mu.Lock()
	defer o.mu.Unlock()
	a.Origin, a.Conflict = o.registry.Find(o.now(), q.Key)
	return a
}

// AnswerOrigin answers another host's question where a stream began.
func (g *Gateway) AnswerOrigin(q streamorigin.Question) streamorigin.Answer {
	return g.origins.answer(q)
}

// RecordOrigins records where streams of other hosts began.
func (g *Gateway) RecordOrigins(records []streamorigin.Record) {
	g.origins.mu.Lock()
	defer g.origins.mu.Unlock()
	for _, r := range records {
		g.origins.registry.Add(g.cfg.Now(), r)
	}
}

// takesUp reports whether a request goes on with the stream of an earlier one.
func (x *exchange) takesUp() bool { return x.Resumes != "" || x.ResumeAfter != "" }

// streamKey returns the key of the stream that a request begins or takes up.
func (x *exchange) streamKey() streamorigin.Key {
	return streamorigin.KeyOf(accountName(x.account), cmp.Or(x.Resumes, x.ID))
}

// bindToOrigin binds a request that takes a stream up to the service and version that
// began it, or returns the reason to refuse it.
func (g *Gateway) bindToOrigin(ctx context.Context, x *exchange) error {
	g.metrics.takenUp.Inc(1)
	if x.Resumes != "" && x.Resumes == x.ID {
		return failure.New(failure.KindBadRequest, "the request names itself as the one whose stream it takes up")
	}
	if !x.route.Resumable {
		return g.denyIfCurrent(failure.New(failure.KindNotResumable, "streams of this route can't be resumed"))
	}
	origin, basis, answers := g.origins.find(ctx, x)
	g.cfg.Log.Info("stream taken up", "request", x.ID, "resumes", x.Resumes, "after_event", x.ResumeAfter, "route", x.route.Name,
		"origin", origin.String(), "basis", basis, "answers", answers)
	if origin == nil {
		g.metrics.originsUnknown.Inc(1)
		return failure.New(failure.KindStreamUnknown, "it is not known which version began the stream: %s", basis).WithRetryAfter(originUnknownRetryAfter)
	}
	if !x.route.LeadsTo(origin.Service) {
		return failure.New(failure.KindNoTarget, "the route no longer leads to the service that began the stream").WithRetryAfter(noTargetRetryAfter)
	}
	service, found := x.view.Service(origin.Service)
	if !found {
		return failure.New(failure.KindNoTarget, "the service that began the stream is not configured").WithRetryAfter(noTargetRetryAfter)
	}
	x.service, x.origin = service, origin
	return nil
}
