package gatewayhost

import (
	"context"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/decide/membership"
	"filbertdeck/internal/decide/streamorigin"
	"filbertdeck/internal/gateway"
)

const (
	// originKeepers is the number of hosts that keep the origin of a stream: it is lost
	// only if all of them fail before the stream is taken up.
	originKeepers = 3
	// originsAsked is the number of hosts that are asked for the origin of a stream. The
	// host that began it may have known fewer or other hosts.
	originsAsked = 8
	// originTimeout bounds the wait for answers to a question for an origin. A round trip
	// within a region takes a few milliseconds, more on a busy host.
	originTimeout = 40 * time.Millisecond
	// originTries is how often hosts that do not answer are asked: datagrams get lost.
	originTries = 2
	// maxOriginsPerDatagram bounds the records in one datagram, so that it fits into one
	// network packet.
	maxOriginsPerDatagram = 15
	// maxOriginText bounds the length of a service's name and of a version, in bytes.
	maxOriginText = 256
	// maxOriginMillis bounds the times in messages, in milliseconds.
	maxOriginMillis = uint64(24 * time.Hour / time.Millisecond)
)

// originKeeper keeps the origins of streams for other hosts.
type originKeeper interface {
	RecordOrigins(records []streamorigin.Record)
	AnswerOrigin(q streamorigin.Question) streamorigin.Answer
}

// originPeers implements gateway.OriginPeers by datagrams. The hosts that keep an origin
// rank first for the stream's key among the live hosts of this region: clients come back
// to hosts of their region.
type originPeers struct {
	exchange *ownerExchange
	fleet    *fleetView
	region   []string

	told, asked, unanswered gometrics.Counter
}

func newOriginPeers(s *Settings, exchange *ownerExchange, fleet *fleetView, reg gometrics.Registry) *originPeers {
	return &originPeers{
		exchange: exchange, fleet: fleet, region: s.Deployment.regionDataCentres(s.DataCentre),
		told: gometrics.GetOrRegisterCounter("origins.told", reg), asked: gometrics.GetOrRegisterCounter("origins.asked", reg), unanswered: gometrics.GetOrRegisterCounter("origins.unanswered", reg),
	}
}

var _ gateway.OriginPeers = (*originPeers)(nil)

// Tell implements gateway.OriginPeers. While this host does not know all others yet, it
// tells those that it knows, which others may not ask.
func (p *originPeers) Tell(records []streamorigin.Record) (final bool) {
	live := p.fleet.liveHostsOf(p.region)
	batches := map[string][]*filbertv1.StreamOrigin{}
	for _, r := range records {
		message := encodeOrigin(r)
		for _, host := range membership.TopRanked(rankKey(r.Key), live, originKeepers) {
			if host != p.fleet.self {
				batches[host] = append(batches[host], message)
			}
		}
	}
	for host, batch := range batches {
		for chunk := range slices.Chunk(batch, maxOriginsPerDatagram) {
			p.told.Inc(int64(len(chunk)))
			p.exchange.send(host, &filbertv1.TargetLoads{Origins: chunk})
		}
	}
	_, settled := p.fleet.settledHostCount()
	return settled
}

// Ask implements gateway.OriginPeers. It asks the hosts that keep the origin, also those
// that are taken for dead: they may be partitioned from others only.
func (p *originPeers) Ask(ctx context.Context, q streamorigin.Question) []streamorigin.Answer {
	pending := p.keepersToAsk(q.Key)
	var answers []streamorigin.Answer
	for range originTries {
		if len(pending) == 0 || ctx.Err() != nil {
			break
		}
		var got []streamorigin.Answer
		got, pending = p.askAll(pending, q)
		answers = append(answers, got...)
		if slices.ContainsFunc(answers, func(a streamorigin.Answer) bool { return a.Origin != nil || a.Conflict }) {
			break
		}
	}
	p.unanswered.Inc(int64(len(pending)))
	return answers
}

// keepersToAsk returns the other hosts that may keep an origin: those that rank first
// among the live hosts now, and among all that are known.
func (p *originPeers) keepersToAsk(key streamorigin.Key) []string {
	hosts := membership.TopRanked(rankKey(key), p.fleet.liveHostsOf(p.region), originsAsked)
	for _, host := range membership.TopRanked(rankKey(key), p.fleet.knownHostsOf(p.region), originKeepers) {
		if !slices.Contains(hosts, host) {
			hosts = append(hosts, host)
		}
	}
	return slices.DeleteFunc(hosts, func(host string) bool { return host == p.fleet.self })
}

// askAll asks hosts at the same time. It returns their answers, and the hosts that gave
// none in time.
func (p *originPeers) askAll(hosts []string, q streamorigin.Question) (answers []streamorigin.Answer, silent []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, host := range hosts {
		wg.Go(func() {
			p.asked.Inc(1)
			answer, ok := p.exchange.queryWithin(originTimeout, host, &filbertv1.TargetLoads{OriginQuestion: encodeQuestion(q)})
			mu.Lock()
			defer mu.Unlock()
			if !ok || answer.GetOriginAnswer() == nil {
				silent = append(silent, host)
				return
			}
			answers = append(answers, decodeOriginAnswer(answer.GetOriginAnswer()))
		})
	}
	wg.Wait()
	return answers, silent
}

// rankKey returns the text by which hosts rank for a stream.
func rankKey(key streamorigin.Key) string { return hex.EncodeToString(key[:]) }

func encodeOrigin(r streamorigin.Record) *filbertv1.StreamOrigin {
	return &filbertv1.StreamOrigin{Key: r.Key[:], Service: r.Origin.Service, Version: r.Origin.Version, LifetimeMs: toUint32(int(r.Lifetime.Milliseconds()))}
}

// decodeOrigins returns the valid ones of received records.
func decodeOrigins(messages []*filbertv1.StreamOrigin) []streamorigin.Record {
	records := make([]streamorigin.Record, 0, len(messages))
	for _, m := range messages {
		if origin, ok := decodeOrigin(m); ok && len(m.GetKey()) == len(streamorigin.Key{}) {
			records = append(records, streamorigin.Record{Key: streamorigin.Key(m.GetKey()), Origin: origin, Lifetime: fromWireMillis(m.GetLifetimeMs())})
		}
	}
	return records
}

func decodeOrigin(m *filbertv1.StreamOrigin) (streamorigin.Origin, bool) {
	origin := streamorigin.Origin{Service: m.GetService(), Version: m.GetVersion()}
	return origin, origin.Service != "" && len(origin.Service) <= maxOriginText && len(origin.Version) <= maxOriginText
}

func encodeQuestion(q streamorigin.Question) *filbertv1.OriginQuestion {
	return &filbertv1.OriginQuestion{Key: q.Key[:], Service: q.Service, WindowMs: toUint32(int(q.Window.Milliseconds()))}
}

func decodeQuestion(m *filbertv1.OriginQuestion) (streamorigin.Question, bool) {
	if len(m.GetKey()) != len(streamorigin.Key{}) || len(m.GetService()) > maxOriginText {
		return streamorigin.Question{}, false
	}
	return streamorigin.Question{Key: streamorigin.Key(m.GetKey()), Service: m.GetService(), Window: fromWireMillis(m.GetWindowMs())}, true
}

func encodeOriginAnswer(a streamorigin.Answer) *filbertv1.OriginAnswer {
	out := &filbertv1.OriginAnswer{Conflict: a.Conflict, One: a.Versions == streamorigin.One, Several: a.Versions == streamorigin.Several, Version: a.Version}
	if a.Origin != nil {
		out.Origin = &filbertv1.StreamOrigin{Service: a.Origin.Service, Version: a.Origin.Version}
	}
	return out
}

func decodeOriginAnswer(m *filbertv1.OriginAnswer) streamorigin.Answer {
	a := streamorigin.Answer{Conflict: m.GetConflict(), Version: m.GetVersion()}
	switch {
	case m.GetSeveral():
		a.Versions = streamorigin.Several
	case m.GetOne():
		a.Versions = streamorigin.One
	}
	if m.GetOrigin() != nil {
		if origin, ok := decodeOrigin(m.GetOrigin()); ok {
			a.Origin = &origin
		}
	}
	return a
}

func fromWireMillis(ms uint32) time.Duration {
	return time.Duration(min(uint64(ms), maxOriginMillis)) * time.Millisecond
}
