// Package crash owns what entries know of requests that crash backend servers: a
// request that crashed enough of them is quarantined and reaches no further one.
// An entry has a [Tracker], the coordinator a [Aggregator] of what all of them have seen,
// and a [Record] outlives both. All of it takes time as an argument.
package crash
