package ctl

import (
	"fmt"
	"os"

	"filbertdeck/internal/configcheck"
	"filbertdeck/internal/failure"
)

type checkConfigCommand struct {
	File    string `arg:"positional,required" placeholder:"FILE" help:"configuration in JSON"`
	Against string `arg:"--against" placeholder:"FILE" help:"version to compare with, usually the one in force"`
}

// checkConfigResult is the output of `check-config --json`.
type checkConfigResult struct {
	// Valid is set if there is no error; there may be warnings.
	Valid    bool                  `json:"valid"`
	Errors   int                   `json:"errors"`
	Warnings int                   `json:"warnings"`
	Findings []configcheck.Finding `json:"findings"`
	// Differences is nil without --against.
	Differences []configcheck.Difference `json:"differences,omitzero"`
}

// checkConfig prints the findings on a configuration and its differences from
// another version. It returns ExitFault if there is an error; warnings alone do
// not stop a script.
func (c *command) checkConfig(args *checkConfigCommand) int {
	doc, err := readConfig(args.File)
	if err != nil {
		return fail(c.stderr, err)
	}
	result := checkConfigResult{Findings: append([]configcheck.Finding{}, configcheck.Check(doc)...)}
	if args.Against != "" {
		other, err := readConfig(args.Against)
		if err != nil {
			return fail(c.stderr, err)
		}
		result.Findings = append(result.Findings, configcheck.CheckSuccessor(other, doc)...)
		result.Differences = append([]configcheck.Difference{}, configcheck.Diff(other.Config, doc.Config)...)
	}
	for _, f := range result.Findings {
		if f.Severity == configcheck.SeverityError {
			result.Errors++
		} else {
			result.Warnings++
		}
	}
	result.Valid = result.Errors == 0
	if c.JSON {
		printJSON(c.stdout, result)
	} else {
		c.printConfigCheck(result)
	}
	if !result.Valid {
		return ExitFault
	}
	return ExitOK
}

func (c *command) printConfigCheck(result checkConfigResult) {
	for _, f := range result.Findings {
		writef(c.stdout, "%s\n", f)
	}
	verdict := "valid"
	if !result.Valid {
		verdict = "not valid"
	}
	writef(c.stdout, "%s: %s, %s\n", verdict, count(result.Errors, "error"), count(result.Warnings, "warning"))
	if result.Differences == nil {
		return
	}
	for _, d := range result.Differences {
		writef(c.stdout, "%s\n", d.Text)
	}
	writef(c.stdout, "%s\n", count(len(result.Differences), "difference"))
}

func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

func readConfig(file string) (*configcheck.Document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindBadRequest, "configuration file %s", file)
	}
	doc, err := configcheck.Read(text)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindBadRequest, "configuration file %s", file)
	}
	return doc, nil
}
