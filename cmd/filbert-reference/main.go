// Command filbert-reference writes the configuration reference to standard
// output.
package main

import (
	"fmt"

	"filbertdeck/internal/reference"
)

func main() { fmt.Print(reference.Markdown()) }
