// Command filbert-inventory names the words of a protocol's pages that the inventory of
// what is taken in (docs/protocols.md) lacks. It fails if there are any.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"filbertdeck/internal/inventory"
	"filbertdeck/internal/version"
)

type args struct {
	List  string   `arg:"--list" default:"docs/protocols.md" help:"the inventory"`
	Pages []string `arg:"positional,required" help:"pages of the protocol"`
}

// Version implements go-arg's Versioned interface.
func (args) Version() string { return "filbert-inventory " + version.String() }

// Exit statuses.
const (
	statusMissing = 1
	statusError   = 2
)

func main() {
	var a args
	arg.MustParse(&a)
	list := read(a.List)
	status := 0
	for _, page := range a.Pages {
		for _, word := range inventory.Missing(read(page), list) {
			fmt.Printf("%s: %s\n", page, word)
			status = statusMissing
		}
	}
	os.Exit(status)
}

// read returns the text of a file; it ends the program if there is none.
func read(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusError)
	}
	return string(text)
}
