// Package clock provides the timer service of a process. Packages that serve
// requests take the time from it, so that a test can replace the clock of a whole
// process; only write deadlines of connections use the machine's clock.
package clock
