package spread

import (
	"maps"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
)

// reading is a version that was the latest at a time on the own clock.
type reading struct {
	at      time.Duration
	version config.Version
	known   bool
}

// evidence is what an instance knows of the platform's service.
type evidence struct {
	// confirmed is the freshest reading.
	confirmed reading
	// covered is the freshest reading whose version is in force here.
	covered reading
	// failed has the last failed read by failure domain; its version is the
	// highest that the relay had heard of.
	failed map[names.FailureDomain]reading
}

func newEvidence() evidence {
	return evidence{failed: map[names.FailureDomain]reading{}}
}

// confirm adds a reading; held is the version in force here.
func (evidence *evidence) confirm(reading reading, held config.Version) {
	if !evidence.confirmed.known || reading.at > evidence.confirmed.at {
		evidence.confirmed = reading
	}
	if reading.version <= held && (!evidence.covered.known || reading.at > evidence.covered.at) {
		evidence.covered = reading
	}
}

// adopt counts the freshest reading once its version is in force here.
func (evidence *evidence) adopt(held config.Version) {
	if evidence.confirmed.known {
		evidence.confirm(evidence.confirmed, held)
	}
}

// fail adds a failed read.
func (evidence *evidence) fail(domain names.FailureDomain, failed reading) {
	before, ok := evidence.failed[domain]
	if !ok || failed.at > before.at {
		evidence.failed[domain] = failed
	}
}

// outage returns the time until which no failure domain reached the service
// and none had heard of a version above held. It is false unless every domain
// failed after the freshest reading.
func (evidence *evidence) outage(domains []names.FailureDomain, held config.Version) (time.Duration, bool) {
	if len(domains) == 0 {
		return 0, false
	}
	earliest := time.Duration(0)
	for i, domain := range domains {
		failed, ok := evidence.failed[domain]
		if !ok || failed.version > held || evidence.outdated(failed) {
			return 0, false
		}
		if i == 0 || failed.at < earliest {
			earliest = failed.at
		}
	}
	return earliest, true
}

// outdated tells that a later read reached the service.
func (evidence *evidence) outdated(failed reading) bool {
	return evidence.confirmed.known && failed.at <= evidence.confirmed.at
}

// merge adds the evidence of news. A span from another clock counts as shorter
// where it is later than the anchor, and longer where it is earlier.
func (evidence *evidence) merge(anchor time.Duration, news News, held config.Version) {
	if news.Confirmed != nil {
		at := anchor + withoutDrift(news.Confirmed.Offset)
		evidence.confirm(reading{at: at, version: news.Confirmed.Version, known: true}, held)
	}
	for _, outage := range news.Outages {
		evidence.fail(outage.Domain, reading{at: anchor + withoutDrift(outage.Offset), version: outage.Version, known: true})
	}
}

func withoutDrift(offset time.Duration) time.Duration {
	return offset - offset.Abs()/driftDivisor
}

// news returns the evidence for a follower whose anchor arrived at a time.
func (evidence *evidence) news(version config.Version, arrived time.Duration) News {
	news := News{Version: version}
	if evidence.confirmed.known {
		news.Confirmed = &Confirmation{Version: evidence.confirmed.version, Offset: evidence.confirmed.at - arrived}
	}
	for _, domain := range slices.Sorted(maps.Keys(evidence.failed)) {
		failed := evidence.failed[domain]
		if !evidence.outdated(failed) {
			news.Outages = append(news.Outages, Outage{Domain: domain, Offset: failed.at - arrived, Version: failed.version})
		}
	}
	return news
}
