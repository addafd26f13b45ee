package coord

import (
	"context"
	"math"
	"time"

	"github.com/basilkeel/basilkeel/permit"
	"github.com/basilkeel/basilkeel/wire"
)

// Permit issues a permit for one request, or returns how long to wait. It fails with a
// *[NotCoordinatingError].
func (coordinator *Coordinator) Permit(application permit.Application) (time.Duration, bool, error) {
	return coordinator.grant(func(term *term, now time.Time) (time.Duration, bool) {
		wait, issued := term.issuer.Issue(application, term.divider.ReportingPart(now), now)
		if issued {
			term.coldRates.recordIssued(application.Statement.Server)
		}
		return wait, issued
	})
}

// Permit implements [relay.Coordinator].
func (client *Client) Permit(ctx context.Context, application permit.Application) (time.Duration, bool, error) {
	return client.requestGrant(ctx,
		func(coordinator *Coordinator) (time.Duration, bool, error) { return coordinator.Permit(application) },
		func(ctx context.Context, coordination wire.CoordinationClient) (grantReply, bool, error) {
			request := encodeApplication(application, client.config.Clock.Now())
			reply, err := coordination.Permit(ctx, request)
			return reply, reply.GetIssued(), err
		},
	)
}

// maxColdLeft bounds how long an entry may say that a server remains cold.
const maxColdLeft = time.Hour

func encodeApplication(application permit.Application, now time.Time) *wire.CoordPermitRequest {
	request := &wire.CoordPermitRequest{Rate: encodeRate(application.Statement, now), Yields: application.Yields}
	if left := application.Cold.Until.Sub(now); application.Cold.PerSecond > 0 && left > 0 {
		// Rounded up, so that the coordinator does not count the time too short.
		request.ColdPerSecond, request.ColdLeftMilliseconds = application.Cold.PerSecond, left.Milliseconds()+1
	}
	return request
}

func decodeApplication(request *wire.CoordPermitRequest, now time.Time) permit.Application {
	application := permit.Application{Statement: decodeRate(request.GetRate(), now), Yields: request.GetYields()}
	perSecond, left := request.GetColdPerSecond(), request.GetColdLeftMilliseconds()
	if perSecond > 0 && !math.IsInf(perSecond, 0) && left > 0 {
		left = min(left, maxColdLeft.Milliseconds())
		application.Cold = permit.Cold{PerSecond: perSecond, Until: now.Add(time.Duration(left) * time.Millisecond)}
	}
	return application
}
