// Command filbert-load makes an open-loop load on entries and measures what
// callers receive.
package main

import (
	"os"

	"filbertdeck/internal/load"
)

func main() { os.Exit(load.Main(os.Args[1:], os.Stdout, os.Stderr)) }
