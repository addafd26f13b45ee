package spread

import (
	"maps"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
)

// observation is a version that was the latest at a time on the own clock.
type observation struct {
	at      time.Duration
	version config.Version
	known   bool
}

// evidence is what an instance knows of the platform's service.
type evidence struct {
	// confirmed is the freshest reading.
	confirmed observation
	// applied is the freshest reading whose version is in force here.
	applied observation
	// failures has the last failed read by failure domain; its version is the
	// highest that the relay had heard of.
	failures map[names.FailureDomain]observation
}

func newEvidence() evidence {
	return evidence{failures: map[names.FailureDomain]observation{}}
}

// addConfirmation adds a reading; held is the version in force here.
func (evidence *evidence) addConfirmation(observation observation, inForce config.Version) {
	if !evidence.confirmed.known || observation.at > evidence.confirmed.at {
		evidence.confirmed = observation
	}
	if observation.version <= inForce && (!evidence.applied.known || observation.at > evidence.applied.at) {
		evidence.applied = observation
	}
}

// markApplied counts the freshest reading once its version is in force here.
func (evidence *evidence) markApplied(inForce config.Version) {
	if evidence.confirmed.known {
		evidence.addConfirmation(evidence.confirmed, inForce)
	}
}

// addFailure adds a failed read.
func (evidence *evidence) addFailure(domain names.FailureDomain, failed observation) {
	previous, ok := evidence.failures[domain]
	if !ok || failed.at > previous.at {
		evidence.failures[domain] = failed
	}
}

// outage returns the time until which no failure domain reached the service
// and none had heard of a version above held. It is false unless every domain
// failed after the freshest reading.
func (evidence *evidence) outage(domains []names.FailureDomain, inForce config.Version) (time.Duration, bool) {
	if len(domains) == 0 {
		return 0, false
	}
	earliest := time.Duration(0)
	for i, domain := range domains {
		failed, ok := evidence.failures[domain]
		if !ok || failed.version > inForce || evidence.outdated(failed) {
			return 0, false
		}
		if i == 0 || failed.at < earliest {
			earliest = failed.at
		}
	}
	return earliest, true
}

// outdated tells that a later read reached the service.
func (evidence *evidence) outdated(failed observation) bool {
	return evidence.confirmed.known && failed.at <= evidence.confirmed.at
}

// merge adds the evidence of news. A span from another clock counts as shorter
// where it is later than the anchor, and longer where it is earlier.
func (evidence *evidence) merge(anchor time.Duration, news News, inForce config.Version) {
	if news.Confirmed != nil {
		at := anchor + withoutDrift(news.Confirmed.Offset)
		evidence.addConfirmation(observation{at: at, version: news.Confirmed.Version, known: true}, inForce)
	}
	for _, outage := range news.Outages {
		evidence.addFailure(outage.Domain, observation{at: anchor + withoutDrift(outage.Offset), version: outage.Version, known: true})
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
	for _, domain := range slices.Sorted(maps.Keys(evidence.failures)) {
		failed := evidence.failures[domain]
		if !evidence.outdated(failed) {
			news.Outages = append(news.Outages, Outage{Domain: domain, Offset: failed.at - arrived, Version: failed.version})
		}
	}
	return news
}
