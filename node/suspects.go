package node

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/coord"
	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/platform"
	"github.com/basilkeel/basilkeel/store"
)

// suspects keeps the record of requests that crash backend servers in the
// platform's service, and tells this entry's book what it says.
type suspects struct {
	store *platform.Store
	book  *crash.Tracker
	clock *clock.Service
	log   logrus.FieldLogger
	// mutex guards revision, that of the record.
	mutex    sync.Mutex
	revision store.Revision
}

var _ coord.CrashStore = (*suspects)(nil)

func newSuspects(platformStore *platform.Store, tracker *crash.Tracker, clock *clock.Service, log logrus.FieldLogger) *suspects {
	return &suspects{store: platformStore, book: tracker, clock: clock, log: log}
}

// StoreCrashes implements [coord.CrashStore].
func (suspects *suspects) StoreCrashes(ctx context.Context, record crash.Record) error {
	data, err := record.Encode()
	if err != nil {
		return err
	}
	suspects.mutex.Lock()
	expected := suspects.revision
	suspects.mutex.Unlock()
	revision, err := suspects.store.Swap(ctx, store.Swap{Key: suspectsKey, Expected: expected, Value: data})
	if err != nil {
		return err
	}
	suspects.seen(revision)
	return nil
}

// recorded takes in the record, or that it was deleted.
func (suspects *suspects) recorded(entry store.Entry) {
	if entry.Deleted() {
		suspects.seen(0)
		return
	}
	suspects.seen(entry.Revision())
	record, err := crash.DecodeRecord(entry.Value(), suspects.clock.Now())
	if err != nil {
		event.SuspectsUnread.Log(suspects.log, logrus.Fields{"revision": int64(entry.Revision()), "cause": err.Error()})
		return
	}
	for _, fingerprint := range suspects.book.Add(record.Suspicions()...) {
		event.QuarantineBegun.Log(suspects.log, logrus.Fields{"fingerprint": fingerprint.String(), "revision": int64(entry.Revision())})
	}
}

// seen notes the revision of the record, zero where there is none.
func (suspects *suspects) seen(revision store.Revision) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	if revision == 0 {
		suspects.revision = 0
		return
	}
	suspects.revision = max(suspects.revision, revision)
}
