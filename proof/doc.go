// Package proof provides helpers shared by test files: fixed seeds, so that a run
// gives the same result every time, and an in-memory store with injected faults.
// Only test files import it.
package proof
