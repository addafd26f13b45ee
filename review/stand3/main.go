//go:build review3

// Command review3 plays the cases of the third review: it starts the project's own programs, with
// stand-ins for the platform's store, runners and clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Results of a case.
const (
	held     = 0
	broken   = 1
	unplayed = 2
)

func main() {
	if len(os.Args) == 3 && os.Args[1] == "runner" {
		if err := serveRunner(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(broken)
		}
		return
	}
	cases := map[string]func(*fleet, bool) (int, error){
		"adapters": playAdapters, "replacement": playReplacement, "startup": playStartup, "watches": playWatches, "writer": playWriter,
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE ROOT RECORD")
		os.Exit(unplayed)
	}
	fleet, err := newFleet(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unplayed)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		fleet.note("not played to the end: ended by a signal")
		fleet.stop()
		os.Exit(unplayed)
	}()
	result, err := cases[os.Args[1]](fleet, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fleet.note("not played: %v", err)
		fmt.Fprintln(os.Stderr, err)
		result = unplayed
	}
	fleet.stop()
	os.Exit(result)
}
