package coord

import (
	"context"
	"time"

	"github.com/basilkeel/basilkeel/wire"
)

// grantTimeout bounds a request for a loan, a permit or a probe, for which a caller's request
// waits.
const grantTimeout = 150 * time.Millisecond

// grantReply is the coordinator's reply to such a request.
type grantReply interface {
	// GetWaitMilliseconds returns how long to wait if nothing is granted.
	GetWaitMilliseconds() int64
}

// requestGrant asks the coordinator for a loan, a permit or a probe: by own if that is this
// process, else by remote, which also returns whether it is granted.
func (client *Client) requestGrant(
	ctx context.Context,
	own func(coordinator *Coordinator) (time.Duration, bool, error),
	remote func(ctx context.Context, coordination wire.CoordinationClient) (grantReply, bool, error),
) (time.Duration, bool, error) {
	conn, self, err := client.coordinatorConn()
	if err != nil {
		return 0, false, err
	}
	if self {
		return own(client.config.Coordinator)
	}
	if err := client.checkResponsive(); err != nil {
		return 0, false, err
	}
	callCtx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	reply, granted, err := remote(callCtx, wire.NewCoordinationClient(conn))
	if err != nil {
		if ctx.Err() == nil {
			client.recordUnanswered()
		}
		return 0, false, err
	}
	return time.Duration(reply.GetWaitMilliseconds()) * time.Millisecond, granted, nil
}

// grant answers such a request in the current term. It fails with a *[NotCoordinatingError].
func (coordinator *Coordinator) grant(answer func(term *term, now time.Time) (time.Duration, bool)) (time.Duration, bool, error) {
	term, _, now, err := coordinator.lockTerm()
	if err != nil {
		return 0, false, err
	}
	defer coordinator.mutex.Unlock()
	wait, granted := answer(term, now)
	return wait, granted, nil
}
