// Package admin implements the operators' HTTP API and a client for it. The API
// changes the configuration, shows it and its history, issues and withdraws
// keys, and lists and lifts quarantines.
//
// Every change carries an id chosen by its author and the version that it
// expects to replace. A client that lost the response retries the change with
// the same id, and the change takes effect only once.
package admin
