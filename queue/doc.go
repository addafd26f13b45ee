// Package queue schedules an agent's requests to its backend server: it decides
// which request starts next, which are refused, and when.
//
// The package does no input or output and starts no goroutines. The current time
// is an argument, and what the caller must do is returned as [Action] values. A
// [Queue] is not safe for concurrent use.
//
// The caller passes each arriving request to [Queue.Offer]. After each offer,
// finish and change of capacity it calls [Queue.Start] until that returns no more
// requests. It reports generated tokens with [Queue.Progress], calls [Queue.Tick]
// no later than at the time that [Queue.Next] returns, and carries out the
// actions that every call returns.
package queue
