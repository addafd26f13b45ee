//go:build review

// Command stand plays the cases of the review: it starts the project's program as separate
// processes among stand-ins for callers, servers and the platform, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// play plays a case and reports whether the rule was broken.
type play func(record *record, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"poison": playPoison,
	"bodies": playBodies,
	"swap":   playSwap,
	"ledger": playLedger,
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// timeLimit bounds a case.
const timeLimit = 110 * time.Second

func main() {
	path := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	chosen, found := plays[flag.Arg(0)]
	if !found {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", flag.Arg(0))
		os.Exit(exitFailed)
	}
	record, trouble := newRecord(), os.Getenv("TROUBLE") != "0"
	time.AfterFunc(timeLimit, func() {
		record.add("the case took longer than %v", timeLimit)
		_ = record.write(*path)
		os.Exit(exitFailed)
	})
	record.add("case %s, trouble %t", flag.Arg(0), trouble)
	broken, err := chosen(record, trouble)
	code := exitHeld
	switch {
	case err != nil:
		record.add("the case could not run: %v", err)
		code = exitFailed
	case broken:
		record.add("RULE BROKEN")
		code = exitBroken
	default:
		record.add("rule held")
	}
	if err := record.write(*path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = exitFailed
	}
	os.Exit(code)
}
