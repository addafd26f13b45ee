// Basilkeel serves many models from fewer accelerators.
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
	err := subcmd.Basilkeel().Run(ctx, os.Args)
	stop()
	os.Exit(subcmd.ReportError(os.Stderr, err))
}
