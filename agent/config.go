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

// Verifier accepts or refuses tickets.
type Verifier interface {
	// Admit returns the ticket in signed and uses it up, or an *ident.TicketError.
	Admit(signed []byte) (ident.Ticket, error)
	// Check is Admit without using the ticket up.
	Check(signed []byte) (ident.Ticket, error)
}

// Meter counts the demand for models. It is safe for concurrent use.
type Meter interface {
	// Count adds what a request used.
	Count(usage place.Usage)
}

// Config carries what a [Server] is built from. Exactly one of Engine and Plain
// is set.
type Config struct {
	Instance names.Instance
	Server   names.BackendServer
	Clock    *clock.Service
	Log      logrus.FieldLogger
	Metrics  metrics.Registry
	Verifier Verifier
	// Admission decides when admitted work may run.
	Admission Admission
	Engine    engine.Engine
	Plain     engine.Plain
	// Service is the plain service behind the agent.
	Service names.Service
	// Crashes is what is known of crashes; nil beside a plain service.
	Crashes Crashes
	// Meter counts the demand for models.
	Meter Meter
	// Residency tells which models can be served without a load.
	Residency Residency
}
