// Command filbert-standin runs one stand-in for tests and the demo: the
// platform's configuration service, a model engine or a plain service.
package main

import (
	"os"

	"filbertdeck/internal/standin/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) }
