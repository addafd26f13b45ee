package node

import (
	"context"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx/fxtest"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/conns"
	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/proof"
)

// emptyFleet has no members.
type emptyFleet struct{ view *fleet.View }

// Current implements [fleet.Source].
func (emptyFleet *emptyFleet) Current() *fleet.View { return emptyFleet.view }

// TestSpreadStops guards against a process that hangs when its start fails: the
// parts that were started have to stop again, so that the process can report why
// it did not start.
func TestSpreadStops(t *testing.T) {
	g := NewWithT(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	timers := clock.NewService(clock.ServiceConfig{})
	lifecycle := fxtest.NewLifecycle(t)
	newSpread(spreadParts{
		Lifecycle: lifecycle, View: &emptyFleet{view: fleet.NewView(nil)}, Clock: timers, Log: log,
		Repository:  config.NewRepository(config.RepositoryConfig{Store: proof.NewStore(), Clock: timers}),
		Connections: conns.NewPool(conns.PoolConfig{}),
	})
	lifecycle.RequireStart()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- lifecycle.Stop(ctx) }()
	g.Eventually(stopped, 3*time.Second).Should(Receive(BeNil()))
}
