//go:build review2

// Command stand2 plays the cases of the second review. It starts the program's entries as
// processes; the store, the servers and the clients are stand-ins in this process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases are the cases by name. Each reports what it saw and whether the rule was broken.
var cases = map[string]func(fleet *fleet, trouble bool) (broken bool){
	"crashing-part":            crashingPart,
	"crashing-part-after-two":  crashingPartAfterTwo,
	"crashing-part-after-many": crashingPartAfterMany,
	"unframed-lookups":         unframedLookups,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		os.Exit(2)
	}
	record := newRecord(filepath.Join(os.Args[2], "record.txt"))
	fleet := newFleet(record)
	cleanUp = fleet.close
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { cannotRun("got signal %v", <-signals) }()
	broken := cases[os.Args[1]](fleet, os.Getenv("TROUBLE") != "0")
	fleet.close()
	if broken {
		record.line("the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	record.line("the rule held")
	fmt.Println("the rule held")
}
