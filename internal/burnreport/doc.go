// Package burnreport builds a service-level burn report for operators and external
// monitoring from the accounting data of all hosts. The report contains the
// objectives of each service with burn rates over several windows, each
// account's share of service relative to its weight, and a verdict with
// evidence for each promise.
//
// The package only reads from the administration API. Missing data never counts
// as good: the report names each host that could not be read, and verdicts that
// depend on it are "incomplete".
//
// A burn rate is the fraction of bad events divided by the fraction that the
// objective allows. At a rate of 1 the error budget is used up exactly at the
// end of its period, at a rate of 10 after a tenth of the period.
package burnreport
