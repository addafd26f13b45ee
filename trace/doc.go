// Package trace analyzes the logs of many instances. It explains one request by
// the decisions made about it and by the state of the backend servers and models
// that it depended on, and it counts how requests ended.
package trace
