// Package copies decides which model engine holds which models and adapters, in
// deployments where demand changes within seconds.
//
// [Planner] is pure decision code: from demand, the engines' states and the time it
// derives steps, each of which loads a model on an engine. [Tracker] tracks the state of
// one engine, including whether the outcome of an order is unknown. [Dispatcher] executes
// the steps by sending orders, one at a time to each engine. An order carries the count
// of orders that the engine has accepted before, so that the engine refuses an order
// that arrives late.
package copies
