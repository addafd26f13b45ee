package coord

import (
	"context"
	"maps"
	"time"

	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/wire"
)

// Probe reports whether a request may be sent although parts of its prompt are quarantined,
// and otherwise how long to wait. It fails with a *[NotCoordinatingError].
func (coordinator *Coordinator) Probe(parts []crash.Fingerprint) (time.Duration, bool, error) {
	return coordinator.grant(func(term *term, now time.Time) (time.Duration, bool) { return term.aggregator.Probe(parts, now) })
}

// Probe implements [relay.Coordinator]. It asks the coordinator only when a probe may be
// due.
func (client *Client) Probe(ctx context.Context, parts []crash.Fingerprint) (bool, error) {
	set := crash.FingerprintOfParts(parts)
	if !client.probeDue(set) {
		return false, nil
	}
	wait, granted, err := client.requestProbe(ctx, parts)
	if err != nil {
		return false, err
	}
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.probeAt[set] = client.config.Clock.Now().Add(wait)
	return granted, nil
}

// probeDue reports whether to ask the coordinator for a probe of a set of parts.
func (client *Client) probeDue(set crash.Fingerprint) bool {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	now := client.config.Clock.Now()
	maps.DeleteFunc(client.probeAt, func(_ crash.Fingerprint, at time.Time) bool { return !now.Before(at) })
	_, waits := client.probeAt[set]
	return !waits
}

func (client *Client) requestProbe(ctx context.Context, parts []crash.Fingerprint) (time.Duration, bool, error) {
	return client.requestGrant(ctx,
		func(coordinator *Coordinator) (time.Duration, bool, error) { return coordinator.Probe(parts) },
		func(ctx context.Context, coordination wire.CoordinationClient) (grantReply, bool, error) {
			reply, err := coordination.Probe(ctx, encodeProbe(parts))
			return reply, reply.GetGranted(), err
		},
	)
}

// encodeProbe states a single part as former versions do; they refuse to probe several.
func encodeProbe(parts []crash.Fingerprint) *wire.CoordProbeRequest {
	message := &wire.CoordProbeRequest{}
	for _, part := range parts {
		message.Parts = append(message.Parts, uint64(part))
	}
	if len(parts) == 1 {
		message.Part = uint64(parts[0])
	}
	return message
}

func decodeProbe(message *wire.CoordProbeRequest) []crash.Fingerprint {
	var parts []crash.Fingerprint
	for _, part := range message.GetParts() {
		parts = append(parts, crash.Fingerprint(part))
	}
	if len(parts) == 0 {
		parts = append(parts, crash.Fingerprint(message.GetPart()))
	}
	return parts
}
