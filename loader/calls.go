package loader

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/store"
)

// execute executes action and returns its result.
func (loader *Loader) execute(ctx context.Context, action ledger.Action) ledger.Event {
	ctx, cancel := context.WithTimeout(ctx, loader.config.Timeout)
	defer cancel()
	switch action := action.(type) {
	case ledger.ReadRecord:
		return loader.readRecord(ctx)
	case ledger.WriteRecord:
		return loader.writeRecord(ctx, action)
	case ledger.SendOrder:
		return loader.sendOrder(ctx, action.Order)
	case ledger.RequestReport:
		return loader.requestReport(ctx)
	case ledger.CancelGeneration:
		return loader.cancelGeneration(ctx, action)
	default:
		return ledger.Tick{}
	}
}

func (loader *Loader) readRecord(ctx context.Context) ledger.Event {
	requestedAt := loader.config.Clock.Now()
	loader.reads.Inc(1)
	entry, found, err := loader.config.Store.Get(ctx, RecordKey(loader.config.Server))
	if err != nil {
		loader.logRecordError(err)
		return ledger.RecordReadFailed{}
	}
	if !found {
		return ledger.RecordRead{RequestedAt: requestedAt}
	}
	record, err := ledger.DecodeRecord(entry.Value())
	if err != nil {
		loader.logRecordError(err)
		return ledger.RecordReadFailed{}
	}
	return ledger.RecordRead{RequestedAt: requestedAt, Found: true, Record: record, Revision: entry.Revision()}
}

func (loader *Loader) writeRecord(ctx context.Context, write ledger.WriteRecord) ledger.Event {
	requestedAt := loader.config.Clock.Now()
	value, err := ledger.EncodeRecord(write.Record)
	if err != nil {
		loader.logRecordError(err)
		return ledger.RecordWriteFailed{Record: write.Record}
	}
	loader.writes.Inc(1)
	swap := store.Swap{Key: RecordKey(loader.config.Server), Expected: write.Expected, Value: value}
	revision, err := loader.config.Store.Swap(ctx, swap)
	if err != nil {
		loader.logRecordError(err)
		return ledger.RecordWriteFailed{Record: write.Record}
	}
	return ledger.RecordWritten{RequestedAt: requestedAt, Record: write.Record, Revision: revision}
}

func (loader *Loader) logRecordError(err error) {
	event.RecordFailed.Log(loader.config.Logger, logrus.Fields{"error": err})
}

// sendOrder sends order after a check of the permission, which comes last so that
// no wait lies between it and the send.
func (loader *Loader) sendOrder(ctx context.Context, order engine.Order) ledger.Event {
	if !loader.maySend(order) {
		return ledger.OrderUnsent{Order: order}
	}
	loader.orders.Inc(1)
	err := loader.config.Engine.Order(ctx, order)
	var (
		fencedError *engine.FencedError
		sendError   *engine.SendError
	)
	switch {
	case err == nil:
		return ledger.OrderAcknowledged{Order: order}
	case errors.As(err, &fencedError):
		event.OrderFenced.Log(loader.config.Logger, logrus.Fields{"error": err})
		return ledger.OrderFenced{Order: order, Seen: fencedError.Seen}
	case errors.As(err, &sendError) && !sendError.MaybeSent:
		return ledger.OrderUnsent{Order: order}
	default:
		event.OrderUnanswered.Log(loader.config.Logger, logrus.Fields{"error": err})
		return ledger.OrderUnanswered{Order: order}
	}
}

func (loader *Loader) maySend(order engine.Order) bool {
	loader.mu.Lock()
	defer loader.mu.Unlock()
	return loader.ledger.MaySend(loader.config.Clock.Now(), order)
}

func (loader *Loader) requestReport(ctx context.Context) ledger.Event {
	requestedAt := loader.config.Clock.Now()
	report, err := loader.config.Engine.Report(ctx)
	if err != nil {
		event.ReportFailed.Log(loader.config.Logger, logrus.Fields{"error": err})
		return ledger.ReportFailed{}
	}
	if loader.config.OnReport != nil {
		loader.config.OnReport(requestedAt, report)
	}
	return ledger.ReportReceived{RequestedAt: requestedAt, Report: report}
}

func (loader *Loader) cancelGeneration(ctx context.Context, action ledger.CancelGeneration) ledger.Event {
	requestedAt := loader.config.Clock.Now()
	if err := loader.config.Engine.Cancel(ctx, action.Request); err != nil {
		return ledger.CancelUnanswered(action)
	}
	return ledger.CancelAcknowledged{RequestedAt: requestedAt, Request: action.Request}
}
