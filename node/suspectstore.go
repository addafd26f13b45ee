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

// suspectStore stores the record of requests that crash backend servers in the
// platform's key-value service, and adds its suspicions to this entry's tracker.
type suspectStore struct {
	store   *platform.Store
	tracker *crash.Tracker
	clock   *clock.Service
	log     logrus.FieldLogger
	// mutex guards revision, which is the revision of the record, or zero if there
	// is none.
	mutex    sync.Mutex
	revision store.Revision
}

var _ coord.CrashStore = (*suspectStore)(nil)

func newSuspectStore(platformStore *platform.Store, tracker *crash.Tracker, clock *clock.Service, log logrus.FieldLogger) *suspectStore {
	return &suspectStore{store: platformStore, tracker: tracker, clock: clock, log: log}
}

// StoreCrashes implements [coord.CrashStore].
func (suspectStore *suspectStore) StoreCrashes(ctx context.Context, record crash.Record) error {
	data, err := record.Encode()
	if err != nil {
		return err
	}
	suspectStore.mutex.Lock()
	expected := suspectStore.revision
	suspectStore.mutex.Unlock()
	revision, err := suspectStore.store.Swap(ctx, store.Swap{Key: suspectsKey, Expected: expected, Value: data})
	if err != nil {
		return err
	}
	suspectStore.setRevision(revision)
	return nil
}

// applyRecord processes a change of the record.
func (suspectStore *suspectStore) applyRecord(entry store.Entry) {
	suspectStore.setRevision(entry.Revision())
	record, err := crash.DecodeRecord(entry.Value(), suspectStore.clock.Now())
	if err != nil {
		event.SuspectsUnread.Log(suspectStore.log, logrus.Fields{"revision": entry.Revision().String(), "cause": err.Error()})
		return
	}
	for _, subject := range suspectStore.tracker.Add(record.Suspicions()...) {
		event.QuarantineBegun.Log(suspectStore.log, logrus.Fields{
			"fingerprint": subject.Fingerprint.String(), "part": subject.Part, "revision": entry.Revision().String(),
		})
	}
}

// setRevision sets the revision of the record, unless a later one is known. Zero
// means that there is no record.
func (suspectStore *suspectStore) setRevision(revision store.Revision) {
	suspectStore.mutex.Lock()
	defer suspectStore.mutex.Unlock()
	if revision == 0 {
		suspectStore.revision = 0
		return
	}
	suspectStore.revision = max(suspectStore.revision, revision)
}
