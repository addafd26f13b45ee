// Package entry serves HTTP callers. It admits each request for the client
// account of its key, reserves tokens for it, sends numbered attempts to agents
// until one completes, and joins their output into one response.
package entry
