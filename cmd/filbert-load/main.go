// Command filbert-load generates open-loop load on entries and measures the
// responses.
package main

import (
	"os"

	"filbertdeck/internal/loadgen"
)

func main() { os.Exit(loadgen.Main(os.Args[1:], os.Stdout, os.Stderr)) }
