// Package poison tracks requests that crash backend servers: which are suspects,
// which are quarantined, and which were cleared.
//
// A [Tracker] is pure state; several can be merged in any order. Agents record
// the crashes that they observe, gossip between agents and entries spreads them,
// and both classify each request before it runs.
package poison
