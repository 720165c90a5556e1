package state

import (
	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/failure"
)

// Pick chooses the pool that is asked for admission.
func (b *Board) Pick(service, dataCentre string, avoid []string) (string, error) {
	pools := b.Pools.Get()
	if pools == nil {
		return "", failure.New(failure.KindNotReady, "the pools are not known yet").After(retryNoPool)
	}
	var best *filbertv1.Pool
	for _, p := range pools.ByService[service] {
		if exhausted(p, avoid) {
			continue
		}
		if best == nil || less(p, best, dataCentre) {
			best = p
		}
	}
	if best == nil {
		return "", failure.New(failure.KindNoTarget, "service %q has no target that takes work", service).After(retryNoPool)
	}
	return best.Name, nil
}

// PoolOf finds the pool of a target.
func (b *Board) PoolOf(service, target string) (string, bool) {
	pools := b.Pools.Get()
	if pools == nil {
		return "", false
	}
	p, ok := pools.ByTarget[TargetKey{service, target}]
	if !ok {
		return "", false
	}
	return p.Name, true
}

// exhausted tells whether every target of a pool failed this request.
func exhausted(p *filbertv1.Pool, avoid []string) bool {
	if len(p.Targets) == 0 {
		return true
	}
	failed := map[string]bool{}
	for _, a := range avoid {
		failed[a] = true
	}
	for _, t := range p.Targets {
		if !failed[t] {
			return false
		}
	}
	return true
}

// farPenalty is what a pool of another data centre must be better by, in
// milliseconds of backlog.
const farPenalty = 200

func less(a, b *filbertv1.Pool, dataCentre string) bool {
	return cost(a, dataCentre) < cost(b, dataCentre)
}

func cost(p *filbertv1.Pool, dataCentre string) uint32 {
	if p.DataCentre == dataCentre {
		return p.BacklogMs
	}
	return p.BacklogMs + farPenalty
}
