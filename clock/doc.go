// Package clock provides the timer service of a process. All other packages take
// the time from it, so that a test can replace the clock of a whole process.
package clock
