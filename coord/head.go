package coord

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/store"
)

// headReader asks how far the platform's service has come and has the mirror
// compare itself. It is safe for concurrent use.
type headReader struct {
	// head asks the service.
	head   func(ctx context.Context) (store.Revision, error)
	mirror Mirror
	log    logrus.FieldLogger
	// mutex guards unread, which tells that the service did not answer last.
	mutex  sync.Mutex
	unread bool
}

// read returns the revision, and false where the service did not tell it.
func (headReader *headReader) read(ctx context.Context) (store.Revision, bool) {
	callCtx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	revision, err := headReader.head(callCtx)
	if err != nil {
		headReader.mirror.ClearConfirmation()
		if headReader.changed(true) {
			event.RevisionUnread.Log(headReader.log, logrus.Fields{"cause": err.Error()})
		}
		return 0, false
	}
	headReader.mirror.Confirm(revision)
	if headReader.changed(false) {
		event.RevisionRead.Log(headReader.log, logrus.Fields{"revision": int64(revision)})
	}
	return revision, true
}

// changed notes whether the service answered, and tells whether that is new.
func (headReader *headReader) changed(unread bool) bool {
	headReader.mutex.Lock()
	defer headReader.mutex.Unlock()
	before := headReader.unread
	headReader.unread = unread
	return before != unread
}
