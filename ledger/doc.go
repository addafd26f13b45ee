// Package ledger makes the decisions of an agent, which is the only sender of
// orders to its model engine: which models and adapters may be resident, which
// orders may be sent, and when memory is free again.
//
// The package does no input or output. A [Ledger] takes events and the current
// time and returns actions, which package loader executes.
//
// Successive agents of an engine are numbered by epochs. An agent acquires the
// engine by writing a record with the next epoch to the platform's store. The
// record also names every item that the agent's orders may have made resident,
// so that a successor knows which memory may be in use.
package ledger
