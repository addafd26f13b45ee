// Package elect owns the election of one coordinator among entries: a key of the
// platform's service under a lease. The revision of the key's creation is the
// term, which rises with each election and serves as fencing token.
package elect
