package agent

import (
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/place"
)

// Verifier verifies tickets.
type Verifier interface {
	// Admit returns the ticket in signed, or an *ident.TicketError. It uses the
	// ticket up, so that it is not admitted again.
	Admit(signed []byte) (ident.Ticket, error)
	// Check is like Admit, but does not use the ticket up.
	Check(signed []byte) (ident.Ticket, error)
}

// Meter measures the demand for models. It is safe for concurrent use.
type Meter interface {
	// Count adds the usage of one request.
	Count(usage place.Usage)
}

// Config configures a [Server]. Exactly one of Engine and Plain is set.
type Config struct {
	Instance names.Instance
	Server   names.BackendServer
	Clock    *clock.Service
	Log      logrus.FieldLogger
	Metrics  metrics.Registry
	Verifier Verifier
	// Admission decides when accepted work may run.
	Admission Admission
	Engine    engine.Engine
	Plain     engine.PlainService
	// Service is the plain service behind the agent.
	Service names.Service
	// Crashes tracks requests that crash the engine; nil beside a plain service.
	Crashes CrashTracker
	// Meter measures the demand for models.
	Meter Meter
	// Residency knows which models can be served without loading them first.
	Residency Residency
}
