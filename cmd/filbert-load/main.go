// Command filbert-load generates open-loop load on entries and measures the
// responses.
package main

import (
	"os"

	"filbertdeck/internal/load"
)

func main() { os.Exit(load.Main(os.Args[1:], os.Stdout, os.Stderr)) }
