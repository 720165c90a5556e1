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
	"filbertdeck/internal/wake"
)

// fetchEvery is how often it is looked whether somebody may be asked by now
// while something is wanted.
const fetchEvery = 20 * time.Millisecond

// fetcher gets what was announced and is too long for news, and gives it to
// others.
type fetcher struct {
	published *recordsync.Controller
	roles     *roles
	now       Clock
	log       *slog.Logger
	wanted    chan struct{}
	// supply and take carry the news that come with it; set before
	// the first transfer.
	supply func(peer string) *filbertv1.PublishedNews
	take   func(peer string, news *filbertv1.PublishedNews, asked time.Time)

	mu    sync.Mutex
	plan  *fetch.PeerSelector
	giver fetch.UploadLimiter
	// whole is set when what is held here fits to no peer's changes.
	whole bool
}

func newFetcher(p *recordsync.Controller, roles *roles, now Clock, log *slog.Logger) *fetcher {
	draw := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &fetcher{
		published: p, roles: roles, now: now, log: log, wanted: make(chan struct{}, 1),
		plan: fetch.NewPeerSelector(fetch.DefaultConfig(), draw),
	}
}

// announced notes that a peer holds what is published up to a revision.
func (f *fetcher) announced(peer string, revision uint64) {
	if _, _, held := f.published.HeldRevisions(); revision <= held {
		return
	}
	near := f.roles.shares(peer)
	f.mu.Lock()
	f.plan.RecordAnnouncement(f.now(), peer, near, revision)
	f.mu.Unlock()
	wake.Signal(f.wanted)
}

// run fetches what is wanted, one transfer at a time.
func (f *fetcher) run(ctx context.Context, c *gossip.Controller) {
	for ctx.Err() == nil {
		rank := f.roles.rankOfSelf()
		_, _, held := f.published.HeldRevisions()
		f.mu.Lock()
		peer, timeout, ok := f.plan.StartTransfer(f.now(), held, rank)
		wants := f.plan.IsBehind()
		f.mu.Unlock()
		switch {
		case ok:
			outcome := f.fetch(ctx, c, peer, timeout)
			f.mu.Lock()
			f.plan.FinishTransfer(f.now(), peer, outcome)
			f.mu.Unlock()
		case wants:
			wake.Sleep(ctx, fetchEvery)
		default:
			select {
			case <-ctx.Done():
			case <-f.wanted:
			}
		}
	}
}

func (f *fetcher) fetch(ctx context.Context, c *gossip.Controller, peer string, timeout time.Duration) fetch.Outcome {
	config, records, _ := f.published.HeldRevisions()
	if f.whole {
		config = 0
	}
	asked := time.Now()
	reply, err := c.FetchConfig(ctx, peer, timeout, &filbertv1.FetchRequest{ConfigRevision: config, Revision: records})
	if err != nil {
		f.log.Info("not fetched", "peer", peer, "config", config, "revision", records, "timeout", timeout, "error", err)
		return fetch.Failed
	}
	if reply.GetBusy() {
		for _, holder := range reply.GetHolders() {
			f.announced(holder, reply.GetNews().GetRevision())
		}
		return fetch.Busy
	}
	f.whole, err = f.published.ApplyBundle(peer, recordsync.DeltaBundle{Config: reply.GetDelta(), Records: reply.GetRecords()})
	if err != nil {
		f.log.Warn("what a peer gave can't be read", "peer", peer, "error", err)
		return fetch.Failed
	}
	f.take(peer, reply.GetNews(), asked)
	return fetch.Succeeded
}

// give answers a peer's fetch.
func (f *fetcher) give(peer string, req *filbertv1.FetchRequest) *filbertv1.FetchReply {
	bulk, err := f.published.BuildBundle(req.GetConfigRevision(), req.GetRevision())
	if err != nil {
		f.log.Error("nothing can be given", "peer", peer, "error", err)
	}
	reply := &filbertv1.FetchReply{News: f.supply(peer)}
	if bulk.Size() == 0 {
		reply.Busy = true
		return reply
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	others, ok := f.giver.Admit(f.now(), peer, bulk.Size())
	if ok {
		reply.Delta, reply.Records = bulk.Config, bulk.Records
	} else {
		reply.Busy, reply.Holders = true, others
	}
	return reply
}
