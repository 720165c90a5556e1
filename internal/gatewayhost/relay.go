package gatewayhost

import (
	"log/slog"
	"slices"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"filbertdeck/internal/decide/membership"
	"filbertdeck/internal/gateway"
	"filbertdeck/internal/lifecycle"
	"filbertdeck/internal/relay"
)

// newRelayClient creates the client that sends requests through other hosts. A request
// leaves its region on no account: a route or a client account may be bound to it.
func newRelayClient(lc fx.Lifecycle, s *Settings, fleet *fleetView, budgets *hostBudgets, now Clock, log *slog.Logger, reg gometrics.Registry) *relay.Client {
	c := relay.NewClient(relay.ClientConfig{
		Hosts: func() (near, all []string) {
			return fleet.otherLiveHosts(s.DataCentre), fleet.otherLiveHosts(s.Deployment.regionDataCentres(s.DataCentre)...)
		},
		Reserve: budgets.callers.Take, Log: log, Metrics: reg, Now: now,
	})
	lc.Append(fx.StopHook(c.Close))
	return c
}

func newRelayServer(g *gateway.Gateway, fleet *fleetView, budgets *hostBudgets, state *lifecycle.Lifecycle, log *slog.Logger, reg gometrics.Registry) *relay.Server {
	return relay.NewServer(relay.ServerConfig{
		Sender: g, IsHost: fleet.isHost, Reserve: budgets.callers.Take, Log: log, Metrics: reg,
		Begin: func() (end func(), err error) {
			if err := state.Ready(); err != nil {
				return nil, err
			}
			return state.BeginRequest()
		},
	})
}

// regionDataCentres returns the data centres in the region of the given one.
func (d Deployment) regionDataCentres(dataCentre string) []string {
	region, known := d.Regions[dataCentre]
	if !known {
		return []string{dataCentre}
	}
	var out []string
	for dc, r := range d.Regions {
		if r == region {
			out = append(out, dc)
		}
	}
	slices.Sort(out)
	return out
}

// otherLiveHosts returns the live hosts of some data centres without this one.
func (f *fleetView) otherLiveHosts(dataCentres ...string) []string {
	return slices.DeleteFunc(f.liveHostsOf(dataCentres), func(host string) bool { return host == f.self })
}

// isHost reports whether an IP address is that of a host in the membership view.
func (f *fleetView) isHost(ip string) bool {
	view := f.members.Members.Get()
	return view != nil && slices.ContainsFunc(view.Members, func(m membership.Member) bool {
		return strings.HasPrefix(m.Address, ip+":")
	})
}
