package membership

import (
	"maps"
	"slices"
	"time"
)

// Tick moves time on and returns the actions that are due. Call it several
// times within ProbeTimeout.
func (c *Node) Tick(now time.Duration) []Action {
	c.forgive(now)
	c.expireProbes(now)
	c.expireMembers(now)
	c.refresh()
	if now >= c.probeAt && c.self.State != Left {
		c.probeAt = now + c.cfg.ProbeInterval
		c.startProbe(now)
	}
	if c.urgent && now >= c.pushAt {
		c.urgent, c.pushAt = false, now+pushEvery
		c.pushAll()
	}
	out := c.out
	c.out = nil
	return out
}

// forgive moves all deadlines by the time during which this process did not
// run. A process that was paused finds every probe unanswered and every
// suspicion run out; without this it would declare its peers dead on waking,
// while it was itself the one that was away.
func (c *Node) forgive(now time.Duration) {
	gap := now - c.lastTick
	c.lastTick = now
	if gap < pausedAfter {
		return
	}
	for _, p := range c.probes {
		p.deadline += gap
	}
	for _, r := range c.records {
		r.until += gap
	}
}

// pushAll sends news to every neighbour without waiting for its turn.
func (c *Node) pushAll() {
	for _, n := range c.neighbours {
		c.out = append(c.out, Action{Kind: ActionProbe, To: n, Updates: c.updates(n), Timeout: c.cfg.ProbeTimeout})
	}
}

// startProbe probes the next neighbour, or now and then a lost member.
func (c *Node) startProbe(now time.Duration) {
	c.round++
	target := ""
	if c.round%lostEvery == 0 || len(c.neighbours) == 0 {
		target = c.lost()
	}
	if target == "" && len(c.neighbours) > 0 {
		target = c.neighbours[c.round%len(c.neighbours)]
	}
	if target == "" {
		return
	}
	c.nextProbe++
	c.probes[c.nextProbe] = &probe{target: target, deadline: now + c.cfg.ProbeTimeout}
	c.out = append(c.out, Action{
		Kind: ActionProbe, ProbeID: c.nextProbe, To: target, Updates: c.updates(target), Timeout: c.cfg.ProbeTimeout,
	})
}

// lost draws a member that is believed dead, or that never answered.
func (c *Node) lost() string {
	var all []string
	for address, r := range c.records {
		if r.State == Dead && !r.leaving {
			all = append(all, address)
		}
	}
	if len(all) == 0 {
		return ""
	}
	slices.Sort(all)
	return all[c.rng.IntN(len(all))]
}

// HandleProbeAck takes the answer to a probe: who answered, what it tells, and the
// digest of its list.
func (c *Node) HandleProbeAck(now time.Duration, id uint64, from Member, updates []Member, digest uint64) {
	p := c.probes[id]
	delete(c.probes, id)
	c.learn(now, from, true)
	c.Merge(now, updates)
	if p != nil {
		c.compare(now, p.target, digest)
	}
}

// HandleProbeFailure tells that a probe got no answer, before its deadline has passed.
func (c *Node) HandleProbeFailure(now time.Duration, id uint64) {
	if p := c.probes[id]; p != nil && !p.indirect {
		c.askRelays(now, id, p)
	}
}

// HandleIndirectProbeAck tells that a relay reached the target of a probe.
func (c *Node) HandleIndirectProbeAck(id uint64) { delete(c.probes, id) }

// HandleProbe takes another process's probe and returns what to answer.
func (c *Node) HandleProbe(now time.Duration, from Member, updates []Member) []Member {
	c.learn(now, from, true)
	c.Merge(now, updates)
	return c.updates(from.Address)
}

func (c *Node) expireProbes(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(c.probes)) {
		p := c.probes[id]
		if p.deadline > now {
			continue
		}
		if !p.indirect {
			c.askRelays(now, id, p)
			continue
		}
		delete(c.probes, id)
		c.suspect(now, p.target)
	}
}

// askRelays lets others try. A link that is broken only between this process
// and the target must not make the target a suspect.
func (c *Node) askRelays(now time.Duration, id uint64, p *probe) {
	p.indirect = true
	p.deadline = now + c.cfg.ProbeTimeout
	if r := c.records[p.target]; r == nil || r.gone() || !r.heard {
		// Nothing is at stake for one that does not count as alive.
		delete(c.probes, id)
		c.suspect(now, p.target)
		return
	}
	for _, relay := range c.relaysFor(p.target) {
		c.out = append(c.out, Action{
			Kind: ActionIndirectProbe, ProbeID: id, To: relay, Target: p.target, Timeout: c.cfg.ProbeTimeout,
		})
	}
}

// suspect notes that a member was not reached.
func (c *Node) suspect(now time.Duration, address string) {
	r := c.records[address]
	if r == nil || r.gone() {
		return
	}
	if !r.heard {
		// Only a name on the list: keep trying at the pace of the lost.
		r.State = Dead
		c.dirty = true
		return
	}
	if r.State == Alive {
		m := r.Member
		m.State = Suspect
		c.set(now, r, m, true)
	}
}

func (c *Node) expireMembers(now time.Duration) {
	if now < c.sweepAt {
		return
	}
	c.sweepAt = now + c.cfg.ProbeTimeout
	for address, r := range c.records {
		switch {
		case r.until > now || !r.heard:
		case r.State == Suspect:
			m := r.Member
			m.State = Dead
			c.set(now, r, m, true)
		case r.State == Left || (r.State == Dead && !r.published):
			c.forget(address)
		}
	}
}

// compare asks for an exchange of whole lists when two lists differ and have
// stayed as they are since the last exchange between the two: news that were
// still on their way would have changed them. The first answer of all always
// brings the whole list.
//
// A process that has just started does not wait for that. When a whole fleet
// starts, lists change all the time, and news of hundreds of members at a dozen
// a message take a minute to get around: hosts that each know another part of
// the fleet choose other relays and owners.
func (c *Node) compare(now time.Duration, peer string, theirs uint64) {
	pair := digestPair{c.digest, theirs}
	settled := c.peerDigests[peer] == pair
	c.peerDigests[peer] = pair
	if pair.ours == pair.theirs {
		c.synced = true
		return
	}
	every := syncEvery
	if now < joinFor {
		settled, every = true, joinSyncEvery
	}
	if c.synced && (!settled || now-c.syncedAt < every) {
		return
	}
	c.synced, c.syncedAt = true, now
	c.out = append(c.out, Action{Kind: ActionSync, To: peer, Timeout: c.cfg.ProbeTimeout})
}
