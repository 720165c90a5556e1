package callerconn

import (
	"strings"
	"testing"
)

// Guards against heads whose end is taken to be earlier or later than net/http finds it.
func TestHeadCounterEndsWithHead(t *testing.T) {
	const head = "GET / HTTP/1.1\r\nHost: a\r\nb:\n"
	for name, c := range map[string]struct {
		text  string
		bytes int
		ended bool
	}{
		"unfinished":                     {head, len(head), false},
		"ended by CRLF":                  {head + "\r\nbody\n\n", len(head) + 2, true},
		"ended by LF":                    {head + "\nbody", len(head) + 1, true},
		"a line of two carriage returns": {head + "\r\r\nmore", len(head) + 7, false},
		"a line of white space":          {head + " \r\nmore", len(head) + 7, false},
		"empty lines before":             {"\r\n\n" + head, len(head) + 3, false},
		"empty lines without end":        {strings.Repeat("\r\n", 100), 200, false},
	} {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{1, 2, 3, len(c.text)} {
				h := headCounter{}
				for rest := c.text; rest != ""; {
					n := min(size, len(rest))
					h.count([]byte(rest[:n]))
					rest = rest[n:]
				}
				if h.bytes != c.bytes || h.ended != c.ended {
					t.Errorf("read by %d: %d bytes, ended %t; want %d, %t", size, h.bytes, h.ended, c.bytes, c.ended)
				}
			}
		})
	}
}
