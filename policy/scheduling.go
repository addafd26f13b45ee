package policy

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Scheduling is what the routes to a service with engines ask of the scheduling of its
// requests.
type Scheduling struct {
	// ShortestObjective is the shortest objective of the routes, GapObjective the shortest
	// for the pause between events.
	ShortestObjective time.Duration
	GapObjective      time.Duration
	// DeferFrom is the objective from which requests can wait for others.
	DeferFrom time.Duration
	// Priorities are those of the routes, in any order.
	Priorities []int
}

// deferFactor is how many times the shortest objective of a service an objective has to be
// for its requests to wait for others.
const deferFactor = 10

// Scheduling returns the scheduling of a service, or nil if its requests are not scheduled. They are
// if streams have an objective for their pauses and the routes' objectives differ
// so much that some requests can wait for others.
func (snapshot *Snapshot) Scheduling(service names.Service) *Scheduling {
	return snapshot.scheduling[service]
}

// Schedules reports whether the requests of any service are scheduled.
func (snapshot *Snapshot) Schedules() bool { return len(snapshot.scheduling) > 0 }

// schedulings returns the scheduling of each service whose requests are scheduled.
func schedulings(config *SnapshotConfig) map[names.Service]*Scheduling {
	found := map[names.Service]*Scheduling{}
	longest := map[names.Service]time.Duration{}
	for _, route := range config.Routes {
		if route.Kind != KindStream || route.Objective <= 0 || route.GapObjective <= 0 {
			continue
		}
		for _, target := range route.Targets {
			scheduling, known := found[target.Service]
			if !known {
				scheduling = &Scheduling{ShortestObjective: route.Objective, GapObjective: route.GapObjective}
				found[target.Service] = scheduling
			}
			scheduling.ShortestObjective = min(scheduling.ShortestObjective, route.Objective)
			scheduling.GapObjective = min(scheduling.GapObjective, route.GapObjective)
			scheduling.Priorities = append(scheduling.Priorities, route.Priority)
			longest[target.Service] = max(longest[target.Service], route.Objective)
		}
	}
	result := map[names.Service]*Scheduling{}
	for _, service := range config.Services {
		scheduling, known := found[service.Name]
		if !known || service.Engine == nil {
			continue
		}
		scheduling.DeferFrom = deferFactor * scheduling.ShortestObjective
		if longest[service.Name] >= scheduling.DeferFrom {
			result[service.Name] = scheduling
		}
	}
	return result
}
