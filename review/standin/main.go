// Command review-standin plays the cases of the review: it serves the platform's store, starts
// gateway processes and servers, sends requests as a client and writes down what it saw.
//
// Usage: review-standin case NAME FOLDER, or review-standin server OPTIONS.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(*play) bool{
	"cut-answer":     playCutAnswer,
	"large-bodies":   playLargeBodies,
	"mixed-versions": playMixedVersions,
	"double-slash":   playDoubleSlash,
	"late-accept":    playLateAccept,
}

func main() {
	if len(os.Args) > 2 && os.Args[1] == "server" {
		serveAsServer(os.Args[2:])
		return
	}
	if len(os.Args) != 4 || os.Args[1] != "case" || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin case NAME FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[2]], os.Args[3]))
}
