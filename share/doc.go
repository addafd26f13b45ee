// Package share divides the limits of client accounts between entries.
//
// While a coordinator answers, its [Lender] lends tokens of each account to the
// [Limiter] of each entry. Without one, an entry admits requests against its
// share: a part of the account's rate and burst, in a token bucket of its own.
// The [Divider] of the coordinator adjusts shares to demand: it lowers one
// entry's share and waits for the confirmation before it raises another's, so
// that the shares in use never add up to more than one. A share expires by the
// entry's own clock before the coordinator grants it to others. The [Record] marks
// the shares of silent instances with the time that is left, so that coordinators
// count on from one another. All of the code takes the time as an argument.
package share
