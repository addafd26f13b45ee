package place

import (
	"context"
	"errors"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/store"
	"github.com/basilkeel/basilkeel/wire"
)

// Controller takes, keeps and gives up the duty of planning at one entry, and
// answers agents and entries while it has it. All methods are safe for
// concurrent use.
type Controller struct {
	config  ControllerConfig
	writes  metrics.Counter
	planned metrics.Timer

	// tending is held by the one tick at a time; it is taken before mu.
	tending sync.Mutex
	planner *Planner
	// planRevision is the revision of the stored plan; adopted tells the epoch
	// in which this instance read it.
	planRevision store.Revision
	adopted      int64

	// mu guards all below. No call leaves the process while it is held.
	mu      sync.Mutex
	duty    duty
	plan    *Plan
	removed Version
	reports map[names.BackendServer]reported
	meters  map[names.Instance]metered
}

// NewController returns a keeper without the duty; [Controller.Start] makes it work.
func NewController(config ControllerConfig) *Controller {
	if config.Metrics == nil {
		config.Metrics = metrics.NewRegistry()
	}
	return &Controller{
		config: config, planner: NewPlanner(config.Planner), duty: duty{self: config.Self},
		writes:  metrics.GetOrRegisterCounter("place.storeWrites", config.Metrics),
		planned: metrics.GetOrRegisterTimer("place.step", config.Metrics),
		reports: map[names.BackendServer]reported{}, meters: map[names.Instance]metered{},
	}
}

// Start looks after the duty until ctx ends.
func (controller *Controller) Start(ctx context.Context) {
	controller.config.Clock.Subscribe(ctx, StepPeriod, func(ctx context.Context, _ time.Time) { controller.Tick(ctx) })
}

// Tick looks after the duty once, and plans while this instance has it.
func (controller *Controller) Tick(ctx context.Context) {
	controller.tending.Lock()
	defer controller.tending.Unlock()
	rank := rankOf(controller.config.Self, controller.config.Fleet.Current())
	if rank >= candidates && !controller.HoldsLease() {
		return
	}
	if !controller.HoldsLease() && !controller.readHolder(ctx) {
		return
	}
	controller.writeHolder(ctx, rank)
	if !controller.HoldsLease() || !controller.adopt(ctx) {
		return
	}
	controller.step(ctx)
}

// HoldsLease tells that this instance may act as the holder now.
func (controller *Controller) HoldsLease() bool {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	return controller.duty.permitted(controller.config.Clock.Now())
}

// Close gives the duty up, so that a successor need not wait.
func (controller *Controller) Close(ctx context.Context) {
	controller.tending.Lock()
	defer controller.tending.Unlock()
	if controller.HoldsLease() {
		controller.writeHolder(ctx, candidates)
	}
}

// readHolder reads the record and tells whether that succeeded.
func (controller *Controller) readHolder(ctx context.Context) bool {
	askedAt := controller.config.Clock.Now()
	entry, err := controller.get(ctx, holderKey)
	if err != nil {
		controller.failed(err)
		return false
	}
	message := &wire.PlaceHolder{}
	if err := proto.Unmarshal(entry.Value(), message); err != nil {
		controller.failed(&CodecError{Part: "holder", Cause: err})
		return false
	}
	record := holder{
		epoch: message.GetEpoch(), instance: names.Instance(message.GetHolder()), renewal: message.GetRenewal(),
	}
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.duty.read(askedAt, record, entry.Revision())
	return true
}

// writeHolder writes the record that is due, if any. Where the effect is not
// known the permission goes on to run out, and the record is read back.
func (controller *Controller) writeHolder(ctx context.Context, rank int) {
	sentAt := controller.config.Clock.Now()
	controller.mu.Lock()
	record, due := controller.duty.next(sentAt, rank)
	expected, before := controller.duty.revision, controller.duty.record
	controller.mu.Unlock()
	if !due {
		return
	}
	value, err := proto.Marshal(&wire.PlaceHolder{
		Epoch: record.epoch, Holder: string(record.instance), Renewal: record.renewal,
	})
	if err != nil {
		controller.failed(err)
		return
	}
	revision, err := controller.swap(ctx, holderKey, expected, value)
	if err != nil {
		controller.failed(err)
		controller.readHolder(ctx)
		return
	}
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.duty.confirmed(sentAt, record, revision)
	if record.epoch != before.epoch {
		event.PlanningTaken.Log(controller.config.Logger, logrus.Fields{"epoch": record.epoch})
	} else if record.instance == "" {
		event.PlanningReleased.Log(controller.config.Logger, logrus.Fields{"epoch": record.epoch})
	}
}

// adopt reads the stored plan once in each epoch.
func (controller *Controller) adopt(ctx context.Context) bool {
	epoch := controller.epoch()
	if controller.adopted == epoch {
		return true
	}
	entry, err := controller.get(ctx, planKey)
	if err != nil {
		controller.failed(err)
		return false
	}
	plan, err := DecodePlan(entry.Value())
	if err != nil {
		controller.failed(err)
		return false
	}
	controller.planner.Adopt(plan)
	controller.planRevision, controller.adopted = entry.Revision(), epoch
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.plan, controller.removed = plan, plan.Version()
	return true
}

func (controller *Controller) epoch() int64 {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	return controller.duty.record.epoch
}

// step plans once and stores what changed.
func (controller *Controller) step(ctx context.Context) {
	snapshot := controller.config.Source.Current()
	if snapshot == nil {
		return
	}
	now := controller.config.Clock.Now()
	input := controller.input(now, snapshot)
	before := controller.planner.Plan()
	plan, changed := controller.planner.Step(now, controller.adopted, input)
	controller.planned.UpdateSince(now)
	if !changed {
		return
	}
	value, err := EncodePlan(plan)
	if err != nil {
		controller.failed(err)
		return
	}
	revision, err := controller.swap(ctx, planKey, controller.planRevision, value)
	if err != nil {
		// Whatever came of the write, the next step goes on from what is stored.
		controller.failed(err)
		controller.adopted = 0
		return
	}
	controller.planRevision = revision
	controller.publish(before, plan)
}

// publish offers plan, which is stored.
func (controller *Controller) publish(before, plan *Plan) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.plan = plan
	for _, target := range before.Targets() {
		if _, found := plan.Target(target.Server); !found {
			controller.removed = plan.Version()
		}
	}
}

func (controller *Controller) get(ctx context.Context, key string) (store.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, _, err := controller.config.Store.Get(ctx, key)
	return entry, err
}

func (controller *Controller) swap(ctx context.Context, key string, expected store.Revision, value []byte) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	controller.writes.Inc(1)
	return controller.config.Store.Swap(ctx, store.Swap{Key: key, Expected: expected, Value: value})
}

// failed logs what stopped a step; a conflict only tells of another holder.
func (controller *Controller) failed(err error) {
	var conflictError *store.ConflictError
	if errors.As(err, &conflictError) {
		event.PlanningConflict.Log(controller.config.Logger, logrus.Fields{"key": conflictError.Key})
		return
	}
	event.PlanningFailed.Log(controller.config.Logger, logrus.Fields{"cause": err.Error()})
}
