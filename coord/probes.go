package coord

import (
	"context"
	"maps"
	"time"

	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/wire"
)

// probeTimeout bounds the question whether a part may be probed, for which a caller's
// request waits.
const probeTimeout = borrowTimeout

// Probe reports whether a request may be sent although a part of its prompt is quarantined,
// and otherwise how long to wait. It fails with a *[NotCoordinatingError].
func (coordinator *Coordinator) Probe(part crash.Fingerprint) (time.Duration, bool, error) {
	now := coordinator.config.Clock.Now()
	snapshot := coordinator.config.Policy()
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	term, err := coordinator.currentTerm(snapshot)
	if err != nil {
		return 0, false, err
	}
	wait, granted := term.aggregator.Probe(part, now)
	return wait, granted, nil
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
	conn, self, err := client.coordinatorConn()
	if err != nil {
		return 0, false, err
	}
	if self {
		return client.config.Coordinator.Probe(part)
	}
	if err := client.checkResponsive(); err != nil {
		return 0, false, err
	}
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := wire.NewCoordinationClient(conn).Probe(callCtx, &wire.CoordProbeRequest{Part: uint64(part)})
	if err != nil {
		client.recordUnanswered()
		return 0, false, err
	}
	return time.Duration(reply.GetWaitMilliseconds()) * time.Millisecond, reply.GetGranted(), nil
}
