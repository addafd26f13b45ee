package spread

import "github.com/basilkeel/basilkeel/names"

// Announcement counts which relays know of a version that was just stored. The
// version may be called accepted once all relays of one failure domain know of
// it: evidence of an outage needs a statement of every failure domain, and a
// relay's statement names the highest version that it has heard of, so that
// from then on no instance that lacks the version takes an outage of the
// service for a proof that nothing changed.
type Announcement struct {
	pending   map[names.Instance]names.FailureDomain
	remaining map[names.FailureDomain]int
}

// NewAnnouncement returns an announcement to relays.
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

// Acknowledge notes that relay knows of the version, and tells whether a
// failure domain is complete with it.
func (announcement *Announcement) Acknowledge(relay names.Instance) bool {
	domain, ok := announcement.pending[relay]
	if !ok {
		return false
	}
	delete(announcement.pending, relay)
	announcement.remaining[domain]--
	return announcement.remaining[domain] == 0
}
