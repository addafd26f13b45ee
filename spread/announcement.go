package spread

import "github.com/basilkeel/basilkeel/names"

// Announcement tracks which relays know of a version that was just stored. The
// version counts as accepted once all relays of one failure domain know of it.
// Evidence of an outage needs a failed read from every failure domain, and each
// failed read carries the highest version that its relay knows. From then on no
// instance that lacks the version can treat an outage of the platform's service
// as proof that nothing changed.
type Announcement struct {
	pending map[names.Instance]names.FailureDomain
	// remaining counts the pending relays of each failure domain.
	remaining map[names.FailureDomain]int
}

// NewAnnouncement returns an announcement that no relay has acknowledged.
func NewAnnouncement(relays []Peer) *Announcement {
	announcement := &Announcement{
		pending:   make(map[names.Instance]names.FailureDomain, len(relays)),
		remaining: map[names.FailureDomain]int{},
	}
	for _, relay := range relays {
		announcement.pending[relay.Instance] = relay.Domain
		announcement.remaining[relay.Domain]++
	}
	return announcement
}

// Acknowledge records that relay knows of the version and reports whether all
// relays of its failure domain now do. It returns false for a relay that is not
// pending.
func (announcement *Announcement) Acknowledge(relay names.Instance) bool {
	domain, ok := announcement.pending[relay]
	if !ok {
		return false
	}
	delete(announcement.pending, relay)
	announcement.remaining[domain]--
	return announcement.remaining[domain] == 0
}
