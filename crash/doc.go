// Package crash identifies requests that crash backend servers. A request that has
// crashed [QuarantineThreshold] servers is quarantined and reaches no further one. Each
// entry has a [Tracker], the coordinator has an [Aggregator] of all entries' suspicions,
// and a [Record] in the store outlives both. Functions take the current time as an
// argument.
package crash
