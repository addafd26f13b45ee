package admin

import (
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/spread"
)

// Outcome describes a change that the platform's key-value service has stored.
type Outcome struct {
	Record config.Record
	// Announced reports whether the relays of at least one failure domain know
	// of the change; from then on the bounds on the time until it is in force
	// hold. If it is false, the caller must retry the change with the same id.
	Announced bool
	Rollout   spread.Rollout
}
