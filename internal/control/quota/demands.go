package quota

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/decide/quota"
)

// call is one request to one owner.
type call struct {
	owner string
	asked time.Duration
	req   *filbertv1.RenewQuotaRequest
	// holders are those of the demands, in their order.
	holders []*holder
}

// collect gathers the demands that are due, by owner. In a round all pools
// renew; between two only pools that urgently want something ask, and renew
// what happens to be due in the same message.
func (c *Controller) collect(now time.Duration) []*call {
	c.syncHolders(now)
	inRound := now-c.round >= roundEvery
	if inRound {
		c.round = now
	}
	calls := map[string]*call{}
	for _, r := range c.dueReleases(now) {
		c.addRelease(calls, r)
	}
	for _, name := range slices.Sorted(maps.Keys(c.holders)) {
		h := c.holders[name]
		h.look(now, c.limits)
		if now-h.taken < settleFor || !inRound && !h.urgent(now, c.limits) {
			continue
		}
		for _, r := range h.leases.DropIdle(now, name, h.uses) {
			c.addRelease(calls, r)
		}
		for _, d := range h.leases.DueDemands(now, name, h.uses, maxDemands) {
			c.addDemand(calls, h, d)
		}
	}
	return c.ready(now, calls)
}

func (c *Controller) callTo(calls map[string]*call, account string) *call {
	owner, ok := c.accounts.Owner(account)
	if !ok {
		return nil
	}
	to := calls[owner]
	if to == nil {
		to = &call{owner: owner, req: &filbertv1.RenewQuotaRequest{From: c.cfg.Self, Incarnation: c.cfg.Incarnation}}
		calls[owner] = to
	}
	return to
}

func (c *Controller) addDemand(calls map[string]*call, h *holder, d quota.Demand) {
	to := c.callTo(calls, d.Account)
	if to == nil {
		return
	}
	to.holders = append(to.holders, h)
	to.req.Demands = append(to.req.Demands, &filbertv1.QuotaDemand{
		Account: d.Account, Pool: d.Holder, Running: uint32(d.Running), Waiting: uint32(d.Waiting),
		TokensPerSecond: uint32(math.Ceil(d.TokensPerSecond)), Known: d.KnownSerial,
	})
}

func (c *Controller) addRelease(calls map[string]*call, r quota.Release) {
	if to := c.callTo(calls, r.Account); to != nil {
		to.req.Releases = append(to.req.Releases, &filbertv1.QuotaRelease{Account: r.Account, Pool: r.Holder, Known: r.KnownSerial})
	}
}

// ready leaves out the owners that have not answered the call before: they may
// be gone, and calls would pile up. Their demands are asked again.
func (c *Controller) ready(now time.Duration, calls map[string]*call) []*call {
	var out []*call
	for _, owner := range slices.Sorted(maps.Keys(calls)) {
		if c.busy[owner] {
			continue
		}
		to := calls[owner]
		to.asked, to.req.SentUs = now, uint64(now.Microseconds())
		c.busy[owner] = true
		out = append(out, to)
	}
	return out
}

// renew makes a call and takes its grants.
func (c *Controller) renew(ctx context.Context, to *call) {
	c.metrics.demands.Inc(int64(len(to.req.Demands)))
	reply, err := c.ask(ctx, to)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.busy, to.owner)
	if err != nil {
		c.metrics.failed.Inc(1)
		return
	}
	if len(reply.Grants) != len(to.req.Demands) {
		return
	}
	for i, g := range reply.Grants {
		to.holders[i].leases.ApplyGrant(to.asked, grantOf(to.req.Demands[i].Account, g))
	}
	c.putInForce(c.now())
}

func (c *Controller) ask(ctx context.Context, to *call) (*filbertv1.RenewQuotaReply, error) {
	if to.owner == c.cfg.Self {
		return c.Lease(to.req), nil
	}
	c.metrics.sent.Inc(int64(proto.Size(to.req)))
	reply, err := c.cfg.Transport.Renew(ctx, to.owner, to.req)
	if err == nil {
		c.metrics.received.Inc(int64(proto.Size(reply)))
	}
	return reply, err
}

func grantOf(account string, g *filbertv1.QuotaGrant) quota.Grant {
	return quota.Grant{
		Account: account, Running: int(g.Running), TokensPerSecond: g.TokensPerSecond, NotOwner: g.NotOwner, Serial: g.Serial,
		LeaseDuration: time.Duration(g.LeaseMs) * time.Millisecond,
		RetryAfter:    time.Duration(g.RetryMs) * time.Millisecond,
	}
}
