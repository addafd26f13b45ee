package coord

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/store"
)

// revisionReader asks how far the platform's service has come and has the mirror
// compare itself. It is safe for concurrent use.
type revisionReader struct {
	// latest asks the service.
	latest func(ctx context.Context) (store.Revision, error)
	mirror Mirror
	log    logrus.FieldLogger
	// mutex guards unread, which tells that the service did not answer last.
	mutex      sync.Mutex
	unreadable bool
}

// ok returns the revision, and false where the service did not tell it.
func (revisionReader *revisionReader) ok(ctx context.Context) (store.Revision, bool) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := revisionReader.latest(callCtx)
	if err != nil {
		revisionReader.mirror.Doubt()
		if revisionReader.setUnreadable(true) {
			event.RevisionUnread.Log(revisionReader.log, logrus.Fields{"cause": err.Error()})
		}
		return 0, false
	}
	revisionReader.mirror.Confirm(revision)
	if revisionReader.setUnreadable(false) {
		event.RevisionRead.Log(revisionReader.log, logrus.Fields{"revision": int64(revision)})
	}
	return revision, true
}

// setUnreadable notes whether the service answered, and tells whether that is new.
func (revisionReader *revisionReader) setUnreadable(unread bool) bool {
	revisionReader.mutex.Lock()
	defer revisionReader.mutex.Unlock()
	previous := revisionReader.unreadable
	revisionReader.unreadable = unread
	return previous != unread
}
