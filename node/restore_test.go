package node

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/elect"
	"github.com/basilkeel/basilkeel/share"
	"github.com/basilkeel/basilkeel/store"
)

// storedEntry returns an entry with a revision of an era.
func storedEntry(t *testing.T, key, value string, era store.Era, number int64) store.Entry {
	t.Helper()
	revision, err := store.NewRevision(era, number)
	if err != nil {
		t.Fatal(err)
	}
	return store.NewEntry(store.EntryConfig{Key: key, Value: []byte(value), Revision: revision})
}

// The next writes of the records have to expect the revisions of the copy.
func TestRecordsCanBeWrittenAfterRestore(t *testing.T) {
	const shares, suspects = `{"shares":{}}`, `{"sightings":[]}`
	cases := []struct {
		name                        string
		restored                    []store.Entry
		wantShares, wantSuspectsRev string
	}{
		{name: "older records", restored: []store.Entry{storedEntry(t, sharesKey, shares, 1, 40), storedEntry(t, suspectsKey, suspects, 1, 30)}, wantShares: "1/40", wantSuspectsRev: "1/30"},
		{name: "no records", wantShares: "0", wantSuspectsRev: "0"},
		{name: "only one", restored: []store.Entry{storedEntry(t, suspectsKey, suspects, 1, 30)}, wantShares: "0", wantSuspectsRev: "1/30"},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			log, _ := test.NewNullLogger()
			clock := clock.NewService(clock.ServiceConfig{})
			suspectStore := newSuspectStore(nil, crash.NewTracker(), clock, log)
			ownKeys := &ownKeys{clock: clock, log: log, record: share.Record{}, limiter: share.NewLimiter(), suspectStore: suspectStore}
			ownKeys.elector = elect.New(elect.Config{Clock: clock, Log: log, LeaderChanged: func(elect.Leader) {}, IsPredecessor: func(string) bool { return false }})
			ownKeys.Replaced([]store.Entry{storedEntry(t, sharesKey, shares, 0, 95), storedEntry(t, suspectsKey, suspects, 0, 90)})
			ownKeys.Replaced(each.restored)
			g.Expect(ownKeys.revision.String()).To(Equal(each.wantShares))
			g.Expect(suspectStore.revision.String()).To(Equal(each.wantSuspectsRev))
		})
	}
}
