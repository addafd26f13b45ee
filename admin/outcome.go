package admin

import (
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/spread"
)

// Outcome tells of a change that the platform's service has taken.
type Outcome struct {
	Record config.Record
	// Announced tells that the relays of a failure domain know of the change;
	// from then on the bounds on its coming into force hold. Where it is not
	// set, the change is to be sent again under the same id.
	Announced bool
	InForce   spread.Rollout
}
