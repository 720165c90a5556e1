package gatewayhost

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/controller/gossip"
	"filbertdeck/internal/controller/published"
	"filbertdeck/internal/decide/fetch"
	"filbertdeck/internal/wake"
)

// fetchEvery is how often it is looked whether somebody may be asked by now
// while a configuration is wanted.
const fetchEvery = 20 * time.Millisecond

// fetcher gets configurations that were announced, and gives them to others.
type fetcher struct {
	published *published.Controller
	roles     *roles
	now       Clock
	log       *slog.Logger
	wanted    chan struct{}
	// supply and take carry the news that come with a configuration; set before
	// the first transfer.
	supply func(peer string) *filbertv1.PublishedNews
	take   func(peer string, news *filbertv1.PublishedNews, asked time.Time)

	mu    sync.Mutex
	plan  *fetch.Plan
	giver fetch.Giver
	// whole is set when what is held here fits to no peer's changes.
	whole bool
}

func newFetcher(p *published.Controller, roles *roles, now Clock, log *slog.Logger) *fetcher {
	draw := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &fetcher{
		published: p, roles: roles, now: now, log: log, wanted: make(chan struct{}, 1),
		plan: fetch.NewPlan(fetch.Default(), draw),
	}
}

// announced notes that a peer holds a configuration of a revision.
func (f *fetcher) announced(peer string, revision uint64) {
	if revision <= f.published.ConfigRevision() {
		return
	}
	near := f.roles.shares(peer)
	f.mu.Lock()
	f.plan.Announced(f.now(), peer, near, revision)
	f.mu.Unlock()
	wake.Signal(f.wanted)
}

// run fetches what is wanted, one transfer at a time.
func (f *fetcher) run(ctx context.Context, c *gossip.Controller) {
	for ctx.Err() == nil {
		rank := f.roles.rankOfSelf()
		f.mu.Lock()
		peer, timeout, ok := f.plan.Next(f.now(), f.published.ConfigRevision(), rank)
		wants := f.plan.Wants()
		f.mu.Unlock()
		switch {
		case ok:
			outcome := f.fetch(ctx, c, peer, timeout)
			f.mu.Lock()
			f.plan.Done(f.now(), peer, outcome)
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
	held := f.published.ConfigRevision()
	if f.whole {
		held = 0
	}
	asked := time.Now()
	reply, err := c.FetchFrom(ctx, peer, timeout, &filbertv1.FetchRequest{ConfigRevision: held})
	if err != nil {
		f.log.Info("configuration not fetched", "peer", peer, "held", held, "timeout", timeout, "error", err)
		return fetch.Failed
	}
	if reply.GetBusy() {
		for _, holder := range reply.GetHolders() {
			f.announced(holder, reply.GetNews().GetConfig().GetRevision())
		}
		return fetch.Busy
	}
	f.whole, err = f.published.TakeConfig(peer, reply.GetDelta())
	if err != nil {
		f.log.Warn("configuration of a peer can't be read", "peer", peer, "error", err)
		return fetch.Failed
	}
	f.take(peer, reply.GetNews(), asked)
	return fetch.Taken
}

// give answers a peer's fetch.
func (f *fetcher) give(peer string, req *filbertv1.FetchRequest) *filbertv1.FetchReply {
	packed, revision, err := f.published.PackConfig(req.GetConfigRevision())
	if err != nil {
		f.log.Error("configuration can't be given", "peer", peer, "error", err)
	}
	reply := &filbertv1.FetchReply{News: f.supply(peer)}
	if len(packed) == 0 {
		reply.Busy = true
		return reply
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	others, ok := f.giver.Give(f.now(), peer, revision, len(packed))
	if ok {
		reply.Delta = packed
	} else {
		reply.Busy, reply.Holders = true, others
	}
	return reply
}
