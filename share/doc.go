// Package share owns the division of client accounts' limits between entries.
//
// Each entry holds a share, a part of the rate and burst of an account, as a
// token bucket of its own. The coordinator moves shares towards demand: an
// entry's share is lowered and confirmed before another's is raised, so the
// shares in use never add up to more than one. A share ends by its holder's own
// clock before the coordinator takes it for lost. All of it is decision code
// that takes time as an argument.
package share
