// Package elect elects one coordinator among the entries by a key of the
// platform's key-value service that is bound to a lease. The revision at which the
// key is written is the coordinator's term; it rises with each election and serves
// as fencing token.
package elect
