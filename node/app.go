package node

import (
	"context"
	"time"

	"go.uber.org/fx"
)

// startTimeout is the maximum duration of a process's startup.
const startTimeout = 30 * time.Second

// stopMargin is the time that a graceful shutdown may take in addition to its
// drain timeout.
const stopMargin = 15 * time.Second

// run starts app, waits until a signal arrives or ctx is done, and stops app
// gracefully.
func run(ctx context.Context, app *fx.App, drainTimeout time.Duration) error {
	startCtx, cancelStart := context.WithTimeout(ctx, startTimeout)
	defer cancelStart()
	if err := app.Start(startCtx); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-app.Wait():
	}
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout+stopMargin)
	defer cancelStop()
	return app.Stop(stopCtx)
}
