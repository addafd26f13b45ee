package spread

import (
	"maps"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
)

// observation is a version and a time on this instance's clock: for a
// successful read, the version that was the latest at that time; for a failed
// read, the highest version that the relay knew.
type observation struct {
	at      time.Duration
	version config.Version
	known   bool
}

// evidence is what an instance knows about reads of the platform's service, its
// own and those of other instances.
type evidence struct {
	// confirmed is the latest successful read.
	confirmed observation
	// applied is the latest successful read whose version, or a later one, is in
	// force here.
	applied observation
	// failures holds the last failed read of each failure domain.
	failures map[names.FailureDomain]observation
}

func newEvidence() evidence {
	return evidence{failures: map[names.FailureDomain]observation{}}
}

// addConfirmation records a successful read; inForce is the version in force
// here.
func (evidence *evidence) addConfirmation(observation observation, inForce config.Version) {
	if !evidence.confirmed.known || observation.at > evidence.confirmed.at {
		evidence.confirmed = observation
	}
	if observation.version <= inForce && (!evidence.applied.known || observation.at > evidence.applied.at) {
		evidence.applied = observation
	}
}

// markApplied updates applied after the version inForce has come into force
// here.
func (evidence *evidence) markApplied(inForce config.Version) {
	if evidence.confirmed.known {
		evidence.addConfirmation(evidence.confirmed, inForce)
	}
}

// addFailure records a failed read of a relay in domain.
func (evidence *evidence) addFailure(domain names.FailureDomain, failed observation) {
	previous, ok := evidence.failures[domain]
	if !ok || failed.at > previous.at {
		evidence.failures[domain] = failed
	}
}

// outage returns the time of the earliest of the failure domains' last failed
// reads. It is evidence that no version above inForce had been accepted by then.
// It returns false unless the last failed read of every domain is newer than the
// latest successful read and its relay knew no version above inForce.
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

// outdated reports whether a successful read is at least as new as failed.
func (evidence *evidence) outdated(failed observation) bool {
	return evidence.confirmed.known && failed.at <= evidence.confirmed.at
}

// merge adds the evidence in news, whose offsets count from anchor.
func (evidence *evidence) merge(anchor time.Duration, news News, inForce config.Version) {
	if news.Confirmed != nil {
		at := anchor + withoutDrift(news.Confirmed.Offset)
		evidence.addConfirmation(observation{at: at, version: news.Confirmed.Version, known: true}, inForce)
	}
	for _, outage := range news.Outages {
		evidence.addFailure(outage.Domain, observation{at: anchor + withoutDrift(outage.Offset), version: outage.Version, known: true})
	}
}

// withoutDrift moves offset into the past by the most that the sender's clock
// may have drifted from this instance's. This shortens an offset after the
// anchor and lengthens one before it.
func withoutDrift(offset time.Duration) time.Duration {
	return offset - offset.Abs()/driftDivisor
}

// news returns news for a follower whose anchor arrived at the given time.
// Failed reads that a successful read outdates are left out.
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
