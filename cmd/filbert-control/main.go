// Filbert-control admits requests to targets on an entry host.
package main

import (
	"os"

	"filbertdeck/internal/control"
	"filbertdeck/internal/process"
)

func main() {
	s := &control.Settings{}
	os.Exit(process.Main(process.Program{
		Name: control.Program, About: control.About, Settings: s, Common: &s.Common, Options: s.Options,
	}))
}
