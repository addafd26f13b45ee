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

// exchangeTimeout bounds one exchange.
const exchangeTimeout = time.Second

// ClientConfig carries what a [Client] is built from.
type ClientConfig struct {
	Self  names.Instance
	Fleet fleet.Source
	Clock *clock.Service
	// Dial returns the connection to an instance's address.
	Dial  func(address string) (grpc.ClientConnInterface, error)
	Meter *Meter
	// Report returns the agent's server, Applied left out; nil at entries.
	Report func() Server
	// OnPlan, where not nil, is told of each newer plan. An agent passes the
	// target on and then calls [Client.MarkApplied].
	OnPlan func(plan *Plan)
	Logger logrus.FieldLogger
}

// Client follows the plan at one instance and reports to its holder. An agent's
// plan has the target of its own server only. All methods are safe for
// concurrent use.
type Client struct {
	config ClientConfig

	// mu guards all below.
	mu      sync.Mutex
	plan    *Plan
	applied Version
	// acknowledgedContent is the hash of the status that the holder has.
	acknowledgedContent uint64
}

// NewClient returns a source without a plan.
func NewClient(config ClientConfig) *Client { return &Client{config: config} }

// Start exchanges with the holder until ctx ends.
func (client *Client) Start(ctx context.Context) {
	client.config.Clock.Subscribe(ctx, ExchangePeriod, func(ctx context.Context, _ time.Time) { client.Exchange(ctx) })
}

// Current returns the newest plan seen, or nil before the first one.
func (client *Client) Current() *Plan {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.plan
}

// MarkApplied tells that reports from now on follow the plan of version.
func (client *Client) MarkApplied(version Version) {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.applied = max(client.applied, version)
}

// Exchange reports to the holder and takes its news. It asks the entries most
// likely to have the duty, and gives up after them.
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

// recordAcknowledged notes whether the holder has the whole status.
func (client *Client) recordAcknowledged(status *wire.PlaceStatus, news *wire.PlaceNews) {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.acknowledgedContent = status.GetContent()
	if news.GetResend() {
		client.acknowledgedContent = 0
	}
}

// likelyHolders lists the entries that come first for the duty, one more than look
// after it, since lists differ for a while.
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
		// The version was read before the report is made.
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

// applyNews keeps the plan of news if it is newer than any seen.
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

// mergePlan replaces the targets of known by those that changed.
func mergePlan(known *Plan, news *wire.PlaceNews, changed []Target) *Plan {
	targets := changed
	if known != nil && !news.GetWhole() {
		replaced := make(map[names.BackendServer]bool, len(changed))
		for _, target := range changed {
			replaced[target.Server] = true
		}
		for _, target := range known.Targets() {
			if !replaced[target.Server] {
				targets = append(targets, target)
			}
		}
	}
	return NewPlan(PlanConfig{
		Epoch: news.GetPlan().GetEpoch(), Version: Version(news.GetPlan().GetVersion()), Targets: targets,
	})
}
