// Package claim owns the promise that a call which may not be repeated is
// attempted at a backend server at most once.
//
// Before such a call leaves an entry, its idempotency key is claimed in the
// platform's key-value service. Claims are spread over shards; one entry, found
// by rendezvous hashing, writes a shard and groups what waits into one
// compare-and-swap. Two writers of one shard are harmless.
//
// [Writer] and [Submission] are the decisions, without I/O: a writer of one shard,
// and one operation's way through the candidates for its shard. [Host] and
// [Client] run them.
package claim
