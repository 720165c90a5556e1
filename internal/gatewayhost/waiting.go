package gatewayhost

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/controller/recordsync"
	"filbertdeck/internal/decide/waitlist"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/gateway"
	"filbertdeck/internal/process"
)

const (
	// announceInterval is the time between two announcements of a holder that generations
	// wait. An announcement holds for announcementLifetime, so that one may be lost.
	announceInterval     = 100 * time.Millisecond
	announcementLifetime = 250 * time.Millisecond
	// silenceBeforeTakeover is how long a holder must have left reports unanswered before
	// the next host is told: one lost datagram must not divide a list between two holders.
	silenceBeforeTakeover = 200 * time.Millisecond
	// maxWaitText bounds the length of the names of services and accounts, in bytes.
	maxWaitText = 256
)

// waitingOrder implements gateway.WaitingOrder by datagrams. It reports generations of this
// host, and holds the lists of which this host is the holder.
type waitingOrder struct {
	exchange *ownerExchange
	fleet    *fleetView
	board    *recordsync.Board
	now      Clock
	// live is the live hosts and the holders among them, for the last version of the
	// membership that was used.
	live atomic.Pointer[waitlist.Fleet]

	mu    sync.Mutex
	lists *waitlist.Lists
	// announced holds the last announcement for each service, silent the time from which on
	// a holder has left reports unanswered.
	announced map[string]announcement
	silent    map[string]time.Duration
}

// announcement is the priority of the most urgent generation that waits, as heard at a time.
type announcement struct {
	priority int
	at       time.Duration
}

var _ gateway.WaitingOrder = (*waitingOrder)(nil)

func newWaitingOrder(exchange *ownerExchange, fleet *fleetView, board *recordsync.Board, now Clock) *waitingOrder {
	return &waitingOrder{
		exchange: exchange, fleet: fleet, board: board, now: now,
		lists: waitlist.NewLists(), announced: map[string]announcement{}, silent: map[string]time.Duration{},
	}
}

func runWaitingOrder(lc fx.Lifecycle, w *waitingOrder) {
	w.exchange.waiting = w
	process.RunPeriodically(lc, announceInterval, w.announce)
}

// Report implements gateway.WaitingOrder.
func (w *waitingOrder) Report(ctx context.Context, e waitlist.Entry) (waitlist.Answer, bool) {
	holder, known := w.holder(e.Service)
	if !known || ctx.Err() != nil {
		return waitlist.Answer{}, false
	}
	if holder == w.fleet.self {
		return w.record(holder, e)
	}
	message, ok := w.exchange.queryWithin(w.exchange.answerTimeout, holder, &filbertv1.TargetLoads{WaitReport: encodeWaiting(e)})
	w.recordAnswer(holder, ok)
	// A host without this build answers without an answer to the report.
	if message.GetWaitAnswer() == nil {
		return waitlist.Answer{}, false
	}
	return decodeWaitAnswer(message.GetWaitAnswer()), true
}

// Done implements gateway.WaitingOrder.
func (w *waitingOrder) Done(e waitlist.Entry, placed bool) {
	holder, known := w.holder(e.Service)
	switch {
	case !known:
	case holder == w.fleet.self:
		w.recordDone(holder, e, placed)
	default:
		report := encodeWaiting(e)
		report.Done, report.Placed = true, placed
		w.exchange.send(holder, &filbertv1.TargetLoads{WaitReport: report})
	}
}

// OthersWait implements gateway.WaitingOrder.
func (w *waitingOrder) OthersWait(service string, priority int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, heard := w.announced[service]
	return heard && w.now()-a.at <= announcementLifetime && a.priority <= priority
}

// holder returns the host that holds the list of this host's generations of a service; false
// if none is known.
func (w *waitingOrder) holder(service string) (string, bool) {
	holders := w.holders(service)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, host := range holders {
		since, silent := w.silent[host]
		if silentFor := w.now() - since; !silent || silentFor < silenceBeforeTakeover {
			return host, true
		} else if silentFor >= silenceBeforeTakeover+unresponsivePeriod {
			// The host is tried again.
			delete(w.silent, host)
			return host, true
		}
	}
	if len(holders) == 0 {
		return "", false
	}
	return holders[0], true
}

// liveFleet returns the live hosts. A newer list of hosts that is stored with an older version
// is replaced by the next call.
func (w *waitingOrder) liveFleet() *waitlist.Fleet {
	version := w.fleet.version()
	if fleet := w.live.Load(); fleet != nil && fleet.Version == version {
		return fleet
	}
	fleet := waitlist.NewFleet(version, w.fleet.liveHosts(""))
	w.live.Store(fleet)
	return fleet
}

// holders returns the hosts that may hold the list of this host's generations of a service.
func (w *waitingOrder) holders(service string) []string {
	fleet := w.liveFleet()
	key := waitlist.Key{Service: service, Partition: fleet.Partition(w.fleet.self)}
	holders, ranked := fleet.Holders(key)
	if !ranked {
		next := fleet.WithHolders(key)
		// If another list was added meanwhile, the next report adds this one.
		w.live.CompareAndSwap(fleet, next)
		holders, _ = next.Holders(key)
	}
	return holders
}

// recordAnswer records whether a holder answered a report.
func (w *waitingOrder) recordAnswer(holder string, answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if answered {
		delete(w.silent, holder)
	} else if _, silent := w.silent[holder]; !silent {
		w.silent[holder] = w.now()
	}
}

// handle takes in a message of another host; false if it does not concern waiting
// generations, or answers a query of this host.
func (w *waitingOrder) handle(sender netip.AddrPort, message *filbertv1.TargetLoads) bool {
	report := message.GetWaitReport()
	switch {
	case report == nil:
		return false
	case len(report.GetService()) > maxWaitText || len(report.GetAccount()) > maxWaitText:
	case message.GetAnswer():
		w.recordAnnouncement(report.GetService(), int(report.GetPriority()))
	case report.GetDone():
		w.recordDone(sender.String(), decodeWaiting(report), report.GetPlaced())
	default:
		answer := &filbertv1.TargetLoads{Question: message.GetQuestion(), Answer: true}
		// Without a list the answer is that of a host without the order: the generation
		// searches by itself, and its host does not take this one for silent.
		if a, ok := w.record(sender.String(), decodeWaiting(report)); ok {
			answer.WaitAnswer = encodeWaitAnswer(a)
		}
		if err := w.exchange.sendTo(sender, answer); err != nil {
			w.exchange.log.Debug("sending the answer to a waiting generation failed", "to", sender, "error", err)
		}
	}
	return true
}

// record records a report of a host and returns the answer; false if there is no list for it.
func (w *waitingOrder) record(host string, e waitlist.Entry) (waitlist.Answer, bool) {
	key, create := w.keyOf(host, e.Service), w.mayHold(e.Service)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lists.Report(w.now(), key, e, create)
}

// recordDone records that a generation of a host waits no longer.
func (w *waitingOrder) recordDone(host string, e waitlist.Entry, placed bool) {
	key := w.keyOf(host, e.Service)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lists.Done(w.now(), key, e, placed)
}

// keyOf returns the key of the list for a host's generations of a service.
func (w *waitingOrder) keyOf(host, service string) waitlist.Key {
	return waitlist.Key{Service: service, Partition: w.liveFleet().Partition(host)}
}

// mayHold reports whether a list may be created for a service: one with engines by this
// host's configuration, and any while this host has none. A new process may be a holder
// before it has the configuration.
func (w *waitingOrder) mayHold(service string) bool {
	view := w.board.View.Get()
	return view == nil || view.Config == nil || hasEngines(view, service)
}

func hasEngines(view *directory.View, service string) bool {
	s, known := view.Service(service)
	return known && s.Engine != nil
}

// announce tells the hosts of each list held here that generations wait, so that one that
// arrives there does not take the room of those by its first search. It drops state that
// is no longer used.
func (w *waitingOrder) announce() {
	w.dropOutdated()
	fleet := w.liveFleet()
	for key, priority := range w.waitingClasses() {
		// An answer without a question is ignored by hosts without this build.
		message := &filbertv1.TargetLoads{Answer: true, WaitReport: &filbertv1.WaitReport{Service: key.Service, Priority: int32(priority)}}
		for _, host := range fleet.Hosts() {
			switch {
			case fleet.Partition(host) != key.Partition:
			case host == w.fleet.self:
				w.recordAnnouncement(key.Service, priority)
			default:
				w.exchange.send(host, message)
			}
		}
	}
}

// waitingClasses returns the most urgent priority that waits on each list held here, and drops
// lists that are no longer used.
func (w *waitingOrder) waitingClasses() map[waitlist.Key]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lists.Waiting(w.now())
}

// dropOutdated drops announcements that hold no longer and the silence of holders that are
// due to be tried again: services are removed, and hosts leave the fleet.
func (w *waitingOrder) dropOutdated() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	maps.DeleteFunc(w.announced, func(_ string, a announcement) bool { return now-a.at > announcementLifetime })
	maps.DeleteFunc(w.silent, func(_ string, since time.Duration) bool { return now-since >= silenceBeforeTakeover+unresponsivePeriod })
}

// recordAnnouncement records that generations of a service wait. Services without engines by
// this host's configuration are left out: this host has no generations of theirs.
func (w *waitingOrder) recordAnnouncement(service string, priority int) {
	if view := w.board.View.Get(); view == nil || !hasEngines(view, service) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.announced[service] = announcement{priority, w.now()}
}

func encodeWaiting(e waitlist.Entry) *filbertv1.WaitReport {
	return &filbertv1.WaitReport{
		Id: e.ID, Service: e.Service, Priority: int32(e.Priority), Account: e.Account, Tokens: toUint32(e.Tokens),
		WaitedMs: toUint32(int(e.Waited.Milliseconds())), ObjectiveMs: toUint32(int(e.Objective.Milliseconds())), FirstTokenMs: toUint32(int(e.FirstToken.Milliseconds())),
	}
}

func decodeWaiting(m *filbertv1.WaitReport) waitlist.Entry {
	return waitlist.Entry{
		ID: m.GetId(), Service: m.GetService(), Priority: int(m.GetPriority()), Account: m.GetAccount(), Tokens: int(m.GetTokens()),
		Waited: fromWireMillis(m.GetWaitedMs()), Objective: fromWireMillis(m.GetObjectiveMs()), FirstToken: fromWireMillis(m.GetFirstTokenMs()),
	}
}

func encodeWaitAnswer(a waitlist.Answer) *filbertv1.WaitAnswer {
	return &filbertv1.WaitAnswer{Search: a.Search, Ahead: toUint32(a.Ahead), ExpectedWaitMs: toUint32(int(a.ExpectedWait.Milliseconds())), ExpectedWaitKnown: a.ExpectedWaitKnown}
}

func decodeWaitAnswer(m *filbertv1.WaitAnswer) waitlist.Answer {
	return waitlist.Answer{Search: m.GetSearch(), Ahead: int(m.GetAhead()), ExpectedWait: fromWireMillis(m.GetExpectedWaitMs()), ExpectedWaitKnown: m.GetExpectedWaitKnown()}
}
