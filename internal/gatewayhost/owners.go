package gatewayhost

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"google.golang.org/protobuf/proto"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/controller/recordsync"
	"filbertdeck/internal/decide/roomgrant"
	"filbertdeck/internal/decide/targetload"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/gateway"
	"filbertdeck/internal/process"
)

const (
	// queryTimeout bounds the wait for an owner's answer. A round trip between
	// data centres takes three milliseconds, and a generation takes seconds.
	queryTimeout = 15 * time.Millisecond
	// unresponsivePeriod is how long a host that did not answer is skipped in
	// favour of the next owner. Membership takes a second to detect a failed
	// host.
	unresponsivePeriod = time.Second
	// maxDatagramBytes is the largest datagram, in bytes; it holds the counts
	// of a hundred hosts.
	maxDatagramBytes = 8 << 10
	// maxCountsPerDatagram is the number of counts in one datagram, so that it
	// fits into one network packet.
	maxCountsPerDatagram = 20
)

// ownerExchange sends this host's target loads to the targets' owners, queries
// the owners, which have the latest counts, and answers queries as an owner. It
// uses UDP: a host queries each of the others only now and then, and a
// connection to each of them would take more memory than all its counts.
type ownerExchange struct {
	self  string
	loads *gateway.TargetLoads
	fleet *fleetView
	board *recordsync.Board
	now   Clock
	log   *slog.Logger

	// answerTimeout is queryTimeout outside of tests.
	answerTimeout time.Duration

	queries, unansweredQueries gometrics.Counter
	// borrowedRequests and refusedRequests count the requests of targets' rate
	// limits that other hosts lent or refused to lend.
	borrowedRequests, refusedRequests gometrics.Counter

	// origins keeps the origins of streams for other hosts; nil until it is known.
	origins originKeeper
	// waiting holds the order of waiting generations; nil until it is known.
	waiting *waitingOrder

	mu             sync.Mutex
	conn           *net.UDPConn
	pendingQueries map[uint64]chan *filbertv1.TargetLoads
	// unansweredAt holds the time at which a host last failed to answer a
	// query.
	unansweredAt map[string]time.Time
}

func newOwnerExchange(
	s *Settings, loads *gateway.TargetLoads, fleet *fleetView, board *recordsync.Board, now Clock, log *slog.Logger, reg gometrics.Registry,
) *ownerExchange {
	return &ownerExchange{
		self: s.Deployment.ListenPeers, loads: loads, fleet: fleet, board: board, now: now, log: log, answerTimeout: queryTimeout,
		pendingQueries: map[uint64]chan *filbertv1.TargetLoads{}, unansweredAt: map[string]time.Time{},
		queries: gometrics.GetOrRegisterCounter("owners.asked", reg), unansweredQueries: gometrics.GetOrRegisterCounter("owners.unanswered", reg),
		borrowedRequests: gometrics.GetOrRegisterCounter("rates.borrowed", reg), refusedRequests: gometrics.GetOrRegisterCounter("rates.refused", reg),
	}
}

func runOwnerExchange(lc fx.Lifecycle, o *ownerExchange, g *gateway.Gateway) {
	o.loads.SetOwnerQuery(o.queryOwner)
	o.loads.SetRoomOwners(o)
	o.loads.SetLenders(o.borrow, o.returnPlace)
	o.origins = g
	lc.Append(fx.StartHook(o.listen))
	process.RunInBackground(lc, func(ctx context.Context) {
		context.AfterFunc(ctx, func() { _ = o.conn.Close() })
		o.serve(ctx)
	})
	process.RunPeriodically(lc, broadcastInterval, o.sendChangedLoads)
}

func (o *ownerExchange) listen() error {
	address, err := net.ResolveUDPAddr("udp", o.self)
	if err != nil {
		return failure.Wrap(err, failure.KindSettingInvalid, "address %s is not an ip:port", o.self)
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return failure.Wrap(err, failure.KindSettingInvalid, "can't listen for UDP datagrams on %s", o.self)
	}
	o.conn = conn
	return nil
}

// queryOwner implements gateway.AskOwner.
func (o *ownerExchange) queryOwner(target gateway.TargetRef, ownCounts []targetload.HostLoad) ([]targetload.HostLoad, bool) {
	owner, known := o.responsiveOwner(target)
	if !known {
		return nil, false
	}
	if owner == o.self {
		return o.loads.AnswerOwnerQuery(ownCounts), true
	}
	answer, ok := o.query(owner, &filbertv1.TargetLoads{Loads: encodeCounts(ownCounts, o.now())})
	return decodeCounts(answer.GetLoads(), o.now()), ok
}

// RequestRoom implements gateway.RoomOwners.
func (o *ownerExchange) RequestRoom(target gateway.TargetRef, own targetload.HostLoad, r roomgrant.Request) (gateway.RoomReply, bool) {
	owner, known := o.responsiveOwner(target)
	if !known {
		return gateway.RoomReply{}, false
	}
	if owner == o.self {
		return o.loads.DecideRoom(o.board.View.Get(), own, r), true
	}
	answer, ok := o.query(owner, &filbertv1.TargetLoads{Loads: encodeCounts([]targetload.HostLoad{own}, o.now()), RoomRequest: encodeRoomRequest(target.ID, r)})
	return gateway.RoomReply{
		Counts: decodeCounts(answer.GetLoads(), o.now()), Decided: answer.GetRoomAnswer() != nil, Granted: answer.GetRoomAnswer().GetGranted(),
	}, ok
}

// SendCount implements gateway.RoomOwners.
func (o *ownerExchange) SendCount(target gateway.TargetRef, own targetload.HostLoad) {
	o.sendCounts([]targetload.HostLoad{own}, func(string) string { return target.DataCentre })
}

// sharePermille is the unit of a share of memory on the wire.
const sharePermille = 1000

func encodeRoomRequest(target string, r roomgrant.Request) *filbertv1.RoomRequest {
	return &filbertv1.RoomRequest{
		Target: target, Id: r.ID, Tokens: toUint32(r.Tokens), PromptTokens: toUint32(r.PromptTokens), MemorySharePermille: toUint32(int(math.Round(r.MemoryShare * sharePermille))),
		MaxUnreadTokens: toUint32(r.MaxUnreadTokens), LimitsUnread: r.LimitsUnread, Priority: int32(r.Priority), Move: r.Move,
	}
}

func decodeRoomRequest(m *filbertv1.RoomRequest) roomgrant.Request {
	return roomgrant.Request{
		ID: m.GetId(), Tokens: int(m.GetTokens()), PromptTokens: int(m.GetPromptTokens()), MemoryShare: float64(m.GetMemorySharePermille()) / sharePermille,
		MaxUnreadTokens: int(m.GetMaxUnreadTokens()), LimitsUnread: m.GetLimitsUnread(), Priority: int(m.GetPriority()), Move: m.GetMove(),
	}
}

// answerRoomRequest decides another host's request for room, which comes with the host's
// count of the target.
func (o *ownerExchange) answerRoomRequest(m *filbertv1.RoomRequest, counts []targetload.HostLoad, answer *filbertv1.TargetLoads) {
	if len(counts) != 1 || counts[0].Target != m.GetTarget() {
		return
	}
	reply := o.loads.DecideRoom(o.board.View.Get(), counts[0], decodeRoomRequest(m))
	answer.Loads = encodeCounts(reply.Counts, o.now())
	if reply.Decided {
		answer.RoomAnswer = &filbertv1.RoomAnswer{Granted: reply.Granted}
	}
}

// query sends a query to a host and returns the answer, or false when none
// arrives in time. A host that does not answer is marked as unresponsive.
func (o *ownerExchange) query(host string, message *filbertv1.TargetLoads) (*filbertv1.TargetLoads, bool) {
	o.queries.Inc(1)
	answer, ok := o.queryWithin(o.answerTimeout, host, message)
	if !ok {
		o.unansweredQueries.Inc(1)
		o.markUnresponsive(host)
	}
	return answer, ok
}

// queryWithin sends a query to a host and returns the answer, or false when none arrives
// within a time.
func (o *ownerExchange) queryWithin(limit time.Duration, host string, message *filbertv1.TargetLoads) (*filbertv1.TargetLoads, bool) {
	queryID, answers := o.registerQuery()
	defer o.removeQuery(queryID)
	message.Question = queryID
	if !o.send(host, message) {
		return nil, false
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	return awaitAnswer(answers, timer.C)
}

// awaitAnswer returns the answer to a query, or false when none has arrived and the time is
// over.
func awaitAnswer(answers <-chan *filbertv1.TargetLoads, timeout <-chan time.Time) (*filbertv1.TargetLoads, bool) {
	select {
	case answer := <-answers:
		return answer, true
	case <-timeout:
	}
	select {
	case answer := <-answers:
		return answer, true
	default:
		return nil, false
	}
}

// borrow implements gateway.BorrowFunc. It asks one of the hosts that share the
// target's rate limit or its places, chosen at random.
func (o *ownerExchange) borrow(target string, holders int) (lender string, ok bool) {
	hosts := o.fleet.rateSharers(target, holders)
	if len(hosts) == 0 {
		return "", false
	}
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	lender = o.firstResponsive(hosts)
	answer, _ := o.query(lender, &filbertv1.TargetLoads{Borrow: target})
	if !answer.GetLent() {
		o.refusedRequests.Inc(1)
		return "", false
	}
	o.borrowedRequests.Inc(1)
	return lender, true
}

// returnPlace returns a target's place to the host that lent it. If the message is
// lost, that host has the place back after some time.
func (o *ownerExchange) returnPlace(target, lender string) {
	o.send(lender, &filbertv1.TargetLoads{Returned: target})
}

// sendChangedLoads sends this host's changed loads to the owners of the
// targets.
func (o *ownerExchange) sendChangedLoads() {
	if !o.loads.SendsToOwnersOnly() {
		return
	}
	o.sendCounts(o.loads.PendingOwnLoads(), o.targetDataCentre)
}

// targetDataCentre returns a target's data centre, empty when it is unknown.
func (o *ownerExchange) targetDataCentre(target string) string {
	if view := o.board.View.Get(); view != nil {
		if t, known := view.Target(target); known {
			return t.DataCentre
		}
	}
	return ""
}

// responsiveOwner returns the first of a target's owners that is not marked
// unresponsive.
func (o *ownerExchange) responsiveOwner(target gateway.TargetRef) (string, bool) {
	owners := o.fleet.owners(target)
	if len(owners) == 0 {
		return "", false
	}
	return o.firstResponsive(owners), true
}

// firstResponsive returns the first host that is not marked unresponsive, or
// the first of all when every host is.
func (o *ownerExchange) firstResponsive(hosts []string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, host := range hosts {
		if time.Since(o.unansweredAt[host]) >= unresponsivePeriod {
			return host
		}
	}
	return hosts[0]
}

func (o *ownerExchange) markUnresponsive(host string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for other, since := range o.unansweredAt {
		if now.Sub(since) >= unresponsivePeriod {
			delete(o.unansweredAt, other)
		}
	}
	o.unansweredAt[host] = now
}

// sendCounts sends this host's current loads to the owners of the targets.
// After a lost datagram an owner has outdated counts until the load is sent
// again.
func (o *ownerExchange) sendCounts(counts []targetload.HostLoad, dataCentre func(target string) string) {
	batches := map[string][]targetload.HostLoad{}
	for _, c := range counts {
		for _, owner := range o.fleet.owners(gateway.TargetRef{ID: c.Target, DataCentre: dataCentre(c.Target)}) {
			batches[owner] = append(batches[owner], c)
		}
	}
	for owner, batch := range batches {
		if owner == o.self {
			continue
		}
		for chunk := range slices.Chunk(batch, maxCountsPerDatagram) {
			o.send(owner, &filbertv1.TargetLoads{Loads: encodeCounts(chunk, o.now())})
		}
	}
}

// registerQuery draws a random query id and registers a channel for its answer.
func (o *ownerExchange) registerQuery() (uint64, <-chan *filbertv1.TargetLoads) {
	o.mu.Lock()
	defer o.mu.Unlock()
	queryID, answers := rand.Uint64(), make(chan *filbertv1.TargetLoads, 1)
	o.pendingQueries[queryID] = answers
	return queryID, answers
}

func (o *ownerExchange) removeQuery(queryID uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.pendingQueries, queryID)
}

// send sends a message to a host and reports whether it was sent.
func (o *ownerExchange) send(host string, message *filbertv1.TargetLoads) bool {
	address, err := netip.ParseAddrPort(host)
	if err != nil {
		o.log.Debug("owner address is not an ip:port", "owner", host, "error", err)
		return false
	}
	if err := o.sendTo(address, message); err != nil {
		o.log.Debug("sending a datagram failed", "to", host, "error", err)
		return false
	}
	return true
}

func (o *ownerExchange) sendTo(address netip.AddrPort, message *filbertv1.TargetLoads) error {
	payload, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	_, err = o.conn.WriteToUDPAddrPort(payload, address)
	return err
}

// serve answers queries and delivers answers until the socket is closed.
func (o *ownerExchange) serve(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, sender, err := o.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				o.log.Debug("reading a datagram failed", "error", err)
			}
			continue
		}
		var message filbertv1.TargetLoads
		if err := proto.Unmarshal(buffer[:n], &message); err != nil {
			o.log.Debug("datagram can't be decoded", "from", sender, "error", err)
			continue
		}
		o.handle(sender, &message)
	}
}

func (o *ownerExchange) handle(sender netip.AddrPort, message *filbertv1.TargetLoads) {
	if o.waiting != nil && o.waiting.handle(sender, message) {
		return
	}
	if message.GetAnswer() {
		o.mu.Lock()
		answers := o.pendingQueries[message.GetQuestion()]
		o.mu.Unlock()
		if answers != nil {
			select {
			case answers <- message:
			default:
			}
		}
		return
	}
	if records := decodeOrigins(message.GetOrigins()); len(records) > 0 && o.origins != nil {
		o.origins.RecordOrigins(records)
		return
	}
	counts := decodeCounts(message.GetLoads(), o.now())
	if target := message.GetReturned(); target != "" {
		o.loads.RecordReturned(target)
		return
	}
	if message.GetQuestion() == 0 {
		o.loads.MergeLoads("", counts)
		return
	}
	answer := &filbertv1.TargetLoads{Question: message.GetQuestion(), Answer: true}
	switch {
	case message.GetBorrow() != "":
		answer.Lent = o.loads.LendShare(message.GetBorrow())
	case message.GetOriginQuestion() != nil:
		answer.OriginAnswer = o.answerOrigin(message.GetOriginQuestion())
	case message.GetRoomRequest() != nil:
		o.answerRoomRequest(message.GetRoomRequest(), counts, answer)
	default:
		answer.Loads = encodeCounts(o.loads.AnswerOwnerQuery(counts), o.now())
	}
	if err := o.sendTo(sender, answer); err != nil {
		o.log.Debug("sending the answer to a query failed", "from", sender, "error", err)
	}
}

// answerOrigin answers another host's question where a stream began; nil if the question
// is not valid.
func (o *ownerExchange) answerOrigin(message *filbertv1.OriginQuestion) *filbertv1.OriginAnswer {
	q, ok := decodeQuestion(message)
	if !ok || o.origins == nil {
		return nil
	}
	return encodeOriginAnswer(o.origins.AnswerOrigin(q))
}
