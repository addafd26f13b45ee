// Standin simulates the systems that basilkeel works with, for tests and a first
// run.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/basilkeel/basilkeel/subcmd"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := subcmd.Standin().Run(ctx, os.Args)
	stop()
	os.Exit(subcmd.ReportError(os.Stderr, err))
}
