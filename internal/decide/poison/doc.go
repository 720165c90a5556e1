// Package poison finds the request that crashes each target that runs it.
//
// Load pattern: a request (a prompt that trips a fault in the engine) kills
// the target that runs it, with everything else in the batch. Its caller sends
// it again, through any entry, and so do the callers of the innocent requests
// that died with it.
//
// What happens without it: each resend costs another target. Ten servers are
// gone in a minute, and the innocent requests are lost again and again. One
// sees targets crash one after the other, a few seconds apart, and the same
// fingerprint among the requests of each.
//
// How it works: the evidence is a set of crashes, each with the fingerprints
// of the requests that ran on the target when it died. Sets are merged by
// gossip (union, bounded, expiring): the order in which news arrives, and how
// often, makes no difference.
//
//   - Merge tells whether the evidence was new. Whoever learns of a crash
//     pushes it on at once (a few peers each, so the whole fleet knows within
//     milliseconds); periodic gossip only repairs. The caller of a lost request
//     is back in milliseconds too, perhaps at another pool.
//   - After a crash each request that was there is held for SpreadFor, until
//     the fleet knows. Then it runs Apart: on a target with no other suspect,
//     and one at a time.
//   - After two crashes it runs Alone on a target.
//   - After three it is Guilty and refused at once. Three, because an innocent
//     that shared a target with a poison and then died apart from every other
//     suspect has one more chance, alone, where nobody else can be the cause.
//   - Against a request that finished somewhere a crash counts a quarter,
//     because a poison request crashes each target that runs it. This also
//     keeps a hot request out of suspicion, which is on most targets that die.
//   - When MassTargets or more targets die within MassWindow (a rack, a
//     switch, a reclaim), the crashes say little and count a quarter, unless
//     the same request that never finished ran on every one of them.
//
// What it can't do: equal poison requests that run at the same moment on
// several targets cost all of these, and so does one that comes back before
// the news. During a partition each side counts for
// itself. A caller that varies its prompt makes new fingerprints.
package poison
