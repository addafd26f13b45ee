// Package burn measures service levels: for each client account and kind of
// request, how many requests missed their objective, why, and how fast this
// spends the error budget.
//
// Requests that are refused because of the caller, such as invalid ones or ones
// over the account's rate limit, are not counted. The error budget is the
// fraction of requests that may miss their objective. The burn rate is the
// fraction that did miss it, divided by the budget: a burn rate of 1 spends the
// budget exactly.
package burn
