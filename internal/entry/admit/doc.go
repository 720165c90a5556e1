// Package admit is an entry's client for the admission service of the control
// processes.
//
// A Client holds one long-lived session with each control process that it asks.
// It renews all leases together once per second, and sends each renewal to the
// control process that owns the pool at that moment, so that a new owner learns
// the leases in force from these renewals. A session whose heartbeat is not
// answered is closed and reopened; asks that are pending on it fail with a typed
// error that says nothing ran, and are sent to the owner with the next rank.
package admit
