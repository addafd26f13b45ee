package sched

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
)

// Part is a part of a prompt that other requests may have as well.
type Part struct {
	// ID identifies the part together with all parts before it.
	ID     uint64
	Tokens int64
}

// Request is one attempt of a request that needs a model engine.
type Request struct {
	// Instance is the entry that sends the request, in failure domain Domain.
	Instance names.Instance
	Domain   names.FailureDomain
	Account  names.ClientAccount
	Model    names.Model
	// Adapter is empty if the request needs none.
	Adapter      names.Adapter
	PromptTokens int64
	// OutputTokens is the largest number of tokens of the response.
	OutputTokens int64
	// Tokens is what the request counts against its account's limits.
	Tokens float64
	// Elapsed is the time since the request arrived, Left the time to its deadline.
	Elapsed time.Duration
	Left    time.Duration
	// Objective is the intended time from the arrival to the first event.
	Objective time.Duration
	// Priority ranks requests; zero is the highest priority.
	Priority int
	// Excluded are servers that must not run the request; Failing are those that have
	// failed at the entry lately and are chosen only if there is no other.
	Excluded []names.BackendServer
	Failing  []names.BackendServer
	// Closed are servers that could run the request, but whose rate is used up for now.
	Closed []names.BackendServer
	// Parts are the parts that the prompt shares with others, in order.
	Parts []Part
	// Slowdowns are those that engines have stated to the entry lately.
	Slowdowns []pool.EngineUse
}

// Decision is the result of [Scheduler.Place]: [Placed], [Later], [Refused],
// [NoCopy], [NoServer] or [Unscheduled].
type Decision interface{ decision() }

// Placed reserves an engine's time for the request.
type Placed struct {
	Server      names.BackendServer
	Incarnation int64
	// Wait is the time until the request may be sent.
	Wait time.Duration
	// AdapterMissing reports whether the engine has to load the adapter first.
	AdapterMissing bool
	// Load is the engine's number of requests relative to its slots.
	Load float64
	// First is the expected time from the sending to the first event.
	First time.Duration
	// UnreadTokens is the part of the prompt that the engine has to read.
	UnreadTokens int64
	// Idle reports whether the engine has no other prompt to read.
	Idle bool
}

// Later asks the entry to ask again after Wait. Nothing is reserved.
type Later struct {
	Wait time.Duration
}

// Refused reports that the request should not be served now.
type Refused struct {
	// RetryAfter is the time until the caller should try again.
	RetryAfter time.Duration
	// Load is the load of the best engine.
	Load float64
}

// NoCopy reports that no usable engine holds the model.
type NoCopy struct {
	// Ready is the expected time until one does, or zero if that is unknown.
	Ready time.Duration
}

// NoServer reports that no engine of the service is usable.
type NoServer struct{}

// Unscheduled leaves the choice of a server to the entry.
type Unscheduled struct{}

func (Placed) decision()      {}
func (Later) decision()       {}
func (Refused) decision()     {}
func (NoCopy) decision()      {}
func (NoServer) decision()    {}
func (Unscheduled) decision() {}
