// Package place decides which model engine serves which models and adapters.
//
// [Planner] does no I/O: it takes demand, servers and the time as arguments
// and returns a [Plan]. The plan adds an item to a server's target together
// with the permission to load it, so that the plan itself bounds the loads in
// progress in the whole fleet. The planner changes a server's target only
// after the agent has confirmed the previous one.
//
// [Controller] runs a planner at the entry that holds the planning lease.
// [Client] reports to that entry and receives its plans, and [Applier] passes
// a plan's target to the loader of an agent.
package place
