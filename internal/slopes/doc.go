// Package slopes measures how the cost of each role grows with accounts,
// targets, hosts, requests and edits, so that docs/CAPACITY.md can work out
// the target size from figures and not from guesses.
//
// Roles whose cost doesn't depend on other processes are measured within this
// process (Plan, Table, Admission); the others with real processes on loopback
// (Control, Fleet). Each function prints one line a point.
package slopes

import (
	"fmt"
	"io"
)

// The size that the slopes are worked out for.
const (
	TargetHosts    = 3300
	TargetServers  = 10_000
	TargetAccounts = 11_000
	// TargetCentres is the number of data centres.
	TargetCentres = 10
)

// Printer prints the points of a measurement.
type Printer struct{ Out io.Writer }

func (out Printer) line(format string, args ...any) { fmt.Fprintf(out.Out, format+"\n", args...) }
