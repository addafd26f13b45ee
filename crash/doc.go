// Package crash owns what entries know of requests that crash backend servers: a
// request that crashed enough of them is quarantined and reaches no further one.
// All of it takes time as an argument.
package crash
