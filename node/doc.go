// Package node assembles the processes: it builds the components of an entry or
// an agent from validated settings, starts them in order and stops them
// gracefully.
package node
