// Package slowstart limits how many requests a target may be granted while it
// starts and whenever it may have become cold again.
//
// A target that has just started can take one or two requests, then more every
// second. A crowded service has hundreds of requests waiting, many entries and,
// after a fail-over or during a partition, two or three allocators that each
// believe that they own the target. Without a limit, the empty target looks like
// the best choice to all of them at once: it receives the whole queue, fails,
// restarts and receives the queue again. Its incarnation changes every few
// seconds, and requests end with target-lost.
//
// The limit holds for the whole fleet without shared state:
//
//   - Only the published owner of the pool grants requests to a cold target. It
//     has at most one unconfirmed grant, that is one not covered by a report. It
//     makes the next grant only when it has a report that the target made after
//     the last grant was seen to start or to end, or after its lease expired.
//   - The owner reserves room for one unconfirmed grant of each possible other
//     owner: a grant requires load + MaxOwners <= capacity. Consider the latest
//     report that any grant was based on. It showed load <= capacity - MaxOwners,
//     and after it at most one unconfirmed grant of each owner arrives. Capacity is
//     therefore never exceeded, however late reports, clocks and host lists are,
//     as long as no more than MaxOwners processes act as owner within one lease
//     duration.
//   - A target that can take no more than MaxOwners requests leaves no such room.
//     Only an owner that is certain to be alone (see package ownership) fills it.
//     It has waited until the grants of its predecessor have ended, which leaves
//     such a target idle for seconds.
//   - A report is valid for ReportTTL. After that the target may have restarted,
//     so it is granted nothing until the next report, unless generations that
//     this incarnation started are seen to produce tokens.
//
// Two cases are not covered. A target that becomes cold without a restart, within
// one report interval, receives up to one burst that was granted on the report
// before; Burst limits it. An entry that pauses between its last check of a lease
// and its write reaches the target late.
package slowstart
