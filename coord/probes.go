package coord

import (
	"context"
	"maps"
	"time"

	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/wire"
)

// Probe reports whether a request may be sent although a part of its prompt is quarantined,
// and otherwise how long to wait. It fails with a *[NotCoordinatingError].
func (coordinator *Coordinator) Probe(part crash.Fingerprint) (time.Duration, bool, error) {
	return coordinator.grant(func(term *term, now time.Time) (time.Duration, bool) { return term.aggregator.Probe(part, now) })
}

// Probe implements [relay.Coordinator]. It asks the coordinator only when a probe may be
// due.
func (client *Client) Probe(ctx context.Context, part crash.Fingerprint) (bool, error) {
	if !client.probeDue(part) {
		return false, nil
	}
	wait, granted, err := client.requestProbe(ctx, part)
	if err != nil {
		return false, err
	}
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.probeAt[part] = client.config.Clock.Now().Add(wait)
	return granted, nil
}

// probeDue reports whether to ask the coordinator.
func (client *Client) probeDue(part crash.Fingerprint) bool {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	now := client.config.Clock.Now()
	maps.DeleteFunc(client.probeAt, func(_ crash.Fingerprint, at time.Time) bool { return now.Sub(at) > crash.SuspicionLifetime })
	return !now.Before(client.probeAt[part])
}

func (client *Client) requestProbe(ctx context.Context, part crash.Fingerprint) (time.Duration, bool, error) {
	return client.requestGrant(ctx,
		func(coordinator *Coordinator) (time.Duration, bool, error) { return coordinator.Probe(part) },
		func(ctx context.Context, coordination wire.CoordinationClient) (grantReply, bool, error) {
			reply, err := coordination.Probe(ctx, &wire.CoordProbeRequest{Part: uint64(part)})
			return reply, reply.GetGranted(), err
		},
	)
}
