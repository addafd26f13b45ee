// Package copies owns which model engine holds which models and adapters, in
// deployments where demand moves within seconds.
//
// [Planner] is decision code: it takes demand, engines and the time, and returns
// orders. [Tracker] is what the coordinator knows of one engine, including an
// order of unknown fate. [Dispatcher] sends the orders, one after the other to each
// engine, each with the count of orders that the engine has accepted, so that an
// order that arrives late is refused by the engine.
package copies
