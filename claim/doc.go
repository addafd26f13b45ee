// Package claim ensures that a call which may not be repeated is attempted at a
// backend server at most once.
//
// Before an entry sends such a call, it claims the call's idempotency key in the
// platform's key-value service. Claims are distributed over shards. Each shard is
// normally written by one entry, chosen by rendezvous hashing, which groups the
// operations that wait into one compare-and-swap. Two entries that write the same
// shard do no harm: the second swap fails, and its operations are decided again.
//
// A shard is stored as a head, which takes new records, and a sequence of sealed
// segments. A head that has grown to a certain size is sealed: its records move
// to a new segment, which doesn't change any more.
//
// [Writer] and [Submission] make the decisions and do no I/O: a Writer decides
// what is written to one shard, and a Submission which candidate for a shard is
// tried next. [Host] and [Client] run them.
package claim
