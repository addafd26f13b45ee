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

// Controller competes for the planning lease at one entry. While it holds the
// lease it plans, and answers the exchanges of agents and entries. All methods
// are safe for concurrent use.
type Controller struct {
	config      ControllerConfig
	storeWrites metrics.Counter
	stepTimer   metrics.Timer

	// tickMu serializes ticks and guards the fields below. It is acquired before
	// mu.
	tickMu  sync.Mutex
	planner *Planner
	// planRevision is the revision of the stored plan, and adoptedEpoch the epoch
	// of the lease in which this instance read it; zero means that it has to be
	// read.
	planRevision store.Revision
	adoptedEpoch int64

	// mu guards the fields below. It is not held during calls to other processes.
	mu    sync.Mutex
	lease lease
	plan  *Plan
	// removedVersion is the version of the last plan that removed a target, or
	// of the adopted plan. Entries that know an older plan get all targets.
	removedVersion Version
	statusReports  map[names.BackendServer]statusReport
	demandReports  map[names.Instance]demandReport
}

// NewController returns a controller without the lease. [Controller.Start] or
// [Controller.Tick] acquires it.
func NewController(config ControllerConfig) *Controller {
	if config.Metrics == nil {
		config.Metrics = metrics.NewRegistry()
	}
	return &Controller{
		config: config, planner: NewPlanner(config.Planner), lease: lease{self: config.Self},
		storeWrites:   metrics.GetOrRegisterCounter("place.storeWrites", config.Metrics),
		stepTimer:     metrics.GetOrRegisterTimer("place.step", config.Metrics),
		statusReports: map[names.BackendServer]statusReport{}, demandReports: map[names.Instance]demandReport{},
	}
}

// Start calls [Controller.Tick] once in each [StepPeriod] until ctx ends.
func (controller *Controller) Start(ctx context.Context) {
	controller.config.Clock.Subscribe(ctx, StepPeriod, func(ctx context.Context, _ time.Time) { controller.Tick(ctx) })
}

// Tick acquires, renews or releases the lease as needed, and runs a planner step
// if this instance holds it.
func (controller *Controller) Tick(ctx context.Context) {
	controller.tickMu.Lock()
	defer controller.tickMu.Unlock()
	rank := rankOf(controller.config.Self, controller.config.Fleet.Current())
	if rank >= candidateCount && !controller.HoldsLease() {
		return
	}
	if !controller.HoldsLease() && !controller.readLease(ctx) {
		return
	}
	controller.writeLease(ctx, rank)
	if !controller.HoldsLease() || !controller.adoptStored(ctx) {
		return
	}
	controller.step(ctx)
}

// HoldsLease reports whether this instance holds the lease now.
func (controller *Controller) HoldsLease() bool {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	return controller.lease.valid(controller.config.Clock.Now())
}

// Close releases the lease, so that the next holder does not have to wait until
// it ends.
func (controller *Controller) Close(ctx context.Context) {
	controller.tickMu.Lock()
	defer controller.tickMu.Unlock()
	if controller.HoldsLease() {
		controller.writeLease(ctx, candidateCount)
	}
}

// readLease reads the record of the lease and reports whether that succeeded.
func (controller *Controller) readLease(ctx context.Context) bool {
	requestedAt := controller.config.Clock.Now()
	entry, err := controller.get(ctx, holderKey)
	if err != nil {
		controller.logFailure(err)
		return false
	}
	message := &wire.PlaceHolder{}
	if err := proto.Unmarshal(entry.Value(), message); err != nil {
		controller.logFailure(&CodecError{Part: "holder", Cause: err})
		return false
	}
	record := leaseRecord{
		epoch: message.GetEpoch(), holder: names.Instance(message.GetHolder()), renewal: message.GetRenewal(),
	}
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.lease.observe(requestedAt, record, entry.Revision())
	return true
}

// writeLease writes the next record of the lease, if there is one. If the write
// fails or its outcome is unknown, the lease is not extended and the record is
// read again.
func (controller *Controller) writeLease(ctx context.Context, rank int) {
	sentAt := controller.config.Clock.Now()
	controller.mu.Lock()
	record, due := controller.lease.nextRecord(sentAt, rank)
	expected, before := controller.lease.revision, controller.lease.record
	controller.mu.Unlock()
	if !due {
		return
	}
	value, err := proto.Marshal(&wire.PlaceHolder{
		Epoch: record.epoch, Holder: string(record.holder), Renewal: record.renewal,
	})
	if err != nil {
		controller.logFailure(err)
		return
	}
	revision, err := controller.swap(ctx, holderKey, expected, value)
	if err != nil {
		controller.logFailure(err)
		controller.readLease(ctx)
		return
	}
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.lease.confirm(sentAt, record, revision)
	if record.epoch != before.epoch {
		event.PlanningTaken.Log(controller.config.Logger, logrus.Fields{"epoch": record.epoch})
	} else if record.holder == "" {
		event.PlanningReleased.Log(controller.config.Logger, logrus.Fields{"epoch": record.epoch})
	}
}

// adoptStored makes the planner continue from the stored plan, once in each
// epoch. It reports whether the planner has the plan.
func (controller *Controller) adoptStored(ctx context.Context) bool {
	epoch := controller.epoch()
	if controller.adoptedEpoch == epoch {
		return true
	}
	entry, err := controller.get(ctx, planKey)
	if err != nil {
		controller.logFailure(err)
		return false
	}
	plan, err := DecodePlan(entry.Value())
	if err != nil {
		controller.logFailure(err)
		return false
	}
	controller.planner.Adopt(plan)
	controller.planRevision, controller.adoptedEpoch = entry.Revision(), epoch
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.plan, controller.removedVersion = plan, plan.Version()
	return true
}

func (controller *Controller) epoch() int64 {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	return controller.lease.record.epoch
}

// step runs one planner step, and stores and publishes the plan if it changed.
func (controller *Controller) step(ctx context.Context) {
	snapshot := controller.config.Source.Current()
	if snapshot == nil {
		return
	}
	now := controller.config.Clock.Now()
	input := controller.plannerInput(now, snapshot)
	before := controller.planner.Plan()
	plan, changed := controller.planner.Step(now, controller.adoptedEpoch, input)
	controller.stepTimer.UpdateSince(now)
	if !changed {
		return
	}
	value, err := EncodePlan(plan)
	if err != nil {
		controller.logFailure(err)
		return
	}
	revision, err := controller.swap(ctx, planKey, controller.planRevision, value)
	if err != nil {
		// The write may have taken effect, so the next step reads the plan again.
		controller.logFailure(err)
		controller.adoptedEpoch = 0
		return
	}
	controller.planRevision = revision
	controller.publish(before, plan)
}

// publish makes plan, which has been stored, available to exchanges.
func (controller *Controller) publish(before, plan *Plan) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.plan = plan
	for _, target := range before.Targets() {
		if _, found := plan.Target(target.Server); !found {
			controller.removedVersion = plan.Version()
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
	controller.storeWrites.Inc(1)
	return controller.config.Store.Swap(ctx, store.Swap{Key: key, Expected: expected, Value: value})
}

// logFailure logs the error that ended a tick. A conflict has an event of its
// own, since it only means that another instance wrote the record.
func (controller *Controller) logFailure(err error) {
	var conflictError *store.ConflictError
	if errors.As(err, &conflictError) {
		event.PlanningConflict.Log(controller.config.Logger, logrus.Fields{"key": conflictError.Key})
		return
	}
	event.PlanningFailed.Log(controller.config.Logger, logrus.Fields{"cause": err.Error()})
}
