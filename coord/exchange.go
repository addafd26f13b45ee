package coord

import (
	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/permit"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/share"
	"github.com/basilkeel/basilkeel/store"
)

// Target is a model of a service.
type Target struct {
	Service names.Service
	Model   names.Model
}

// Demand is the demand of an entry's callers for one model.
type Demand struct {
	// Work is the work of the requests since the last report, in seconds of an engine.
	Work float64
	// Requests is the number of these requests.
	Requests int
	// Waiting is the number of requests that wait for the model now.
	Waiting int
}

// Report is an entry's regular report to the coordinator.
type Report struct {
	Instance   names.Instance
	ShareState share.State
	Loads      map[names.BackendServer]int
	Demands    map[Target]Demand
	// Suspicions are the servers that ended while they ran a request, without those
	// that this term's coordinator has acknowledged.
	Suspicions []crash.Suspicion
	// SuspicionsVersion is the number of the newest of the coordinator's suspicions
	// that the entry has. It belongs to the term in Holdings.
	SuspicionsVersion int64
	// Revision is the revision of the entry's copy of the platform's keys.
	Revision store.Revision
	// Holdings is the version of the holdings that the entry has.
	Holdings Version
	// Departures are the servers that have announced to the entry that they leave.
	Departures []pool.Departure
	// Rates are the request rates that servers have declared, without the changes that
	// this term's coordinator has acknowledged.
	Rates []permit.Statement
	// RatesVersion is the number of the newest of the coordinator's changes of rates that
	// the entry has. It belongs to the term in Holdings.
	RatesVersion int64
	// EngineUses is what the entry has measured on engines whose requests are scheduled.
	EngineUses []pool.EngineUse
	// ModelLoads are the requests in flight for copies of models of services whose requests
	// are scheduled.
	ModelLoads []pool.ModelLoad
}

// Version identifies a state by its term and the number of changes within it.
type Version struct {
	Term   int64
	Number int64
}

// Reply is the coordinator's reply to a [Report].
type Reply struct {
	Term     int64
	Assigned share.Assignment
	// Entries is the number of entries, or zero if it is not known yet.
	Entries int
	// Loads are the requests that servers run for all other entries. Nil means that
	// the loads sent last stay in force.
	Loads map[names.BackendServer]int
	// Holdings are those that changed after the version in the report, up to
	// HoldingsVersion. They begin with the first change if the report's term differs
	// from Term.
	Holdings        []pool.Holding
	HoldingsVersion int64
	// Departures are the servers that have announced to any entry that they leave.
	Departures []pool.Departure
	// Revision is the latest known revision of the platform's service.
	Revision store.Revision
	// Changes are the changes of the platform's keys from the report's revision to
	// ChangesTo. Whole reports whether they are all keys rather than changes, and
	// Fresh whether the coordinator's copy is certainly up to date.
	Changes   []store.Entry
	ChangesTo store.Revision
	Whole     bool
	Fresh     bool
	// Suspicions are those of requests that several servers ran when they ended. They
	// are the ones added after the report's SuspicionsVersion, up to this reply's.
	Suspicions        []crash.Suspicion
	SuspicionsVersion int64
	// Rates are the declared rates that changed after the report's RatesVersion, up to
	// this reply's.
	Rates        []permit.Statement
	RatesVersion int64
	// Rank is the entry's place among all entries, from zero on.
	Rank int
}
