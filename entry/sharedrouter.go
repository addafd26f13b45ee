package entry

import (
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/route"
)

// SharedRouter makes a [route.Router] safe for concurrent use.
type SharedRouter struct {
	// mu guards router.
	mu     sync.Mutex
	router *route.Router
}

var _ Router = (*SharedRouter)(nil)

// NewSharedRouter returns a SharedRouter that serializes access to router.
func NewSharedRouter(router *route.Router) *SharedRouter {
	return &SharedRouter{router: router}
}

// Pick implements [Router].
func (sharedRouter *SharedRouter) Pick(now time.Time, query route.Query) (route.Choice, error) {
	sharedRouter.mu.Lock()
	defer sharedRouter.mu.Unlock()
	return sharedRouter.router.Pick(now, query)
}

// Sent implements [Router].
func (sharedRouter *SharedRouter) Sent(now time.Time, server names.BackendServer) {
	sharedRouter.mu.Lock()
	defer sharedRouter.mu.Unlock()
	sharedRouter.router.Sent(now, server)
}

// Answered implements [Router].
func (sharedRouter *SharedRouter) Answered(now time.Time, server names.BackendServer, observation route.Observation) {
	sharedRouter.mu.Lock()
	defer sharedRouter.mu.Unlock()
	sharedRouter.router.Answered(now, server, observation)
}

// Failed implements [Router].
func (sharedRouter *SharedRouter) Failed(now time.Time, server names.BackendServer, observation route.Observation) {
	sharedRouter.mu.Lock()
	defer sharedRouter.mu.Unlock()
	sharedRouter.router.Failed(now, server, observation)
}

// MayRetry implements [Router].
func (sharedRouter *SharedRouter) MayRetry(now time.Time, failedAttempt route.FailedAttempt) (time.Duration, bool) {
	sharedRouter.mu.Lock()
	defer sharedRouter.mu.Unlock()
	return sharedRouter.router.MayRetry(now, failedAttempt)
}

// Tick removes the state of targets that were not used for the duration unused.
func (sharedRouter *SharedRouter) Tick(now time.Time, unused time.Duration) {
	sharedRouter.mu.Lock()
	defer sharedRouter.mu.Unlock()
	sharedRouter.router.Tick(now, unused)
}
