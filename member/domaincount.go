package member

// domainCount counts the members of one failure domain.
type domainCount struct {
	live   int
	failed int
}

// add returns the count after change members with the given health were added, or
// removed if change is negative.
func (domainCount domainCount) add(health Health, change int) domainCount {
	switch health {
	case Alive, Suspect:
		domainCount.live += change
	case Failed:
		domainCount.failed += change
	case Gone:
	}
	return domainCount
}

// lost reports whether most members of the domain have failed.
func (domainCount domainCount) lost() bool { return domainCount.failed > domainCount.live }
