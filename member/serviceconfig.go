package member

import (
	"context"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/fleet"
)

// ServiceConfig holds the parameters of a [Service].
type ServiceConfig struct {
	// Self describes this instance.
	Self fleet.Member
	// List reads the platform's list of instances.
	List func(ctx context.Context) ([]fleet.Member, error)
	// Options are used for each connection to a peer. They must set the transport
	// credentials.
	Options []grpc.DialOption
	Clock   *clock.Service
	Logger  logrus.FieldLogger
	Metrics metrics.Registry
}
