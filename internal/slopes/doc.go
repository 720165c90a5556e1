// Package slopes measures how the resource use of each role grows with the number
// of accounts, targets, hosts, requests and table edits. docs/CAPACITY.md
// extrapolates these measurements to a full-scale deployment.
//
// Costs that don't depend on other processes are measured within this process:
// plans of pools, the table, accounting and admission. The rest is measured with
// real control processes and entries on loopback. Each function prints its results
// for each measured size.
package slopes

import (
	"fmt"
	"io"
)

// The size of a full-scale deployment, for which the cost is extrapolated.
const (
	FullScaleHosts    = 3300
	FullScaleTargets  = 10_000
	FullScaleAccounts = 11_000
	// FullScaleDataCentres is the number of data centres.
	FullScaleDataCentres = 10
)

// Printer prints the results of a measurement to Out.
type Printer struct{ Out io.Writer }

func (printer Printer) printLine(format string, args ...any) {
	fmt.Fprintf(printer.Out, format+"\n", args...)
}
