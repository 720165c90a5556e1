package loadgen

import (
	"strconv"
	"strings"
)

// Violation is a broken promise that a caller can detect from its answers.
type Violation string

// Possible violations.
const (
	// ViolationTokenOrder means that a token is missing, repeated or out of order.
	ViolationTokenOrder Violation = "token-order"
	// ViolationWrongWord means that a token is not one that the stand-in
	// generates.
	ViolationWrongWord Violation = "wrong-word"
	// ViolationMixedGenerations means that the tokens of an answer do not all
	// belong to one generation.
	ViolationMixedGenerations Violation = "two-generations"
	// ViolationIncomplete means that an answer ended as complete without all of
	// its tokens.
	ViolationIncomplete Violation = "incomplete"
	// ViolationCrossedAnswer means that the answer belongs to another call.
	ViolationCrossedAnswer Violation = "crossed-answer"
	// ViolationRanTwice means that a call with an idempotency key ran more than
	// once.
	ViolationRanTwice Violation = "ran-twice"
	// ViolationMalformed means that an answer does not conform to the API.
	ViolationMalformed Violation = "malformed"
)

// tokenChecker verifies the tokens of one answer. The stand-in generates the word
// at index k of generation g as "w<k>-<last 6 characters of g> ", so that every
// token identifies its position and generation.
type tokenChecker struct {
	generation string
	nextOffset int
}

// generationSuffixLength is the number of characters of the generation id that
// each word contains.
const generationSuffixLength = 6

// tokenChunk is the content of one event or of one whole answer.
type tokenChunk struct {
	generation string
	offset     int
	tokens     int
	text       string
}

// checkChunk verifies the next chunk and returns the violation found, or "".
func (c *tokenChecker) checkChunk(chunk tokenChunk) Violation {
	if c.generation == "" {
		c.generation = chunk.generation
	}
	if chunk.generation != c.generation || chunk.generation == "" {
		return ViolationMixedGenerations
	}
	if chunk.offset != c.nextOffset {
		return ViolationTokenOrder
	}
	if v := c.checkWords(chunk); v != "" {
		return v
	}
	c.nextOffset += chunk.tokens
	return ""
}

func (c *tokenChecker) checkWords(chunk tokenChunk) Violation {
	suffix := chunk.generation[max(0, len(chunk.generation)-generationSuffixLength):]
	words := 0
	for word := range strings.FieldsSeq(chunk.text) {
		index, wordSuffix, ok := parseWord(word)
		switch {
		case !ok:
			return ViolationWrongWord
		case wordSuffix != suffix:
			return ViolationMixedGenerations
		case index != chunk.offset+words:
			return ViolationTokenOrder
		}
		words++
	}
	if words != chunk.tokens {
		return ViolationTokenOrder
	}
	return ""
}

func parseWord(word string) (index int, suffix string, ok bool) {
	number, suffix, ok := strings.Cut(strings.TrimPrefix(word, "w"), "-")
	if !ok || word[0] != 'w' {
		return 0, "", false
	}
	index, err := strconv.Atoi(number)
	return index, suffix, err == nil
}

// checkLength verifies that a complete answer has the expected number of tokens.
func (c *tokenChecker) checkLength(length int) Violation {
	if c.nextOffset != length {
		return ViolationIncomplete
	}
	return ""
}
