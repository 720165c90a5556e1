package quota

import (
	"time"

	"google.golang.org/grpc"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/decide/quota"
)

type renewals = grpc.BidiStreamingServer[filbertv1.RenewQuotaRequest, filbertv1.RenewQuotaReply]

// Renew implements the Quota service.
func (c *Controller) Renew(stream renewals) error {
	var first *filbertv1.RenewQuotaRequest
	for {
		req, err := stream.Recv()
		if err != nil {
			return err
		}
		if first == nil {
			first = &filbertv1.RenewQuotaRequest{From: req.From, Incarnation: req.Incarnation}
		}
		req.From, req.Incarnation = first.From, first.Incarnation
		if err := stream.Send(c.Lease(req)); err != nil {
			return err
		}
	}
}

// Lease answers one request: it leases parts of the accounts that this process
// owns.
func (c *Controller) Lease(req *filbertv1.RenewQuotaRequest) *filbertv1.RenewQuotaReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.follow()
	now := c.now()
	sent := time.Duration(req.SentUs) * time.Microsecond
	if !c.arrivals.take(now, req.From, req.Incarnation, sent) {
		c.metrics.late.Inc(int64(len(req.Demands)))
		return &filbertv1.RenewQuotaReply{}
	}
	for _, r := range req.Releases {
		c.owner.Release(quota.Release{Account: r.Account, Holder: holderName(req.From, r.Pool), KnownSerial: r.Known})
	}
	reply := &filbertv1.RenewQuotaReply{Grants: make([]*filbertv1.QuotaGrant, len(req.Demands))}
	for i, d := range req.Demands {
		reply.Grants[i] = c.lease(now, req.From, d)
	}
	return reply
}

// holderName names a pool at a process. A process that was replaced at the same
// address goes on as the same holder: what it runs is told again by the entries
// before it asks (settleFor), and its predecessor's grants count meanwhile.
func holderName(from, pool string) string { return pool + "@" + from }

func (c *Controller) lease(now time.Duration, from string, d *filbertv1.QuotaDemand) *filbertv1.QuotaGrant {
	g := c.owner.HandleDemand(now, c.limits[d.Account], quota.Demand{
		Account: d.Account, Holder: holderName(from, d.Pool), Running: int(d.Running), Waiting: int(d.Waiting),
		TokensPerSecond: float64(d.TokensPerSecond), KnownSerial: d.Known,
	})
	if g.LeaseDuration > 0 {
		c.metrics.leases.Inc(1)
	}
	return &filbertv1.QuotaGrant{
		Running: uint32(g.Running), TokensPerSecond: g.TokensPerSecond, Serial: g.Serial, NotOwner: g.NotOwner,
		LeaseMs: uint32(g.LeaseDuration.Milliseconds()), RetryMs: uint32(g.RetryAfter.Milliseconds()),
	}
}
