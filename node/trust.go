package node

import (
	"context"
	"time"

	"go.uber.org/fx"

	"github.com/basilkeel/basilkeel/agent"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/entry"
	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/setup"
	"github.com/basilkeel/basilkeel/spread"
)

// recheckPeriod is the interval of checks for requests whose keys are no longer
// admitted for a reason other than a change of configuration.
const recheckPeriod = 250 * time.Millisecond

func newGate(service *spread.Service, hasher *ident.Hasher) entry.Gate {
	return ident.NewGate(ident.GateConfig{Source: service, Freshness: service, Hasher: hasher})
}

func newSigner(keyring *ident.Keyring, source config.Source, clock *clock.Service) entry.Signer {
	return ident.NewSigner(ident.SignerConfig{Keyring: keyring, Source: source, Clock: clock})
}

func newVerifier(keyring *ident.Keyring, source config.Source, clock *clock.Service, settings *setup.Agent) agent.Verifier {
	return ident.NewVerifier(ident.VerifierConfig{
		Keyring: keyring, Source: source, Clock: clock, Server: names.BackendServer(settings.Server),
	})
}

// recheckKeys cancels requests whose keys are no longer admitted. It checks at
// each change of configuration, and periodically in case the configuration is no
// longer fresh.
func recheckKeys(lifecycle fx.Lifecycle, service *spread.Service, server *entry.Server, clock *clock.Service) {
	background(lifecycle, func(ctx context.Context) {
		clock.Subscribe(ctx, recheckPeriod, func(context.Context, time.Time) { server.RecheckAdmissions() })
		go func() {
			for {
				changed := service.Changed()
				server.RecheckAdmissions()
				select {
				case <-changed:
				case <-ctx.Done():
					return
				}
			}
		}()
	})
}
