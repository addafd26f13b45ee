package coord

import (
	"context"
	"time"

	"github.com/basilkeel/basilkeel/permit"
	"github.com/basilkeel/basilkeel/wire"
)

// Permit issues a permit for one request, or returns how long to wait. It fails with a
// *[NotCoordinatingError].
func (coordinator *Coordinator) Permit(application permit.Application) (time.Duration, bool, error) {
	return coordinator.grant(func(term *term, now time.Time) (time.Duration, bool) {
		return term.issuer.Issue(application, term.divider.ReportingPart(now), now)
	})
}

// Permit implements [relay.Coordinator].
func (client *Client) Permit(ctx context.Context, application permit.Application) (time.Duration, bool, error) {
	return client.requestGrant(ctx,
		func(coordinator *Coordinator) (time.Duration, bool, error) { return coordinator.Permit(application) },
		func(ctx context.Context, coordination wire.CoordinationClient) (grantReply, bool, error) {
			request := &wire.CoordPermitRequest{Rate: encodeRate(application.Statement, client.config.Clock.Now()), Yields: application.Yields}
			reply, err := coordination.Permit(ctx, request)
			return reply, reply.GetIssued(), err
		},
	)
}
