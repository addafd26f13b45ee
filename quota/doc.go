// Package quota enforces the rate and burst of client accounts across all
// instances.
//
// Accounts are hashed to shards. An account's token bucket is divided into equal
// portions, one per seat of its shard. Each seat is held by one instance at a
// time, its holder, under a lease in the platform's service; the holders of a
// shard are in different failure domains if possible. A holder lends tokens of
// its portions to entries, the borrowers, for a bounded time, and entries spend
// borrowed tokens without a round trip.
//
// All entries together never exceed an account's rate and burst: a portion's
// level and outstanding loans do not exceed its capacity, a seat passes to
// another instance only after its lease and loans have ended, and the portions
// of a new holder start empty.
//
// While the platform's service is unavailable, the holders of a shard extend
// each other's leases by votes, for at most [VoteOnlyLimit].
//
// [Lender], [Balance], [SeatLease] and [Takeover] are pure decision code that
// takes the time as an argument. [Client], [Server] and [Keeper] do the input
// and output.
package quota
