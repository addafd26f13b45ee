// Package trace owns the explanation of one request from the logs of many
// instances: its decisions in order, and what was believed meanwhile of the
// backend servers and models that it touched.
package trace
