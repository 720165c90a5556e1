// Package poison identifies requests that crash every target that runs them.
//
// A request whose prompt triggers a fault in the engine kills its target,
// together with all other requests in the batch. Its caller sends it again,
// through any entry, and so do the callers of the innocent requests that were
// lost with it. Without detection each resend costs another target: ten servers
// are lost within a minute, and the innocent requests fail repeatedly.
// Operators see targets crash one after another, a few seconds apart, with the
// same fingerprint among the requests of each.
//
// One part of a prompt may crash targets as well, whatever else a request with it
// holds. So a request is recognized by its features: the fingerprint of all its
// content, and the shared parts of its prompt.
//
// The evidence is a set of crashes, each with the requests that ran on the target
// when it died. Sets are bounded, expire, and are merged by gossip as unions, so the
// order and number of deliveries make no difference.
//
//   - Merge reports whether evidence was new. A process that learns of a crash
//     pushes it at once to a few peers, so the whole fleet knows within
//     milliseconds; periodic gossip only fills gaps. The caller of a lost
//     request also retries within milliseconds, perhaps at another pool.
//   - After a crash each request that ran on the target is held for
//     SuspectHold, until the fleet knows. Then it runs on a target without
//     another suspect, so at most one suspect per target at a time.
//   - After two crashes it runs alone on a target.
//   - A feature that explains three crashes is refused at once, together with
//     the features that came with it in each of them and never completed: what
//     shares only some of them may be sound. The number is three so that an
//     innocent request that shared a target with a poison request, and was then
//     on a target that died for another reason, has one more attempt.
//   - The feature that explains most crashes is refused first, and the crashes
//     that it explains no longer count against others: what was only in its
//     company has none left. Further features are refused if they explain three
//     of the rest. So several poison requests at the same time, or one
//     beside targets that die for another reason, are each refused after their
//     own three crashes.
//   - A crash counts only until a request with the feature completes somewhere,
//     because poison crashes every target that runs it. If one has completed
//     before, the crashes within knownSpacing count as two at most, and those of a
//     part a quarter. This keeps a frequent feature, which is on most targets
//     that die, from being refused after one loss of all targets. Processes tell
//     each other the completions of suspects.
//   - A refused request runs once now and then, to see whether the verdict still
//     holds: nothing else would complete with its features.
//   - Targets that end within simultaneousWindow may have a common cause, such as a
//     rack that loses power. Their crashes count once against a feature that ran on
//     some of them only, and each against one that ran on all. If all crashes of a
//     refused request came at the same time, it runs again sooner to test the verdict.
//   - When MassFailureTargets or more targets die within MassFailureWindow (a
//     rack, a switch, a reclaim of hosts), the crashes say little, and they hold
//     and isolate requests only with a quarter of their weight, unless one
//     request that never completed ran on every one of them.
//
// A caller of this package that can't hold or isolate requests, such as the
// gateway, whose targets run what they are sent, uses only the refusals.
//
// All processes date a crash by the earliest report of it, so that those with the
// same evidence reach the same verdict, but for crashes that lie at the edge of a
// window by less than a message's way.
//
// Limits: equal poison requests that run at the same moment on several targets
// crash all of these, and so does one that is resent before the evidence arrives.
// Sound content that ran on every target that ended at the same time looks like
// them, until its test run completes. Of several poison requests that share
// crashes, about one is recognized in each round of crashes. During a partition
// each side counts for itself. A caller that varies all of its prompt creates new
// features.
package poison
