// Package crash identifies requests that crash backend servers, and parts that the prompts
// of many requests share and that do so. A subject that has crashed [QuarantineThreshold]
// servers is quarantined: no request that is or contains it reaches a further one. A part
// is suspected only for requests that a server had not begun to answer. Every answer to a
// prompt with it clears it, as a complete answer does for a request. Each entry has a
// [Tracker], the coordinator has an [Aggregator] of all entries' suspicions, and a [Record]
// in the store outlives both. Functions take the current time as an argument.
package crash
