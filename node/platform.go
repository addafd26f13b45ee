package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/setup"
	"github.com/basilkeel/basilkeel/store"
)

// newStore returns the process's client of the platform's key-value service.
func newStore(lifecycle fx.Lifecycle, process *setup.Process, clock *clock.Service, log logrus.FieldLogger) (*store.Client, error) {
	return openStore(lifecycle, process, clock, log, 0)
}

// openStore returns a new client of the platform's key-value service with the
// given call timeout; zero means the client's default.
func openStore(lifecycle fx.Lifecycle, process *setup.Process, clock *clock.Service, log logrus.FieldLogger, timeout time.Duration) (*store.Client, error) {
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.StopHook(cancel))
	security, err := newSecurity(ctx, process.PlatformFiles, clock, log)
	if err != nil {
		return nil, err
	}
	return store.NewClient(store.ClientConfig{Address: process.PlatformAddr, Credentials: security.clientCredentials(), CallTimeout: timeout})
}
