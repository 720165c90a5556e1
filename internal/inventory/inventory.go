// Package inventory compares the words of an outside protocol's pages with a list of
// what the code takes in: a word that the list lacks has no reader, or none that anybody
// decided on.
package inventory

import (
	"regexp"
	"slices"
	"strings"
)

var (
	codeSpan = regexp.MustCompile("`([^`\n]+)`")
	// fence is a block of an example, whose names the text explains.
	fence = regexp.MustCompile("(?s)```.*?```")
	// name is a header, a field, a path or a word of a protocol.
	name = regexp.MustCompile(`^/?[A-Za-z][A-Za-z0-9_./-]*$`)
)

// methods are the HTTP methods before a path.
var methods = []string{"GET", "POST", "PUT", "DELETE"}

// Words returns the protocol's words in a page: what stands between backquotes and looks
// like a name, in lower case, sorted.
func Words(page string) []string {
	var words []string
	for _, span := range codeSpan.FindAllStringSubmatch(fence.ReplaceAllString(page, ""), -1) {
		parts := strings.Fields(span[1])
		if len(parts) == 2 && slices.Contains(methods, parts[0]) {
			parts = parts[1:]
		}
		if len(parts) == 1 && name.MatchString(parts[0]) {
			words = append(words, strings.ToLower(parts[0]))
		}
	}
	slices.Sort(words)
	return slices.Compact(words)
}

// Missing returns the words of a page that a list lacks.
func Missing(page, list string) []string {
	known := Words(list)
	return slices.DeleteFunc(Words(page), func(word string) bool {
		_, found := slices.BinarySearch(known, word)
		return found
	})
}
