// Package quota owns the rate and burst of client accounts over all instances.
//
// An account's token bucket is divided into equal portions, one a seat. Seats
// are held by instances in different failure domains, the homes. A home lends
// tokens of its portions to entries for a bounded time, and entries spend what
// they hold without a round trip. [Lender], [Balance], [SeatLease] and [Takeover]
// are pure decision code that takes time as an argument; [Client], [Server] and
// [Keeper] do the input and output around them. docs/design/quota.md has the
// argument why the sum never exceeds rate and burst.
package quota
