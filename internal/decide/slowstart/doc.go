// Package slowstart decides how many requests a target may be given now,
// while it starts and whenever it may have turned cold again.
//
// Load pattern: a target that has just started bears one or two requests,
// then more every second. A crowded service has hundreds of requests waiting,
// many entries and, after a fail-over or during a partition, two or three
// allocators that each believe the target is theirs.
//
// What happens without it: the empty target looks like the best choice to
// everybody at once. It receives the whole queue, falls over, starts again
// and receives the queue again. One sees a target whose incarnation changes
// every few seconds and requests that end with target-lost.
//
// How the bound is kept by the whole fleet, without shared state:
//
//   - Only the published owner of the pool admits to a cold target. It has at
//     most one grant that no report covers yet (an unseen grant), and makes
//     the next one against a report that the target took after the last grant
//     was seen to start or to end, or after its lease ran out.
//   - It leaves room for one unseen grant of each possible other owner: a
//     grant needs load + Claimants <= Bears. Take the youngest report that any
//     grant was based on: it showed load <= Bears - Claimants, and after it at
//     most one unseen grant of each claimant arrives. So Bears is never
//     exceeded, whatever the lag of reports, clocks and host lists. This holds
//     as long as no more than Claimants processes act as owner within one
//     lease time.
//   - A target that bears no more than Claimants leaves no such room. Only an
//     owner that is sure to be alone (see package ownership) fills it; it has
//     waited out its predecessor, which idles such a target for seconds.
//   - A report counts for FreshFor. Later the target may have restarted, so it
//     is given nothing until the next report, unless generations that this
//     incarnation began are seen to produce tokens.
//
// What it can't do: a target that turns cold in place, within one report
// interval, has received up to one burst that was granted on the report
// before. Burst bounds it. An entry that pauses between its last check of a
// lease and its write reaches the target late.
package slowstart
