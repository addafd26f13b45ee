package mirror

import (
	"strings"
	"time"

	"github.com/basilkeel/basilkeel/store"
)

// Part is an owner of the keys that begin with a prefix.
type Part struct {
	Prefix string
	Owner  Owner
}

// Parts deals what one mirror sees to several owners.
type Parts []Part

var _ Owner = Parts(nil)

// Replaced implements [Owner].
func (parts Parts) Replaced(entries []store.Entry) {
	for _, part := range parts {
		part.Owner.Replaced(part.own(entries))
	}
}

// Changed implements [Owner].
func (parts Parts) Changed(entries []store.Entry) {
	for _, part := range parts {
		if own := part.own(entries); len(own) > 0 {
			part.Owner.Changed(own)
		}
	}
}

// Lost implements [Owner].
func (parts Parts) Lost(since time.Time) {
	for _, part := range parts {
		part.Owner.Lost(since)
	}
}

// Regained implements [Owner].
func (parts Parts) Regained(at time.Time) {
	for _, part := range parts {
		part.Owner.Regained(at)
	}
}

func (part Part) own(entries []store.Entry) []store.Entry {
	var own []store.Entry
	for _, entry := range entries {
		if strings.HasPrefix(entry.Key(), part.Prefix) {
			own = append(own, entry)
		}
	}
	return own
}
