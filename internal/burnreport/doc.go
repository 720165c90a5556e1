// Package burnreport turns the accounting of all hosts into a service-level burn
// report for operators and the outside monitor: objectives per service with
// burn rates over several windows, shares of service against weights, and one
// line for each promise with its evidence.
//
// It only reads, through the administration interface. Data that is missing
// is never counted as good: a host that could not be read is named, and every
// verdict that would need it says "incomplete".
//
// A burn rate is the part of bad events divided by the part that the objective
// allows: 1 uses the error budget up just at the end of its period, 10 in a
// tenth of it.
package burnreport
