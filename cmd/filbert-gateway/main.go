// Filbert-gateway relays callers' requests to targets on an entry host of the
// users' platform.
package main

import (
	"os"

	"filbertdeck/internal/gatewayhost"
	"filbertdeck/internal/process"
	"filbertdeck/platform"
)

func main() {
	s := &gatewayhost.Settings{}
	os.Exit(process.Main(process.Program{
		Name: gatewayhost.Program, About: gatewayhost.About, Settings: s, Common: &s.Common, LogOutput: os.Stdout,
		Prepare: func() error { return platform.Prepare(s) }, Options: s.Options,
	}))
}
