// Package sched decides on which model engine an attempt of a request runs and when it
// may be sent there, for services whose requests compete for too little capacity. A
// [Scheduler] belongs to one term of the coordinator and one service. It reserves the
// prompt tokens that an engine can read without long pauses in its streams, and compares
// engines by one estimate in milliseconds. Its functions take the time as an argument.
package sched
