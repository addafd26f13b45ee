// Package loader executes the decisions of package ledger: it sends orders to a
// model engine, reads and writes the agent's record in the platform's store, and
// requests reports.
package loader
