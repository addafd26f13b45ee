package store

import "fmt"

// HistoryError reports a watch from a revision whose later changes the service
// no longer stores. The watcher has to list all entries again.
type HistoryError struct {
	Prefix string
	After  Revision
}

// Error implements error.
func (historyError *HistoryError) Error() string {
	return fmt.Sprintf("changes of %q after revision %s are no longer kept", historyError.Prefix, historyError.After)
}
