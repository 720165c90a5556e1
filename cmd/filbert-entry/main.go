// Command filbert-entry serves callers' requests on an entry host.
package main

import (
	"os"

	"filbertdeck/internal/entry"
	"filbertdeck/internal/process"
)

func main() {
	s := &entry.Settings{}
	os.Exit(process.Main(process.Program{
		Name: entry.Program, About: entry.About, Settings: s, Common: &s.Common, Options: s.Options,
	}))
}
