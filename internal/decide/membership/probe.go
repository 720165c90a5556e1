package membership

import (
	"maps"
	"slices"
	"time"
)

// Tick advances the state machine to now and returns the actions that are due.
// Call it several times within a probe timeout.
func (n *Node) Tick(now time.Duration) []Action {
	n.extendDeadlines(now)
	n.expireProbes(now)
	n.expireMembers(now)
	n.refreshView()
	if now >= n.nextProbeAt && n.self.State != Left {
		n.nextProbeAt = now + n.cfg.ProbeInterval
		n.startProbe(now)
	}
	if n.pushPending && now >= n.nextPushAt {
		n.pushPending, n.nextPushAt = false, now+minPushInterval
		n.pushAll()
	}
	out := n.actions
	n.actions = nil
	return out
}

// extendDeadlines moves all deadlines by the time during which this process did
// not run. A process that was paused finds every probe unanswered and every
// suspicion expired; without this it would declare its peers dead on resuming,
// although only it was away.
func (n *Node) extendDeadlines(now time.Duration) {
	gap := now - n.lastTick
	n.lastTick = now
	if gap < pauseThreshold {
		return
	}
	for _, p := range n.probes {
		p.deadline += gap
	}
	for _, r := range n.records {
		r.expiresAt += gap
	}
}

// pushAll sends the queued updates to every neighbour without waiting for the
// next probe.
func (n *Node) pushAll() {
	for _, neighbour := range n.neighbours {
		n.actions = append(n.actions, Action{Kind: ActionProbe, To: neighbour, Updates: n.selectUpdates(neighbour), Timeout: n.cfg.ProbeTimeout})
	}
}

// startProbe probes the next neighbour or, once in deadProbeCycle probes, a
// member that is believed dead.
func (n *Node) startProbe(now time.Duration) {
	n.probeRound++
	target := ""
	if n.probeRound%deadProbeCycle == 0 || len(n.neighbours) == 0 {
		target = n.randomDeadMember()
	}
	if target == "" && len(n.neighbours) > 0 {
		target = n.neighbours[n.probeRound%len(n.neighbours)]
	}
	if target == "" {
		return
	}
	n.lastProbeID++
	n.probes[n.lastProbeID] = &probe{target: target, deadline: now + n.cfg.ProbeTimeout}
	n.actions = append(n.actions, Action{
		Kind: ActionProbe, ProbeID: n.lastProbeID, To: target, Updates: n.selectUpdates(target), Timeout: n.cfg.ProbeTimeout,
	})
}

// randomDeadMember returns a random member that is believed dead or that never
// answered.
func (n *Node) randomDeadMember() string {
	var dead []string
	for address, r := range n.records {
		if r.State == Dead && !r.leaving {
			dead = append(dead, address)
		}
	}
	if len(dead) == 0 {
		return ""
	}
	slices.Sort(dead)
	return dead[n.rng.IntN(len(dead))]
}

// HandleProbeAck handles the answer to a probe: the member that answered, its
// updates and the digest of its member list.
func (n *Node) HandleProbeAck(now time.Duration, id uint64, from Member, updates []Member, digest uint64) {
	p := n.probes[id]
	delete(n.probes, id)
	n.applyUpdate(now, from, true)
	n.Merge(now, updates)
	if p != nil {
		n.compareDigests(now, p.target, digest)
	}
}

// HandleProbeFailure handles a probe that failed before its deadline, and starts
// the indirect probe at once.
func (n *Node) HandleProbeFailure(now time.Duration, id uint64) {
	if p := n.probes[id]; p != nil && !p.indirect {
		n.startIndirectProbe(now, id, p)
	}
}

// HandleIndirectProbeAck handles the answer of a relay that reached the target of
// a probe.
func (n *Node) HandleIndirectProbeAck(id uint64) { delete(n.probes, id) }

// HandleProbe handles another process's probe and returns the updates to answer
// with.
func (n *Node) HandleProbe(now time.Duration, from Member, updates []Member) []Member {
	n.applyUpdate(now, from, true)
	n.Merge(now, updates)
	return n.selectUpdates(from.Address)
}

func (n *Node) expireProbes(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(n.probes)) {
		p := n.probes[id]
		if p.deadline > now {
			continue
		}
		if !p.indirect {
			n.startIndirectProbe(now, id, p)
			continue
		}
		delete(n.probes, id)
		n.markSuspect(now, p.target)
	}
}

// startIndirectProbe asks relays to probe the target. A link that is broken
// only between this process and the target must not make the target a suspect.
func (n *Node) startIndirectProbe(now time.Duration, id uint64, p *probe) {
	p.indirect = true
	p.deadline = now + n.cfg.ProbeTimeout
	if r := n.records[p.target]; r == nil || r.isDeadOrLeft() || !r.confirmed {
		// A relay's answer would change nothing for a member that does not
		// count as alive.
		delete(n.probes, id)
		n.markSuspect(now, p.target)
		return
	}
	for _, relay := range n.relaysTo(p.target) {
		n.actions = append(n.actions, Action{
			Kind: ActionIndirectProbe, ProbeID: id, To: relay, Target: p.target, Timeout: n.cfg.ProbeTimeout,
		})
	}
}

// markSuspect records that a member was not reached.
func (n *Node) markSuspect(now time.Duration, address string) {
	r := n.records[address]
	if r == nil || r.isDeadOrLeft() {
		return
	}
	if !r.confirmed {
		// The member is known only from the published list: probe it as often
		// as dead members.
		r.State = Dead
		n.viewStale = true
		return
	}
	if r.State == Alive {
		m := r.Member
		m.State = Suspect
		n.replaceMember(now, r, m, true)
	}
}

func (n *Node) expireMembers(now time.Duration) {
	if now < n.nextExpiryAt {
		return
	}
	n.nextExpiryAt = now + n.cfg.ProbeTimeout
	for address, r := range n.records {
		switch {
		case r.expiresAt > now || !r.confirmed:
		case r.State == Suspect:
			m := r.Member
			m.State = Dead
			n.replaceMember(now, r, m, true)
		case r.State == Left || (r.State == Dead && !r.published):
			n.removeRecord(address)
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
func (n *Node) compareDigests(now time.Duration, peer string, remoteDigest uint64) {
	pair := digestPair{n.digest, remoteDigest}
	settled := n.peerDigests[peer] == pair
	n.peerDigests[peer] = pair
	if pair.local == pair.remote {
		n.everSynced = true
		return
	}
	interval := minSyncInterval
	if now < joinPeriod {
		settled, interval = true, minJoinSyncInterval
	}
	if n.everSynced && (!settled || now-n.lastSyncAt < interval) {
		return
	}
	n.everSynced, n.lastSyncAt = true, now
	n.actions = append(n.actions, Action{Kind: ActionSync, To: peer, Timeout: n.cfg.ProbeTimeout})
}
