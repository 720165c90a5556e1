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

// ownerCall is one request to one owner.
type ownerCall struct {
	owner  string
	sentAt time.Duration
	req    *filbertv1.RenewQuotaRequest
	// holders are the holders of the demands, in the same order.
	holders []*holder
}

// collectCalls gathers the due demands by owner. In a round all pools renew;
// between rounds only pools with urgent demands ask, and renew in the same
// message the leases that are due.
func (c *Controller) collectCalls(now time.Duration) []*ownerCall {
	c.syncHolders(now)
	isRound := now-c.lastRound >= renewInterval
	if isRound {
		c.lastRound = now
	}
	calls := map[string]*ownerCall{}
	for _, r := range c.takeDueReleases(now) {
		c.addRelease(calls, r)
	}
	for _, name := range slices.Sorted(maps.Keys(c.holders)) {
		h := c.holders[name]
		h.measure(now, c.limits)
		if now-h.startedAt < settlePeriod || !isRound && !h.hasUrgentDemand(now, c.limits) {
			continue
		}
		for _, r := range h.leases.DropIdle(now, name, h.uses) {
			c.addRelease(calls, r)
		}
		for _, d := range h.leases.DueDemands(now, name, h.uses, maxDemandsPerPool) {
			c.addDemand(calls, h, d)
		}
	}
	return c.startCalls(now, calls)
}

func (c *Controller) callFor(calls map[string]*ownerCall, account string) *ownerCall {
	owner, ok := c.accounts.Owner(account)
	if !ok {
		return nil
	}
	call := calls[owner]
	if call == nil {
		call = &ownerCall{owner: owner, req: &filbertv1.RenewQuotaRequest{From: c.cfg.Self, Incarnation: c.cfg.Incarnation}}
		calls[owner] = call
	}
	return call
}

func (c *Controller) addDemand(calls map[string]*ownerCall, h *holder, d quota.Demand) {
	call := c.callFor(calls, d.Account)
	if call == nil {
		return
	}
	call.holders = append(call.holders, h)
	call.req.Demands = append(call.req.Demands, &filbertv1.QuotaDemand{
		Account: d.Account, Pool: d.Holder, Running: uint32(d.Running), Waiting: uint32(d.Waiting),
		TokensPerSecond: uint32(math.Ceil(d.TokensPerSecond)), Known: d.KnownSerial,
	})
}

func (c *Controller) addRelease(calls map[string]*ownerCall, r quota.Release) {
	if call := c.callFor(calls, r.Account); call != nil {
		call.req.Releases = append(call.req.Releases, &filbertv1.QuotaRelease{Account: r.Account, Pool: r.Holder, Known: r.KnownSerial})
	}
}

// startCalls marks and returns the calls that can be made. It leaves out owners
// that have not answered their previous call: they may be gone, and calls would
// accumulate. Their demands are sent again later.
func (c *Controller) startCalls(now time.Duration, calls map[string]*ownerCall) []*ownerCall {
	var out []*ownerCall
	for _, owner := range slices.Sorted(maps.Keys(calls)) {
		if c.callsInProgress[owner] {
			continue
		}
		call := calls[owner]
		call.sentAt, call.req.SentUs = now, uint64(now.Microseconds())
		c.callsInProgress[owner] = true
		out = append(out, call)
	}
	return out
}

// renew makes a call and applies its grants.
func (c *Controller) renew(ctx context.Context, call *ownerCall) {
	c.metrics.demands.Inc(int64(len(call.req.Demands)))
	reply, err := c.send(ctx, call)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.callsInProgress, call.owner)
	if err != nil {
		c.metrics.failedCalls.Inc(1)
		return
	}
	if len(reply.Grants) != len(call.req.Demands) {
		return
	}
	for i, g := range reply.Grants {
		call.holders[i].leases.ApplyGrant(call.sentAt, grantOf(call.req.Demands[i].Account, g))
	}
	c.applyParts(c.now())
}

func (c *Controller) send(ctx context.Context, call *ownerCall) (*filbertv1.RenewQuotaReply, error) {
	if call.owner == c.cfg.Self {
		return c.Lease(call.req), nil
	}
	c.metrics.bytesSent.Inc(int64(proto.Size(call.req)))
	reply, err := c.cfg.Transport.Renew(ctx, call.owner, call.req)
	if err == nil {
		c.metrics.bytesReceived.Inc(int64(proto.Size(reply)))
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
