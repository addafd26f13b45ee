package mirror

import (
	"strings"
	"time"

	"github.com/basilkeel/basilkeel/store"
)

// PrefixHandler is the handler of the keys that begin with a prefix.
type PrefixHandler struct {
	Prefix  string
	Handler Handler
}

// PrefixHandlers dispatches entries of one mirror to several handlers by prefix.
type PrefixHandlers []PrefixHandler

var _ Handler = PrefixHandlers(nil)

// Replaced implements [Handler].
func (prefixHandlers PrefixHandlers) Replaced(entries []store.Entry) {
	for _, prefixHandler := range prefixHandlers {
		prefixHandler.Handler.Replaced(prefixHandler.matching(entries))
	}
}

// Changed implements [Handler].
func (prefixHandlers PrefixHandlers) Changed(entries []store.Entry) {
	for _, prefixHandler := range prefixHandlers {
		if matching := prefixHandler.matching(entries); len(matching) > 0 {
			prefixHandler.Handler.Changed(matching)
		}
	}
}

// Lost implements [Handler].
func (prefixHandlers PrefixHandlers) Lost(since time.Time) {
	for _, prefixHandler := range prefixHandlers {
		prefixHandler.Handler.Lost(since)
	}
}

// Regained implements [Handler].
func (prefixHandlers PrefixHandlers) Regained(at time.Time) {
	for _, prefixHandler := range prefixHandlers {
		prefixHandler.Handler.Regained(at)
	}
}

// matching returns the entries whose keys begin with the prefix.
func (prefixHandler PrefixHandler) matching(entries []store.Entry) []store.Entry {
	var matching []store.Entry
	for _, entry := range entries {
		if strings.HasPrefix(entry.Key(), prefixHandler.Prefix) {
			matching = append(matching, entry)
		}
	}
	return matching
}
