package place

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

// exchangeTimeout bounds one exchange with one entry.
const exchangeTimeout = time.Second

// ClientConfig is the configuration of a [Client].
type ClientConfig struct {
	Self  names.Instance
	Fleet fleet.Source
	Clock *clock.Service
	// Dial returns the connection to an instance's address.
	Dial  func(address string) (grpc.ClientConnInterface, error)
	Meter *Meter
	// Report returns the state of the agent's server, with Applied unset. It is
	// nil at entries.
	Report func() Server
	// OnPlan, if not nil, is called with each newer plan. An agent applies the
	// target and then calls [Client.MarkApplied].
	OnPlan func(plan *Plan)
	Logger logrus.FieldLogger
}

// Client reports to the lease holder from one instance and receives its plans.
// The plan of an agent has only the target of its own server. All methods are
// safe for concurrent use.
type Client struct {
	config ClientConfig

	// mu guards the fields below.
	mu      sync.Mutex
	plan    *Plan
	applied Version
	// acknowledgedContent is the content hash of the status that the lease
	// holder has; zero if it has none.
	acknowledgedContent uint64
}

// NewClient returns a client without a plan.
func NewClient(config ClientConfig) *Client { return &Client{config: config} }

// Start calls [Client.Exchange] once in each [ExchangePeriod] until ctx ends.
func (client *Client) Start(ctx context.Context) {
	client.config.Clock.Subscribe(ctx, ExchangePeriod, func(ctx context.Context, _ time.Time) { client.Exchange(ctx) })
}

// Current returns the newest plan received, or nil before the first one.
func (client *Client) Current() *Plan {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.plan
}

// MarkApplied records that the plan of version is applied, which later reports
// confirm to the lease holder.
func (client *Client) MarkApplied(version Version) {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.applied = max(client.applied, version)
}

// Exchange reports to the lease holder and applies its response. It asks the
// entries most likely to hold the lease in turn, and gives up after the last of
// them.
func (client *Client) Exchange(ctx context.Context) {
	request, err := client.request()
	if err != nil {
		event.PlanUnreadable.Log(client.config.Logger, logrus.Fields{"cause": err.Error()})
		return
	}
	for _, member := range likelyHolders(client.config.Fleet.Current()) {
		news, err := client.exchangeWith(ctx, member.Address(), request)
		if err != nil || !news.GetHeld() {
			continue
		}
		client.recordAcknowledged(request.GetStatus(), news)
		if err := client.applyNews(news); err != nil {
			event.PlanUnreadable.Log(client.config.Logger, logrus.Fields{"cause": err.Error()})
		}
		return
	}
}

// recordAcknowledged records the content of the status that the lease holder
// has, or that it needs the whole status again.
func (client *Client) recordAcknowledged(status *wire.PlaceStatus, news *wire.PlaceNews) {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.acknowledgedContent = status.GetContent()
	if news.GetResend() {
		client.acknowledgedContent = 0
	}
}

// likelyHolders returns the first entries by score. It returns one more than
// those that compete for the lease, since the views of two instances may differ
// for a while.
func likelyHolders(view *fleet.View) []fleet.Member {
	members := view.ByRole(fleet.RoleEntry)
	sort.Slice(members, func(i, j int) bool {
		return leaseScore(members[i].Instance()) < leaseScore(members[j].Instance())
	})
	return members[:min(len(members), candidateCount+1)]
}

func (client *Client) request() (*wire.PlaceExchange, error) {
	request := &wire.PlaceExchange{Instance: string(client.config.Self)}
	client.mu.Lock()
	if client.plan != nil {
		request.Known = int64(client.plan.Version())
	}
	applied, acknowledged := client.applied, client.acknowledgedContent
	client.mu.Unlock()
	now := client.config.Clock.Now()
	if client.config.Meter != nil {
		client.config.Meter.drain(now, request)
	}
	if client.config.Report != nil {
		// The version was read before the report is made, so that the report
		// never claims a plan that was applied after it.
		server := client.config.Report()
		server.Applied = applied
		status, err := abbreviateStatus(encodeStatus(now, server), acknowledged)
		if err != nil {
			return nil, err
		}
		request.Status = status
	}
	return request, nil
}

func (client *Client) exchangeWith(ctx context.Context, address string, request *wire.PlaceExchange) (*wire.PlaceNews, error) {
	connection, err := client.config.Dial(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	return wire.NewPlacementClient(connection).Exchange(ctx, request)
}

// applyNews merges the targets of news into the plan, and stores the result and
// passes it to OnPlan if it is newer.
func (client *Client) applyNews(news *wire.PlaceNews) error {
	changed, err := decodeTargets(news.GetPlan())
	if err != nil {
		return err
	}
	client.mu.Lock()
	plan := mergePlan(client.plan, news, changed)
	newer := plan.NewerThan(client.plan)
	if newer {
		client.plan = plan
	}
	client.mu.Unlock()
	if newer && client.config.OnPlan != nil {
		client.config.OnPlan(plan)
	}
	return nil
}

// mergePlan returns the plan of news: the targets of current, replaced by those
// that changed, or the latter alone if the news is whole.
func mergePlan(current *Plan, news *wire.PlaceNews, changed []Target) *Plan {
	targets := changed
	if current != nil && !news.GetWhole() {
		replaced := make(map[names.BackendServer]bool, len(changed))
		for _, target := range changed {
			replaced[target.Server] = true
		}
		for _, target := range current.Targets() {
			if !replaced[target.Server] {
				targets = append(targets, target)
			}
		}
	}
	return NewPlan(PlanConfig{
		Epoch: news.GetPlan().GetEpoch(), Version: Version(news.GetPlan().GetVersion()), Targets: targets,
	})
}
