// Package reference writes the configuration reference from the settings' own
// declarations, so that the page cannot differ from the programs.
package reference

import (
	"fmt"
	"strings"

	"filbertdeck/internal/burnreport"
	"filbertdeck/internal/control"
	"filbertdeck/internal/entry"
	"filbertdeck/internal/gatewayhost"
	"filbertdeck/internal/settings"
)

// Program is one program's part of the page.
type Program struct {
	Name, About string
	Settings    any
}

// Programs lists the programs on the page.
func Programs() []Program {
	return []Program{
		{Name: entry.Program, About: entry.About, Settings: &entry.Settings{}},
		{Name: control.Program, About: control.About, Settings: &control.Settings{}},
		{Name: gatewayhost.Program, About: gatewayhost.About, Settings: &gatewayhost.Settings{}},
		{Name: burnreport.Program, About: burnreport.About, Settings: &burnreport.Settings{}},
	}
}

const head = `# Configuration reference

Made by ` + "`make reference`" + ` from the settings' declarations; CI checks that it is in
date. Each setting is a flag or an environment variable; the flag wins. Every
value is checked at the start: a wrong one ends the process with exit code 2
and one line that names flag, variable, value and what is allowed.
`

// Markdown gives the page.
func Markdown() string {
	var b strings.Builder
	b.WriteString(head)
	for _, p := range Programs() {
		fmt.Fprintf(&b, "\n## %s\n\n%s\n\n", p.Name, firstParagraph(p.About))
		b.WriteString("| flag | variable | default | allowed | meaning |\n|---|---|---|---|---|\n")
		for _, f := range settings.Fields(p.Settings) {
			fmt.Fprintf(&b, "| `%s` | `%s` | %s | %s | %s |\n", f.Flag, f.Variable, code(f.Default), f.Allowed, f.Help)
		}
	}
	return b.String()
}

func firstParagraph(text string) string {
	first, _, _ := strings.Cut(text, "\n\n")
	return first
}

func code(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}
