// Command filbert-control runs the control process on an entry host, which
// admits requests to targets.
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
