package mirror

import (
	"strings"
	"time"

	"github.com/basilkeel/basilkeel/store"
)

// PrefixHandler is an owner of the keys that begin with a prefix.
type PrefixHandler struct {
	Prefix  string
	Handler Handler
}

// PrefixHandlers deals what one mirror sees to several owners.
type PrefixHandlers []PrefixHandler

var _ Handler = PrefixHandlers(nil)

// Replaced implements [Handler].
func (prefixHandlers PrefixHandlers) Replaced(entries []store.Entry) {
	for _, prefixHandler := range prefixHandlers {
		prefixHandler.Handler.Replaced(prefixHandler.own(entries))
	}
}

// Changed implements [Handler].
func (prefixHandlers PrefixHandlers) Changed(entries []store.Entry) {
	for _, prefixHandler := range prefixHandlers {
		if own := prefixHandler.own(entries); len(own) > 0 {
			prefixHandler.Handler.Changed(own)
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

func (prefixHandler PrefixHandler) own(entries []store.Entry) []store.Entry {
	var own []store.Entry
	for _, entry := range entries {
		if strings.HasPrefix(entry.Key(), prefixHandler.Prefix) {
			own = append(own, entry)
		}
	}
	return own
}
