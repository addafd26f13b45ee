// Package agent is the only access to a backend server. It accepts attempts that
// carry a valid ticket, admits them in fair order, runs them on the backend
// server, and reports the outcome of each. It reports an attempt as not run only
// if that is certain.
package agent
