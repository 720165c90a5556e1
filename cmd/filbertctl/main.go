// Filbertctl is the operators' command line.
package main

import (
	"github.com/alexflint/go-arg"

	"filbertdeck/internal/version"
)

type args struct{}

// Version implements go-arg's versioned interface.
func (args) Version() string { return "filbertctl " + version.String() }

func main() {
	var a args
	arg.MustParse(&a)
}
