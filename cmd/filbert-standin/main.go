// Command filbert-standin runs a simulated configuration service, model engine
// or plain service for tests and the demo.
package main

import (
	"os"

	"filbertdeck/internal/standin/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) }
