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
	// StepPeriod is the time between two ticks of a [Controller].
	StepPeriod = 2 * time.Second
	// ExchangePeriod is the time between two exchanges of a [Client] with the
	// lease holder.
	ExchangePeriod = 4 * time.Second
	// storeTimeout bounds one call to the store.
	storeTimeout = time.Second
	// maxDemandAge is the maximum age of a demand report that counts.
	maxDemandAge = 3 * ExchangePeriod

	holderKey = "place/holder"
	planKey   = "place/plan"
)

// ControllerConfig is the configuration of a [Controller].
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
