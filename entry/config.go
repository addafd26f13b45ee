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

// Config configures a [Server].
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
	// Observer is notified of the end of each request.
	Observer Observer
}

// Limits bounds the resources that callers can use at an entry.
type Limits struct {
	// BodyBytes bounds the body of a request.
	BodyBytes int64
	// AnswerBytes bounds the response body of a plain service.
	AnswerBytes int64
	// OutputTokens bounds the output of one request. It is also the default.
	OutputTokens int64
	// RequestsPerAccount bounds the concurrent requests of one account at this
	// entry.
	RequestsPerAccount int
	// Attempts bounds the attempts of one request.
	Attempts int
	// WriteTimeout bounds one write to a caller.
	WriteTimeout time.Duration
	// RequestTimeout bounds the duration of a request. It is also the default
	// timeout, except for verdict requests whose objective is shorter.
	RequestTimeout time.Duration
}
