// Command filbert-load makes an open-loop load on entries and measures what
// callers receive.
package main

import (
	"os"

	"filbertdeck/internal/loadgen"
)

func main() { os.Exit(loadgen.Main(os.Args[1:], os.Stdout, os.Stderr)) }
