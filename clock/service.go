package clock

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// ServiceConfig configures a [Service].
type ServiceConfig struct {
	// Clock is the source of time; nil means the machine's clock.
	Clock clockwork.Clock
}

// Service is the timer service of one process. All methods are safe for
// concurrent use.
type Service struct {
	clock clockwork.Clock
	// subscriptions counts the goroutines of active subscriptions.
	subscriptions sync.WaitGroup
}

// NewService returns a timer service.
func NewService(config ServiceConfig) *Service {
	source := config.Clock
	if source == nil {
		source = clockwork.NewRealClock()
	}
	return &Service{clock: source}
}

// Now returns the current time, with a monotonic reading on the real clock.
func (service *Service) Now() time.Time { return service.clock.Now() }

// Subscribe starts a goroutine that calls tick every period until ctx is done,
// and returns immediately. Calls never overlap: the ticks that fall due while a
// call runs are merged into one.
func (service *Service) Subscribe(ctx context.Context, period time.Duration, tick func(ctx context.Context, now time.Time)) {
	ticker := service.clock.NewTicker(period)
	service.subscriptions.Go(func() {
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.Chan():
				tick(ctx, now)
			}
		}
	})
}

// After returns a channel that receives the time once, after wait has elapsed.
func (service *Service) After(wait time.Duration) <-chan time.Time { return service.clock.After(wait) }

// Wait blocks until every subscription has ended.
func (service *Service) Wait() { service.subscriptions.Wait() }
