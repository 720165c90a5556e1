package ctl

import (
	"os"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/table"
)

// checkResult is the output of `table check --json`.
type checkResult struct {
	Valid    bool         `json:"valid"`
	Accounts int          `json:"accounts"`
	Services int          `json:"services"`
	Faults   table.Faults `json:"faults"`
}

func (c *command) checkTable(files []string) int {
	t, faults, err := readTable(files...)
	if err != nil {
		return fail(c.stderr, err)
	}
	result := checkResult{Valid: len(faults) == 0, Faults: faults}
	if t != nil {
		result.Accounts, result.Services = len(t.Accounts), len(t.Services)
	}
	switch {
	case c.JSON:
		printJSON(c.stdout, result)
	case result.Valid:
		writef(c.stdout, "valid: %d accounts, %d services\n", result.Accounts, result.Services)
	default:
		for _, f := range faults {
			writef(c.stdout, "%s: row %d, column %s: %q; allowed: %s\n", files[f.Page], f.Row, f.Column, f.Value, f.Allowed)
		}
		writef(c.stdout, "%d faults\n", len(faults))
	}
	if !result.Valid {
		return ExitFault
	}
	return ExitOK
}

func (c *command) diffTables(old, next string) int {
	var tables [2]*table.Table
	for i, file := range []string{old, next} {
		t, faults, err := readTable(file)
		if err != nil {
			return fail(c.stderr, err)
		}
		if err := faults.Err(); err != nil {
			writef(c.stderr, "filbertctl: %s: %v\n", file, err)
			return ExitFault
		}
		tables[i] = t
	}
	diffs := table.Diff(tables[0], tables[1])
	if c.JSON {
		printJSON(c.stdout, append([]table.RowDiff{}, diffs...))
		return ExitOK
	}
	for _, d := range diffs {
		writef(c.stdout, "%s\n", d)
	}
	writef(c.stdout, "%d rows differ\n", len(diffs))
	return ExitOK
}

func readTable(files ...string) (*table.Table, table.Faults, error) {
	pages := make([][]byte, len(files))
	for i, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			return nil, nil, failure.Wrap(err, failure.KindBadRequest, "table file %s", f)
		}
		pages[i] = b
	}
	t, faults := table.Parse(0, pages)
	return t, faults, nil
}
