package coord

import (
	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/share"
	"github.com/basilkeel/basilkeel/store"
)

// Target is a model of a service.
type Target struct {
	Service names.Service
	Model   names.Model
}

// Demand is what an entry's callers asked for since its last report.
type Demand struct {
	Work    float64
	Waiting int
}

// Report is what an entry tells the coordinator.
type Report struct {
	Instance names.Instance
	Held     share.State
	Loads    map[names.BackendServer]int
	Demands  map[Target]Demand
	// Sightings are servers that ended while they ran a request, as far as this term's
	// coordinator has not answered them.
	Sightings []crash.Sighting
	// Suspects is the number of the newest of the coordinator's sightings that the
	// entry has, of the term in Holdings.
	Suspects int64
	// Revision up to which the entry knows the platform's keys.
	Revision store.Revision
	// Holdings is the version of holdings that the entry has.
	Holdings Version
	// Departures are servers that said to the entry that they leave.
	Departures []pool.Departure
}

// Version counts changes within one term.
type Version struct {
	Term   int64
	Number int64
}

// Reply is what the coordinator answers.
type Reply struct {
	Term     int64
	Assigned share.Assignment
	// Entries is how many entries there are, or zero where that is not known yet.
	Entries int
	// Loads are those of all other entries; nil leaves those told before in force.
	Loads map[names.BackendServer]int
	// Holdings are those that changed up to a version since the one that the entry
	// told, or all where Term differs.
	Holdings        []pool.Holding
	HoldingsVersion int64
	// Departures are servers that said to any entry that they leave.
	Departures []pool.Departure
	// Revision is what the platform's service is known to have reached.
	Revision store.Revision
	// Changes lead from the entry's revision to ChangesTo; they are all entries
	// where Whole is set. Without Fresh the coordinator may be out of date.
	Changes   []store.Entry
	ChangesTo store.Revision
	Whole     bool
	Fresh     bool
	// Suspects are sightings of requests under which several servers have ended, since
	// what the entry has, up to SuspectsNumber.
	Suspects       []crash.Sighting
	SuspectsNumber int64
}
