package loadgen

import (
	"strconv"
	"strings"
)

// Violation names a broken promise that a caller can see for itself.
type Violation string

// The violations.
const (
	// ViolationOrder is a token that is missing, repeated or out of order.
	ViolationOrder Violation = "token-order"
	// ViolationWord is a token that is not the one that the stand-in makes at
	// its place.
	ViolationWord Violation = "wrong-word"
	// ViolationGeneration is an answer made of two generations.
	ViolationGeneration Violation = "two-generations"
	// ViolationShort is an answer that was called complete and is not.
	ViolationShort Violation = "incomplete"
	// ViolationCrossed is the answer to another call.
	ViolationCrossed Violation = "crossed-answer"
	// ViolationTwice is a call under a key that ran more than once.
	ViolationTwice Violation = "ran-twice"
	// ViolationMalformed is an answer that does not follow its interface.
	ViolationMalformed Violation = "malformed"
)

// checker follows the tokens of one answer. The stand-in makes the word at
// index k of generation g "w<k>-<g's last 6 characters> ", so that every token
// tells where it belongs.
type checker struct {
	generation string
	next       int
}

const tailLength = 6

// piece is what one event, or one whole answer, brought.
type piece struct {
	generation string
	offset     int
	tokens     int
	text       string
}

// add takes the next piece and gives what is wrong with it, or "".
func (c *checker) add(p piece) Violation {
	if c.generation == "" {
		c.generation = p.generation
	}
	if p.generation != c.generation || p.generation == "" {
		return ViolationGeneration
	}
	if p.offset != c.next {
		return ViolationOrder
	}
	if v := c.words(p); v != "" {
		return v
	}
	c.next += p.tokens
	return ""
}

func (c *checker) words(p piece) Violation {
	tail := p.generation[max(0, len(p.generation)-tailLength):]
	words := 0
	for word := range strings.FieldsSeq(p.text) {
		index, wordTail, ok := parseWord(word)
		switch {
		case !ok:
			return ViolationWord
		case wordTail != tail:
			return ViolationGeneration
		case index != p.offset+words:
			return ViolationOrder
		}
		words++
	}
	if words != p.tokens {
		return ViolationOrder
	}
	return ""
}

func parseWord(word string) (index int, tail string, ok bool) {
	number, tail, ok := strings.Cut(strings.TrimPrefix(word, "w"), "-")
	if !ok || word[0] != 'w' {
		return 0, "", false
	}
	index, err := strconv.Atoi(number)
	return index, tail, err == nil
}

// complete tells whether an answer that was called complete is.
func (c *checker) complete(length int) Violation {
	if c.next != length {
		return ViolationShort
	}
	return ""
}
