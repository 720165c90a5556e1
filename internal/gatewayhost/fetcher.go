package gatewayhost

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/controller/gossip"
	"filbertdeck/internal/controller/recordsync"
	"filbertdeck/internal/decide/fetch"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/wake"
)

// fetchPollInterval is how often the plan is checked for a peer to fetch from
// while a fetch is pending.
const fetchPollInterval = 20 * time.Millisecond

// fetcher transfers published data that is too large for gossip messages, in
// both directions.
type fetcher struct {
	published    *recordsync.Controller
	roles        *readerRoles
	now          Clock
	log          *slog.Logger
	announcement chan struct{}
	// supplyNews and takeNews encode and apply the published changes that
	// accompany a transfer. They must be set before the first transfer.
	supplyNews func(peer string) *filbertv1.PublishedNews
	takeNews   func(peer string, news *filbertv1.PublishedNews, requestedAt time.Time)

	mu      sync.Mutex
	plan    *fetch.PeerSelector
	uploads fetch.UploadLimiter
	// needsFullCopy is set when a peer's changes can't be applied to the
	// configuration held here.
	needsFullCopy bool
}

func newFetcher(p *recordsync.Controller, roles *readerRoles, now Clock, log *slog.Logger) *fetcher {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	f := &fetcher{
		published: p, roles: roles, now: now, log: log, announcement: make(chan struct{}, 1),
		plan: fetch.NewPeerSelector(fetch.DefaultConfig(), rng),
	}
	roles.recordsAnnounced = f.isBehind
	return f
}

// isBehind reports whether a peer has announced published data that this host lacks.
func (f *fetcher) isBehind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plan.IsBehind()
}

// recordAnnouncement records what published data a peer holds.
func (f *fetcher) recordAnnouncement(peer string, announced fetch.Holding) {
	if f.published.Held().Covers(announced) {
		return
	}
	sameGroup := f.roles.inRelayGroup(peer)
	f.mu.Lock()
	f.plan.RecordAnnouncement(f.now(), peer, sameGroup, announced)
	f.mu.Unlock()
	wake.Signal(f.announcement)
}

// run executes pending fetches, one transfer at a time.
func (f *fetcher) run(ctx context.Context, c *gossip.Controller) {
	for ctx.Err() == nil {
		rank := f.roles.relayGroupRank()
		held := f.published.Held()
		f.mu.Lock()
		peer, timeout, ok := f.plan.StartTransfer(f.now(), held, rank)
		pending := f.plan.IsBehind()
		f.mu.Unlock()
		switch {
		case ok:
			outcome := f.fetch(ctx, c, peer, timeout)
			f.mu.Lock()
			f.plan.FinishTransfer(f.now(), peer, outcome)
			f.mu.Unlock()
		case pending:
			wake.Sleep(ctx, fetchPollInterval)
		default:
			select {
			case <-ctx.Done():
			case <-f.announcement:
			}
		}
	}
}

func (f *fetcher) fetch(ctx context.Context, c *gossip.Controller, peer string, timeout time.Duration) fetch.Outcome {
	held := f.published.Held()
	if f.needsFullCopy {
		held.Config = 0
	}
	requestedAt := time.Now()
	reply, err := c.FetchConfig(ctx, peer, timeout, &filbertv1.FetchRequest{
		ConfigVersion: held.Config, Era: held.Records.Era, Revision: held.Records.Revision,
	})
	if err != nil {
		f.log.Info("not fetched", "peer", peer, "config", held.Config, "position", held.Records, "timeout", timeout, "error", err)
		return fetch.OutcomeFailed
	}
	if reply.GetBusy() {
		for _, holder := range reply.GetHolders() {
			f.recordAnnouncement(holder, holdingOf(reply.GetNews()))
		}
		return fetch.OutcomeBusy
	}
	f.needsFullCopy, err = f.published.ApplyBundle(peer, recordsync.DeltaBundle{Config: reply.GetDelta(), Records: reply.GetRecords()})
	if err != nil {
		f.log.Warn("data fetched from a peer can't be applied", "peer", peer, "error", err)
		return fetch.OutcomeFailed
	}
	f.takeNews(peer, reply.GetNews(), requestedAt)
	return fetch.OutcomeSucceeded
}

// serveFetch answers a peer's fetch request.
func (f *fetcher) serveFetch(peer string, req *filbertv1.FetchRequest) *filbertv1.FetchReply {
	bulk, err := f.published.BuildBundle(fetch.Holding{
		Config: req.GetConfigVersion(), Records: directory.Position{Era: req.GetEra(), Revision: req.GetRevision()},
	})
	if err != nil {
		f.log.Error("published data can't be packed for a peer", "peer", peer, "error", err)
	}
	reply := &filbertv1.FetchReply{News: f.supplyNews(peer)}
	if bulk.Size() == 0 {
		reply.Busy = true
		return reply
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	holders, ok := f.uploads.Admit(f.now(), peer, bulk.Size())
	if ok {
		reply.Delta, reply.Records = bulk.Config, bulk.Records
	} else {
		reply.Busy, reply.Holders = true, holders
	}
	return reply
}
