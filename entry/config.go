package entry

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/route"
)

// Config carries what a [Server] is built from.
type Config struct {
	Instance names.Instance
	Clock    *clock.Service
	Log      logrus.FieldLogger
	Metrics  metrics.Registry
	Source   config.Source
	Gate     Gate
	Quota    Quota
	Router   Router
	Signer   Signer
	Agents   Agents
	Claims   Claims
	Crashes  CrashTracker
	Plan     route.Plan
	Limits   Limits
	// Observer learns how each request ended.
	Observer Observer
}

// Limits bounds what callers can make an entry hold.
type Limits struct {
	// BodyBytes bounds the body of a request.
	BodyBytes int64
	// AnswerBytes bounds the whole answer of a plain service.
	AnswerBytes int64
	// OutputTokens bounds the output of one request, and is its default.
	OutputTokens int64
	// RequestsPerAccount bounds the requests of one account at this entry.
	RequestsPerAccount int
	// Attempts bounds the attempts of one request.
	Attempts int
	// WriteTimeout bounds one write to a caller.
	WriteTimeout time.Duration
	// RequestTimeout bounds a request that states no deadline.
	RequestTimeout time.Duration
}
