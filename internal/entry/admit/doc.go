// Package admit asks control processes for admission on behalf of an entry.
//
// A Client holds one long-lived session with each control process that it
// asks. Leases are renewed together, once a second, with whichever control
// process owns their pool at that moment: an owner that has just taken over
// learns the leases in force from these renewals. A session whose heartbeat
// is not answered is closed and opened anew; asks that wait on it end in a
// typed failure (nothing ran) and go to the next control process in rank.
package admit
