package place

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/store"
)

const (
	// StepPeriod is the time between two steps of the holder.
	StepPeriod = 2 * time.Second
	// ExchangePeriod is the time between two exchanges of one instance with the
	// holder.
	ExchangePeriod = 4 * time.Second
	// storeTimeout bounds one call on the platform's service.
	storeTimeout = time.Second
	// maxDemandAge is how long a report of demand counts.
	maxDemandAge = 3 * ExchangePeriod

	holderKey = "place/holder"
	planKey   = "place/plan"
)

// ControllerConfig carries what a [Controller] is built from.
type ControllerConfig struct {
	Self    names.Instance
	Fleet   fleet.Source
	Store   store.Store
	Source  config.Source
	Clock   *clock.Service
	Logger  logrus.FieldLogger
	Metrics metrics.Registry
	Planner Config
}
