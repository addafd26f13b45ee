package store

import "fmt"

// HistoryError reports a watch from a revision that the service has dropped.
// The watcher reads everything again.
type HistoryError struct {
	Prefix string
	After  Revision
}

// Error implements error.
func (historyError *HistoryError) Error() string {
	return fmt.Sprintf("changes of %q after revision %d are no longer kept", historyError.Prefix, historyError.After)
}
