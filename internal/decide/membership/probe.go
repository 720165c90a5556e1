package membership

import (
	"maps"
	"slices"
	"time"
)

// Tick advances the state machine to now and returns the actions that are due.
// Call it several times within a probe timeout.
func (c *Node) Tick(now time.Duration) []Action {
	c.extendDeadlines(now)
	c.expireProbes(now)
	c.expireMembers(now)
	c.refreshView()
	if now >= c.nextProbeAt && c.self.State != Left {
		c.nextProbeAt = now + c.cfg.ProbeInterval
		c.startProbe(now)
	}
	if c.pushPending && now >= c.nextPushAt {
		c.pushPending, c.nextPushAt = false, now+minPushInterval
		c.pushAll()
	}
	out := c.actions
	c.actions = nil
	return out
}

// extendDeadlines moves all deadlines by the time during which this process did
// not run. A process that was paused finds every probe unanswered and every
// suspicion expired; without this it would declare its peers dead on resuming,
// although only it was away.
func (c *Node) extendDeadlines(now time.Duration) {
	gap := now - c.lastTick
	c.lastTick = now
	if gap < pauseThreshold {
		return
	}
	for _, p := range c.probes {
		p.deadline += gap
	}
	for _, r := range c.records {
		r.expiresAt += gap
	}
}

// pushAll sends the queued updates to every neighbour without waiting for the
// next probe.
func (c *Node) pushAll() {
	for _, n := range c.neighbours {
		c.actions = append(c.actions, Action{Kind: ActionProbe, To: n, Updates: c.selectUpdates(n), Timeout: c.cfg.ProbeTimeout})
	}
}

// startProbe probes the next neighbour or, once in deadProbeCycle probes, a
// member that is believed dead.
func (c *Node) startProbe(now time.Duration) {
	c.probeRound++
	target := ""
	if c.probeRound%deadProbeCycle == 0 || len(c.neighbours) == 0 {
		target = c.randomDeadMember()
	}
	if target == "" && len(c.neighbours) > 0 {
		target = c.neighbours[c.probeRound%len(c.neighbours)]
	}
	if target == "" {
		return
	}
	c.lastProbeID++
	c.probes[c.lastProbeID] = &probe{target: target, deadline: now + c.cfg.ProbeTimeout}
	c.actions = append(c.actions, Action{
		Kind: ActionProbe, ProbeID: c.lastProbeID, To: target, Updates: c.selectUpdates(target), Timeout: c.cfg.ProbeTimeout,
	})
}

// randomDeadMember returns a random member that is believed dead or that never
// answered.
func (c *Node) randomDeadMember() string {
	var dead []string
	for address, r := range c.records {
		if r.State == Dead && !r.leaving {
			dead = append(dead, address)
		}
	}
	if len(dead) == 0 {
		return ""
	}
	slices.Sort(dead)
	return dead[c.rng.IntN(len(dead))]
}

// HandleProbeAck handles the answer to a probe: the member that answered, its updates,
// and the digest of its member list.
func (c *Node) HandleProbeAck(now time.Duration, id uint64, from Member, updates []Member, digest uint64) {
	p := c.probes[id]
	delete(c.probes, id)
	c.applyUpdate(now, from, true)
	c.Merge(now, updates)
	if p != nil {
		c.compareDigests(now, p.target, digest)
	}
}

// HandleProbeFailure handles a probe that failed before its deadline, and starts the
// indirect probe at once.
func (c *Node) HandleProbeFailure(now time.Duration, id uint64) {
	if p := c.probes[id]; p != nil && !p.indirect {
		c.startIndirectProbe(now, id, p)
	}
}

// HandleIndirectProbeAck handles the answer of a relay that reached the target of a probe.
func (c *Node) HandleIndirectProbeAck(id uint64) { delete(c.probes, id) }

// HandleProbe handles another process's probe and returns the updates to answer
// with.
func (c *Node) HandleProbe(now time.Duration, from Member, updates []Member) []Member {
	c.applyUpdate(now, from, true)
	c.Merge(now, updates)
	return c.selectUpdates(from.Address)
}

func (c *Node) expireProbes(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(c.probes)) {
		p := c.probes[id]
		if p.deadline > now {
			continue
		}
		if !p.indirect {
			c.startIndirectProbe(now, id, p)
			continue
		}
		delete(c.probes, id)
		c.markSuspect(now, p.target)
	}
}

// startIndirectProbe asks relays to probe the target. A link that is broken
// only between this process and the target must not make the target a suspect.
func (c *Node) startIndirectProbe(now time.Duration, id uint64, p *probe) {
	p.indirect = true
	p.deadline = now + c.cfg.ProbeTimeout
	if r := c.records[p.target]; r == nil || r.isGone() || !r.confirmed {
		// A relay's answer would change nothing for a member that does not
		// count as alive.
		delete(c.probes, id)
		c.markSuspect(now, p.target)
		return
	}
	for _, relay := range c.relaysTo(p.target) {
		c.actions = append(c.actions, Action{
			Kind: ActionIndirectProbe, ProbeID: id, To: relay, Target: p.target, Timeout: c.cfg.ProbeTimeout,
		})
	}
}

// markSuspect records that a member was not reached.
func (c *Node) markSuspect(now time.Duration, address string) {
	r := c.records[address]
	if r == nil || r.isGone() {
		return
	}
	if !r.confirmed {
		// The member is known only from the published list: probe it as often
		// as dead members.
		r.State = Dead
		c.viewStale = true
		return
	}
	if r.State == Alive {
		m := r.Member
		m.State = Suspect
		c.replaceMember(now, r, m, true)
	}
}

func (c *Node) expireMembers(now time.Duration) {
	if now < c.nextExpiryAt {
		return
	}
	c.nextExpiryAt = now + c.cfg.ProbeTimeout
	for address, r := range c.records {
		switch {
		case r.expiresAt > now || !r.confirmed:
		case r.State == Suspect:
			m := r.Member
			m.State = Dead
			c.replaceMember(now, r, m, true)
		case r.State == Left || (r.State == Dead && !r.published):
			c.removeRecord(address)
		}
	}
}

// compareDigests requests an exchange of full lists when two lists differ and
// neither has changed since the last probe between the two: updates still in
// flight would have changed them. The first comparison of all requests it at
// once.
//
// A process that has just started does not wait for that. When a whole fleet
// starts, lists change all the time, and updates of hundreds of members at a
// dozen a message take a minute to spread: hosts that each know a different
// part of the fleet select different relays and owners.
func (c *Node) compareDigests(now time.Duration, peer string, remoteDigest uint64) {
	pair := digestPair{c.digest, remoteDigest}
	settled := c.peerDigests[peer] == pair
	c.peerDigests[peer] = pair
	if pair.local == pair.remote {
		c.everSynced = true
		return
	}
	interval := minSyncInterval
	if now < joinPeriod {
		settled, interval = true, minJoinSyncInterval
	}
	if c.everSynced && (!settled || now-c.lastSyncAt < interval) {
		return
	}
	c.everSynced, c.lastSyncAt = true, now
	c.actions = append(c.actions, Action{Kind: ActionSync, To: peer, Timeout: c.cfg.ProbeTimeout})
}
