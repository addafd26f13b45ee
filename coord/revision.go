package coord

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/store"
)

// revisionReader reads the latest revision of the platform's service and has the mirror
// compare itself with it. It is safe for concurrent use.
type revisionReader struct {
	// latest requests the revision from the service.
	latest func(ctx context.Context) (store.Revision, error)
	mirror Mirror
	log    logrus.FieldLogger
	// mutex guards unreadable, which reports whether the last read failed.
	mutex      sync.Mutex
	unreadable bool
}

// read returns the revision, and false if the service did not answer.
func (revisionReader *revisionReader) read(ctx context.Context) (store.Revision, bool) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := revisionReader.latest(callCtx)
	if err != nil {
		revisionReader.mirror.ClearConfirmation()
		if revisionReader.setUnreadable(true) {
			event.RevisionUnread.Log(revisionReader.log, logrus.Fields{"cause": err.Error()})
		}
		return 0, false
	}
	revisionReader.mirror.Confirm(revision)
	if revisionReader.setUnreadable(false) {
		event.RevisionRead.Log(revisionReader.log, logrus.Fields{"revision": revision.String()})
	}
	return revision, true
}

// setUnreadable records whether the last read failed and reports whether that has
// changed.
func (revisionReader *revisionReader) setUnreadable(unreadable bool) bool {
	revisionReader.mutex.Lock()
	defer revisionReader.mutex.Unlock()
	previous := revisionReader.unreadable
	revisionReader.unreadable = unreadable
	return previous != unreadable
}
